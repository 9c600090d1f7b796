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
//! The files share their disk with the replicated log. Their size is bounded, and a write that fails leaves nothing behind,
//! so that a disk that was full for a while doesn't stay full.

use std::{
    cell::{Cell, RefCell},
    cmp::Reverse,
    fs,
    future::Future,
    io::{self, Write},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use buckthornmast_fleet::registry::{Entry, Registry, Update};
use buckthornmast_types::time::Point;
use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

use crate::message::with_versions;

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

/// Contents that are written one after the other, on a thread of the runtime's blocking pool, so that a disk that hangs
/// blocks one thread only.
#[derive(Debug)]
struct Writer {
    path: PathBuf,
    // Name of the file in logs and metrics.
    file: &'static str,
    // Content that waits for the write in progress, with its number. A newer one replaces it.
    next: Mutex<Option<(u64, Vec<u8>)>>,
    is_running: AtomicBool,
    // Number of the newest content on the disk.
    written: watch::Sender<u64>,
    // Whether a write has failed since the last request to write.
    has_failed: AtomicBool,
    // Number of writes that have failed since the last one that succeeded.
    failed: AtomicU64,
}

impl Writer {
    fn start(self: &Arc<Self>, number: u64, bytes: Vec<u8>) {
        let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
        *next = Some((number, bytes));
        if !self.is_running.swap(true, Ordering::AcqRel) {
            let writer = Arc::clone(self);
            // The thread ends with its last content, and the runtime joins it.
            drop(tokio::task::spawn_blocking(move || writer.run()));
        }
    }

    fn run(&self) {
        loop {
            let (number, bytes) = {
                let mut next = self.next.lock().unwrap_or_else(PoisonError::into_inner);
                let Some(next) = next.take() else {
                    self.is_running.store(false, Ordering::Release);
                    return;
                };
                next
            };
            match replace_file(&self.path, &bytes) {
                Ok(()) => {
                    self.written.send_replace(number);
                    let failed = self.failed.swap(0, Ordering::AcqRel);
                    if failed > 0 {
                        log::info!(step = "persist", file = self.file, failed = failed; "the file of targets is written again");
                    }
                }
                Err(error) => {
                    metrics::counter!("buckthornmast_refused_writes_total", "file" => self.file)
                        .increment(1);
                    if self.failed.fetch_add(1, Ordering::AcqRel) == 0 {
                        log::warn!(step = "persist", file = self.file, bytes = bytes.len(); "writing the file of targets failed, trying again until it succeeds: {error}");
                    }
                    self.has_failed.store(true, Ordering::Release);
                }
            }
        }
    }
}

/// Failed step of a replacement.
#[derive(Debug, Snafu)]
#[snafu(display("{step}: {source}"))]
struct ReplaceError {
    step: &'static str,
    source: io::Error,
}

fn unfinished(path: &Path) -> PathBuf {
    path.with_extension("new")
}

/// Removes the file of a replacement that was not finished.
fn remove_unfinished(path: &Path) {
    match fs::remove_file(unfinished(path)) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => {
            log::warn!(step = "persist"; "removing an unfinished file failed, it keeps its space: {error}");
        }
        _ => {}
    }
}

/// Replaces a file, so that after a loss of power it has either its former content or this one.
fn replace_file(path: &Path, bytes: &[u8]) -> Result<(), ReplaceError> {
    let unfinished = unfinished(path);
    write_file(&unfinished, bytes)
        .and_then(|()| fs::rename(&unfinished, path).context(ReplaceSnafu { step: "rename" }))
        .inspect_err(|_| remove_unfinished(path))?;
    match path.parent() {
        Some(folder) => fs::File::open(folder)
            .and_then(|folder| folder.sync_all())
            .context(ReplaceSnafu {
                step: "sync the folder",
            }),
        None => Ok(()),
    }
}

fn write_file(path: &Path, bytes: &[u8]) -> Result<(), ReplaceError> {
    let mut file = fs::File::create(path).context(ReplaceSnafu { step: "create" })?;
    file.write_all(bytes)
        .context(ReplaceSnafu { step: "write" })?;
    file.sync_data().context(ReplaceSnafu { step: "sync" })
}

/// Store of known targets.
#[derive(Debug)]
pub struct Store {
    content: Content,
    // Content that was last handed to the writer, and its number.
    requested: RefCell<Vec<u8>>,
    number: Cell<u64>,
    // Whether that content lacks targets.
    is_truncated: Cell<bool>,
    writer: Arc<Writer>,
}

impl Store {
    /// Creates a store on a file in a folder; neither need exist. What the process before this one has not finished is
    /// removed.
    pub fn new(folder: &Path, content: Content) -> Self {
        let path = folder.join(content.file_name());
        remove_unfinished(&path);
        // A missing file stands for no targets, so it need not be written for them.
        let known = if path.exists() { None } else { encode(&[]) };
        Self {
            content,
            requested: RefCell::new(known.unwrap_or_default()),
            number: Cell::new(0),
            is_truncated: Cell::new(false),
            writer: Arc::new(Writer {
                path,
                file: content.file_name(),
                next: Mutex::default(),
                is_running: AtomicBool::new(false),
                written: watch::Sender::new(0),
                has_failed: AtomicBool::new(false),
                failed: AtomicU64::new(0),
            }),
        }
    }

    /// Adds the targets that the file had when it was written to a registry. Without a readable file there are none.
    pub fn restore(&self, registry: &mut Registry, now: Point) {
        let file = self.content.file_name();
        let bytes = match fs::read(&self.writer.path) {
            Ok(bytes) => bytes,
            Err(error) => {
                if error.kind() != io::ErrorKind::NotFound {
                    log::warn!(step = "open", file = file; "reading the file failed; no targets are restored from it: {error}");
                }
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
        self.write(registry);
    }

    /// Writes the targets, and waits until the disk has them. The wait does not end if the disk fails, so it needs a limit.
    pub fn save_and_wait(&self, registry: &Registry) -> impl Future<Output = ()> + use<> {
        self.write(registry);
        let number = self.number.get();
        let mut written = self.writer.written.subscribe();
        async move {
            // An error means that the store was dropped.
            let _ = written.wait_for(|written| *written >= number).await;
        }
    }

    fn write(&self, registry: &Registry) {
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
        let has_failed = self.writer.has_failed.swap(false, Ordering::AcqRel);
        if *self.requested.borrow() == bytes && !has_failed {
            return;
        }
        self.requested.replace(bytes.clone());
        self.number.set(self.number.get() + 1);
        self.writer.start(self.number.get(), bytes);
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
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    Some(bytes)
}

fn decode(bytes: &[u8]) -> Option<Vec<Update>> {
    let (checksum, body) = bytes.split_first_chunk::<4>()?;
    if crc32fast::hash(body).to_le_bytes() != *checksum {
        return None;
    }
    let (updates, rest) = postcard::take_from_bytes(body).ok()?;
    // An older build stored no versions.
    let versions = postcard::from_bytes(rest).unwrap_or_default();
    Some(with_versions(updates, versions).collect())
}
