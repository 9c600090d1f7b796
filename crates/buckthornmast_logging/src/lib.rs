//! Logging of JSON lines.
//!
//! [`start`] writes each line to standard error at once, for programs that log little. [`start_queued`] passes
//! lines to a thread and never blocks the caller, for programs that log each request.

mod line;
pub mod queue;

use env_logger::{Builder, Env, Target};

use crate::queue::{Queue, RateLimit};

fn builder() -> Builder {
    let env = Env::default().default_filter_or("info");
    let mut builder = Builder::from_env(env);
    builder.format(line::write);
    builder
}

/// Starts logging to standard error. The filter is read from `RUST_LOG` and is `info` by default.
pub fn start() {
    // Fails if a logger is already installed, as in tests. That logger stays in place.
    let _ = builder().try_init();
}

/// Starts logging to standard output through a bounded queue, with the same filter as [`start`]. Dropping the handle
/// writes the lines that are still queued.
pub fn start_queued(rate_limit: RateLimit) -> std::io::Result<queue::Handle> {
    let (queue, handle) = Queue::start(rate_limit, std::io::stdout())?;
    let _ = builder().target(Target::Pipe(Box::new(queue))).try_init();
    Ok(handle)
}
