//! Files of the targets that were known before a restart.
//!
//! After a restart of the whole system, targets take some seconds to announce themselves again, and until then no
//! request could be forwarded. So an instance of the core keeps the targets that take new work in a file. That file is only
//! a hint: it is written from time to time, a damaged one is ignored, and restored targets are kept only until they have
//! had time to announce themselves.
//!
//! The targets that leave are in a file of their own. It is a promise: the call by which a target leaves is answered only
//! when this file has it on enough disks, since a target that was told so may end, and another instance may restore it
//! from an older hint.
//!
//! The size of both is bounded, since they share their disk with the replicated log.

use std::{cell::Cell, cmp::Reverse, future::Future, path::Path, time::Duration};

use buckthornmast_fleet::registry::{Entry, Registry, Update};
use buckthornmast_types::time::Point;

use crate::{
    durable::{Failure, File, Purpose, open, seal},
    message::with_versions,
};

/// Targets that a file keeps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Content {
    /// Targets that take new work. Of more than fit, some are left out, and have to announce themselves after a restart.
    Ready,
    /// Targets that leave or have withdrawn. Of more than fit, those that have been leaving for longest are left out.
    Leaving,
}

impl Content {
    /// Returns the name of the file in the data folder.
    pub fn file_name(self) -> &'static str {
        match self {
            Self::Ready => "targets",
            Self::Leaving => "departures",
        }
    }

    /// Returns the largest size of the file in bytes. While it is replaced, two of this size lie in the folder.
    pub const fn max_bytes(self) -> usize {
        match self {
            Self::Ready => 4 << 20,
            // Some 10,000 targets.
            Self::Leaving => 1 << 20,
        }
    }

    /// Returns the updates that restore the targets.
    fn updates(self, registry: &Registry) -> Vec<Update> {
        match self {
            Self::Ready => {
                let ready = registry.entries().filter(|entry| entry.is_ready());
                ready.map(ready_update).collect()
            }
            Self::Leaving => {
                let leaving = registry.entries().filter(|entry| entry.is_departing());
                let mut leaving: Vec<&Entry> = leaving.collect();
                leaving.sort_by_key(|entry| Reverse(entry.leaving_since));
                leaving.into_iter().map(leaving_update).collect()
            }
        }
    }
}

fn ready_update(entry: &Entry) -> Update {
    let mut announcement = entry.announcement.clone();
    // These change with every announcement. The file is not written for them alone.
    announcement.sequence = 0;
    announcement.cold = Duration::ZERO;
    Update {
        announcement,
        withdrawn: false,
    }
}

/// Returns an update with the sequence number that makes it newer than any hint, and without the copies at the target,
/// which is not used for them any more.
fn leaving_update(entry: &Entry) -> Update {
    let mut announcement = entry.announcement.clone();
    announcement.cold = Duration::ZERO;
    announcement.resident.clear();
    announcement.in_memory.clear();
    announcement.on_disk.clear();
    Update {
        announcement,
        withdrawn: entry.is_withdrawn,
    }
}

/// Store of known targets.
#[derive(Debug)]
pub struct Store {
    content: Content,
    // Whether the file lacks targets.
    is_truncated: Cell<bool>,
    file: File,
}

impl Store {
    /// Creates a store on a file in a folder; neither need exist. What the process before this one has not finished is
    /// removed.
    pub fn new(folder: &Path, content: Content) -> Self {
        // A missing file stands for no targets.
        let empty = encode(&[]).unwrap_or_default();
        let purpose = Purpose {
            name: content.file_name(),
            subject: "targets",
            failure: Failure::Keep,
        };
        Self {
            content,
            is_truncated: Cell::new(false),
            file: File::new(folder, purpose, empty),
        }
    }

    /// Adds the targets that the file had when it was written to a registry. Without a readable file there are none.
    pub fn restore(&self, registry: &mut Registry, now: Point) {
        let file = self.content.file_name();
        let bytes = match self.file.read() {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return,
            Err(error) => {
                log::warn!(step = "open", file = file; "reading the file failed; no targets are restored from it: {error}");
                return;
            }
        };
        match decode(&bytes) {
            Some(updates) => {
                log::info!(step = "open", file = file, targets = updates.len(); "restored the targets that were known before the start");
                for update in updates {
                    registry.restore(update, now);
                }
            }
            None => {
                log::warn!(step = "open", file = file; "ignoring the damaged file; no targets are restored from it");
            }
        }
    }

    /// Writes the targets, if they have changed, without waiting for the disk.
    pub fn save(&self, registry: &Registry) {
        let file = self.content.file_name();
        let updates = self.content.updates(registry);
        let Some((bytes, kept)) = encode_fitting(&updates, self.content.max_bytes()) else {
            log::error!(step = "persist", file = file; "encoding the known targets failed, not writing them");
            return;
        };
        let is_truncated = kept < updates.len();
        if self.is_truncated.replace(is_truncated) != is_truncated {
            log::warn!(step = "persist", file = file, targets = updates.len(), written = kept, max_bytes = self.content.max_bytes(), is_truncated = is_truncated; "the number of targets that fit in their file has changed");
        }
        self.file.write(bytes);
    }

    /// Writes the targets, and waits until the disk has them. The wait does not end if the disk fails, so it needs a limit.
    pub fn save_and_wait(&self, registry: &Registry) -> impl Future<Output = ()> + use<> {
        self.save(registry);
        self.file.written()
    }
}

/// Encodes as many of the first targets as fit in this many bytes, and returns their number.
fn encode_fitting(updates: &[Update], max_bytes: usize) -> Option<(Vec<u8>, usize)> {
    let mut kept = updates.len();
    loop {
        let bytes = encode(&updates[..kept])?;
        if bytes.len() <= max_bytes {
            return Some((bytes, kept));
        }
        // Targets differ in size, so this may take more than one round.
        kept = (kept * max_bytes / bytes.len()).min(kept - 1);
    }
}

/// Encodes the targets, followed by their versions, which older builds pass over.
fn encode(updates: &[Update]) -> Option<Vec<u8>> {
    let versions = updates.iter();
    let versions: Vec<_> = versions
        .map(|update| update.announcement.version.clone())
        .collect();
    let body = postcard::to_stdvec(&(updates, versions)).ok()?;
    Some(seal(&body))
}

fn decode(bytes: &[u8]) -> Option<Vec<Update>> {
    let (updates, rest) = postcard::take_from_bytes(open(bytes)?).ok()?;
    // An older build stored no versions.
    let versions = postcard::from_bytes(rest).unwrap_or_default();
    Some(with_versions(updates, versions).collect())
}
