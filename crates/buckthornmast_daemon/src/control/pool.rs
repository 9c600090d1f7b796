//! Thread pool for the blocking work of the controller.

use std::thread::{self, JoinHandle};

use flume::{Receiver, Sender};

/// Piece of blocking work.
pub(super) type Job = Box<dyn FnOnce() + Send>;

/// Thread pool; its threads end when the sender is dropped.
pub(super) struct Pool {
    pub(super) jobs: Sender<Job>,
    threads: Vec<JoinHandle<()>>,
}

impl Pool {
    pub(super) fn start(name: &str, count: usize) -> std::io::Result<Self> {
        let (jobs, queue): (Sender<Job>, Receiver<Job>) = flume::unbounded();
        let spawn = |_| {
            let queue = queue.clone();
            let run = move || queue.into_iter().for_each(|job| job());
            thread::Builder::new().name(name.to_owned()).spawn(run)
        };
        let threads = (0..count).map(spawn).collect::<std::io::Result<_>>()?;
        Ok(Self { jobs, threads })
    }

    pub(super) fn stop(self) {
        drop(self.jobs);
        for thread in self.threads {
            let _ = thread.join();
        }
    }
}
