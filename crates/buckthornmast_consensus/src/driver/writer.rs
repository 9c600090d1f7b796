//! Writer thread of the data folder.

use std::{
    io,
    sync::Arc,
    thread::{self, JoinHandle},
};

use buckthornmast_storage::{
    files::Files,
    record::{Record, Snapshot},
    store::{Store, Usage, WriteError},
};
use buckthornmast_types::id;
use serde::Serialize;

use crate::{core::Core, log::Log, message::Entry, writes::Write};

/// Encoded write.
pub(super) struct Job {
    is_bootstrapped: bool,
    snapshot: Option<Snapshot>,
    records: Vec<Record>,
}

impl Job {
    /// Encodes the changes that a write makes durable.
    pub(super) fn new<C: Clone + Serialize>(
        core: &Core<C>,
        write: &Write,
    ) -> Result<Self, WriteError> {
        let mut records = Vec::new();
        let snapshot = core.snapshot().filter(|_| write.has_snapshot);
        if write.has_hard_state || snapshot.is_some() {
            records.push(Record::Hard(core.hard()));
        }
        if snapshot.is_some() {
            let base = core.log().base();
            records.push(Record::Base {
                index: base.index,
                term: base.term,
            });
            records.extend(entries(core.log(), base.index.next())?);
        } else if let Some(from) = write.append {
            records.extend(entries(core.log(), from)?);
        }
        Ok(Self {
            is_bootstrapped: write.is_bootstrapped,
            snapshot: snapshot.map(|snapshot| Snapshot {
                index: snapshot.position.index,
                term: snapshot.position.term,
                data: Arc::clone(&snapshot.data),
            }),
            records,
        })
    }

    fn run<F: Files>(&self, store: &mut Store<F>) -> Result<(), WriteError> {
        match &self.snapshot {
            Some(snapshot) => store.compact(snapshot, &self.records)?,
            None => store.append(&self.records)?,
        }
        if self.is_bootstrapped {
            // After the first entry: a folder with the mark alone would never hold a log.
            store.mark_bootstrapped()?;
        }
        Ok(())
    }
}

fn entries<C: serde::Serialize>(log: &Log<C>, from: id::Index) -> Result<Vec<Record>, WriteError> {
    let encode = |entry: &Entry<C>| {
        let payload = postcard::to_stdvec(entry).map_err(|_| WriteError::TooLarge)?;
        Ok(Record::Entry {
            index: entry.position.index,
            term: entry.position.term,
            payload,
        })
    };
    log.entries_from(from).map(encode).collect()
}

/// Result of a write, and the sizes of the files after it.
pub(super) struct Outcome {
    pub(super) result: Result<(), WriteError>,
    pub(super) usage: Usage,
}

/// Handle of the writer thread.
pub(super) struct Writer {
    jobs: flume::Sender<Job>,
    thread: JoinHandle<()>,
}

impl Writer {
    /// Starts the thread. It calls `report` after each write and ends when `report` returns false.
    pub(super) fn start<F: Files>(
        mut store: Store<F>,
        report: impl Fn(Outcome) -> bool + Send + 'static,
    ) -> io::Result<Self> {
        let (jobs, inbox) = flume::bounded::<Job>(1);
        let thread = thread::Builder::new()
            .name("consensus-write".to_owned())
            .spawn(move || {
                while let Ok(job) = inbox.recv() {
                    let outcome = Outcome {
                        result: job.run(&mut store),
                        usage: store.usage(),
                    };
                    if !report(outcome) {
                        return;
                    }
                }
            })?;
        Ok(Self { jobs, thread })
    }

    /// Starts a write. At most one may be in flight, so this doesn't block.
    pub(super) fn write(&self, job: Job) {
        let _ = self.jobs.send(job);
    }

    /// Returns whether the thread has ended. Before it is stopped, only a panic ends it.
    pub(super) fn is_finished(&self) -> bool {
        self.thread.is_finished()
    }

    /// Waits for the write in flight and joins the thread.
    pub(super) fn stop(self) {
        drop(self.jobs);
        let _ = self.thread.join();
    }
}
