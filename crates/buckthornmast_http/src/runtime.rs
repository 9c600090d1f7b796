//! Tokio runtimes behind the blocking interface.

use std::sync::OnceLock;

use tokio::runtime::{Builder, Handle, Runtime};

/// Threads of one runtime. Polling a connection takes microseconds, so few are needed.
const THREADS_PER_RUNTIME: usize = 2;

/// Starts a new runtime, which shuts down when it is dropped.
pub(crate) fn start(name: &str) -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(THREADS_PER_RUNTIME)
        .thread_name(name)
        .enable_all()
        .build()
}

/// Returns the runtime that all clients of the process share.
///
/// It runs until the process exits, since a client has no owner that could join it.
pub(crate) fn shared() -> std::io::Result<&'static Handle> {
    static SHARED: OnceLock<Runtime> = OnceLock::new();
    if let Some(runtime) = SHARED.get() {
        return Ok(runtime.handle());
    }
    let runtime = start("http-client")?;
    Ok(SHARED.get_or_init(|| runtime).handle())
}
