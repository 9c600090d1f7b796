//! Worker threads, started on demand up to a bound and ended when idle.

use std::{
    fmt, io,
    panic::{self, AssertUnwindSafe},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{exchange::Exchange, server::Config};

/// Time after which an idle worker ends.
const IDLE: Duration = Duration::from_secs(10);

/// Bounded worker threads.
pub(crate) struct Pool {
    jobs: flume::Receiver<Exchange>,
    state: Mutex<State>,
    name: String,
    stack: usize,
    limit: usize,
}

struct State {
    /// Closed by taking it out.
    sender: Option<flume::Sender<Exchange>>,
    /// Jobs queued or being run.
    busy: usize,
    /// Threads that take jobs.
    live: usize,
    threads: Vec<JoinHandle<()>>,
}

impl fmt::Debug for Pool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool")
            .field("limit", &self.limit)
            .finish_non_exhaustive()
    }
}

impl Pool {
    pub(crate) fn new(config: &Config) -> Self {
        let (sender, jobs) = flume::unbounded();
        let state = State {
            sender: Some(sender),
            busy: 0,
            live: 0,
            threads: Vec::new(),
        };
        Self {
            jobs,
            state: Mutex::new(state),
            name: config.name.clone(),
            stack: config.stack,
            limit: config.workers,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // The state is only counted up and down under the lock, so a panic leaves it usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn busy(&self) -> usize {
        self.state().busy
    }

    /// Reserves a place for a job, starting a thread if all are busy. Returns whether there is one.
    pub(crate) fn reserve<H>(self: &Arc<Self>, handler: &Arc<H>) -> io::Result<bool>
    where
        H: Fn(Exchange) + Send + Sync + 'static,
    {
        let mut state = self.state();
        if state.busy >= self.limit || state.sender.is_none() {
            return Ok(false);
        }
        if state.busy == state.live {
            state.threads.retain(|thread| !thread.is_finished());
            let (pool, handler) = (self.clone(), handler.clone());
            let thread = thread::Builder::new()
                .name(format!("{}-worker", self.name))
                .stack_size(self.stack)
                .spawn(move || work(&pool, &*handler))?;
            state.threads.push(thread);
            state.live += 1;
        }
        state.busy += 1;
        Ok(true)
    }

    /// Runs a job that was reserved.
    pub(crate) fn run(&self, exchange: Exchange) {
        if let Some(sender) = &self.state().sender {
            let _ = sender.send(exchange);
        }
    }

    /// Lets the jobs finish and joins the threads.
    pub(crate) fn join(&self) {
        let threads = {
            let mut state = self.state();
            state.sender = None;
            std::mem::take(&mut state.threads)
        };
        for thread in threads {
            let _ = thread.join();
        }
    }
}

fn work<H: Fn(Exchange)>(pool: &Pool, handler: &H) {
    loop {
        match pool.jobs.recv_timeout(IDLE) {
            Ok(exchange) => {
                // A handler that panics must not take its place in the pool with it. The exchange is
                // dropped by the unwinding and so answers 500.
                let run = AssertUnwindSafe(|| handler(exchange));
                if panic::catch_unwind(run).is_err() {
                    log::error!(step = "handler"; "the handler panicked");
                }
                pool.state().busy -= 1;
            }
            Err(flume::RecvTimeoutError::Disconnected) => return,
            Err(flume::RecvTimeoutError::Timeout) => {
                let mut state = pool.state();
                // A job reserved since the timeout counts on this thread.
                if state.busy < state.live {
                    state.live -= 1;
                    return;
                }
            }
        }
    }
}
