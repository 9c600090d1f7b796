//! File of the targets that were known before a restart.
//!
//! After a restart of the whole system, targets take some seconds to announce themselves again, and until then no
//! request could be forwarded. So an instance of the core keeps the known targets in a file. The file is only a hint: a
//! damaged file is ignored, and restored targets are kept only until they have had time to announce themselves.

use std::{
    cell::{Cell, RefCell},
    fs,
    future::Future,
    io::{self, Write},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use buckthornmast_fleet::registry::{Registry, Update};
use buckthornmast_types::time::Point;
use tokio::sync::watch;

use crate::message::with_versions;

/// Name of the file in the data folder.
pub const FILE_NAME: &str = "targets";

/// Contents that are written one after the other, on a thread of the runtime's blocking pool, so that a disk that hangs
/// blocks one thread only.
#[derive(Debug)]
struct Writer {
    path: PathBuf,
    // Content that waits for the write in progress, with its number. A newer one replaces it.
    next: Mutex<Option<(u64, Vec<u8>)>>,
    is_running: AtomicBool,
    // Number of the newest content on the disk.
    written: watch::Sender<u64>,
    // Whether the last write failed.
    has_failed: AtomicBool,
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
                }
                Err(error) => {
                    log::warn!(step = "persist"; "writing the file of targets failed: {error}");
                    self.has_failed.store(true, Ordering::Release);
                }
            }
        }
    }
}

/// Replaces a file, so that after a loss of power it has either its former content or this one.
fn replace_file(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let unfinished = path.with_extension("new");
    let mut file = fs::File::create(&unfinished)?;
    file.write_all(bytes)?;
    file.sync_data()?;
    fs::rename(&unfinished, path)?;
    match path.parent() {
        Some(folder) => fs::File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

/// Store of the known targets.
#[derive(Debug)]
pub struct Store {
    // Content that was last handed to the writer, and its number.
    requested: RefCell<Vec<u8>>,
    number: Cell<u64>,
    writer: Arc<Writer>,
}

impl Store {
    /// Creates a store on a file, which need not exist.
    pub fn new(path: PathBuf) -> Self {
        Self {
            requested: RefCell::default(),
            number: Cell::new(0),
            writer: Arc::new(Writer {
                path,
                next: Mutex::default(),
                is_running: AtomicBool::new(false),
                written: watch::Sender::new(0),
                has_failed: AtomicBool::new(false),
            }),
        }
    }

    /// Reads the targets that accepted new work when the file was written. Without a readable file there are none.
    pub fn load(&self, now: Point) -> Registry {
        let mut registry = Registry::default();
        let Ok(bytes) = fs::read(&self.writer.path) else {
            return registry;
        };
        match decode(&bytes) {
            Some(updates) => {
                log::info!(step = "open", targets = updates.len(); "restored the targets that were known before the start");
                for update in updates {
                    registry.restore(update, now);
                }
            }
            None => {
                log::warn!(step = "open"; "ignoring the damaged file of targets; no targets are restored");
            }
        }
        registry
    }

    /// Writes the targets that accept new work, if they have changed, without waiting for the disk.
    pub fn save(&self, registry: &Registry) {
        // A lost write does no harm, since targets announce themselves again.
        self.write(registry);
    }

    /// Writes the targets that accept new work, and waits until the disk has them. The wait does not end if the disk fails,
    /// so it needs a limit. Used before the call of a target that leaves is answered, so that this target is not restored
    /// after a restart.
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
        let ready = registry.entries().filter(|entry| entry.is_ready());
        let updates: Vec<Update> = ready
            .map(|entry| {
                let mut announcement = entry.announcement.clone();
                // These change with every announcement. The file is not written for them alone.
                announcement.sequence = 0;
                announcement.cold = Duration::ZERO;
                Update {
                    announcement,
                    withdrawn: false,
                }
            })
            .collect();
        let Some(bytes) = encode(&updates) else {
            log::error!(step = "persist"; "encoding the known targets failed, not writing them");
            return;
        };
        let has_failed = self.writer.has_failed.swap(false, Ordering::AcqRel);
        if *self.requested.borrow() == bytes && !has_failed {
            return;
        }
        self.requested.replace(bytes.clone());
        self.number.set(self.number.get() + 1);
        self.writer.start(self.number.get(), bytes);
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
