//! Worker threads that run handlers.
//!
//! Threads are started on demand up to a limit and wait for further work for some time, so that an idle
//! server keeps few threads and a busy one does not start a thread per request.

use std::{
    io,
    sync::{Arc, Mutex, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::exchange::Exchange;

/// Time that an idle worker waits for work before it exits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Bounded pool of worker threads.
pub(crate) struct Workers<H> {
    handler: Arc<H>,
    name: String,
    stack_bytes: usize,
    max_threads: usize,
    jobs: flume::Sender<Exchange>,
    queue: flume::Receiver<Exchange>,
    threads: Mutex<Vec<JoinHandle<()>>>,
}

impl<H: Fn(Exchange) + Send + Sync + 'static> Workers<H> {
    pub(crate) fn new(
        name: String,
        stack_bytes: usize,
        max_threads: usize,
        handler: Arc<H>,
    ) -> Self {
        // Without capacity, `try_send` succeeds only while an idle worker waits.
        let (jobs, queue) = flume::bounded(0);
        let threads = Mutex::default();
        Self {
            handler,
            name,
            stack_bytes,
            max_threads,
            jobs,
            queue,
            threads,
        }
    }

    /// Passes an exchange to a worker, or returns it if all workers are busy.
    pub(crate) fn run(&self, exchange: Exchange) -> Result<(), Box<Exchange>> {
        let exchange = match self.jobs.try_send(exchange) {
            Ok(()) => return Ok(()),
            Err(error) => error.into_inner(),
        };
        let mut threads = self.threads.lock().unwrap_or_else(PoisonError::into_inner);
        threads.retain(|thread| !thread.is_finished());
        if threads.len() >= self.max_threads {
            return Err(Box::new(exchange));
        }
        // The exchange is passed through a slot, so that it isn't lost if the thread can't be started.
        let slot = Arc::new(Mutex::new(Some(exchange)));
        match self.spawn(&slot) {
            Ok(thread) => {
                threads.push(thread);
                Ok(())
            }
            Err(error) => {
                log::warn!(step = "worker"; "starting a worker thread failed, its exchange is refused: {error}");
                let mut slot = slot.lock().unwrap_or_else(PoisonError::into_inner);
                slot.take()
                    .map_or(Ok(()), |exchange| Err(Box::new(exchange)))
            }
        }
    }

    fn spawn(&self, slot: &Arc<Mutex<Option<Exchange>>>) -> io::Result<JoinHandle<()>> {
        let (handler, queue) = (Arc::clone(&self.handler), self.queue.clone());
        let slot = Arc::clone(slot);
        thread::Builder::new()
            .name(self.name.clone())
            .stack_size(self.stack_bytes)
            .spawn(move || {
                let first = slot.lock().unwrap_or_else(PoisonError::into_inner).take();
                let mut next = first;
                while let Some(exchange) = next {
                    handler(exchange);
                    next = queue.recv_timeout(IDLE_TIMEOUT).ok();
                }
            })
    }

    /// Waits for the exchanges in progress and joins all threads.
    pub(crate) fn stop(self) {
        drop(self.jobs);
        drop(self.queue);
        let threads = self
            .threads
            .into_inner()
            .unwrap_or_else(PoisonError::into_inner);
        for thread in threads {
            if thread.join().is_err() {
                log::error!(step = "stop"; "a worker thread panicked");
            }
        }
    }
}
