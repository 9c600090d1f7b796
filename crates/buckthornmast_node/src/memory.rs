//! File of the targets that were known before a restart.
//!
//! After a restart of the whole system, targets take some seconds to announce themselves again, and until then no
//! request could be forwarded. So an instance of the core keeps the known targets in a file. The file is only a hint: a
//! damaged file is ignored, and restored targets are kept only until they have had time to announce themselves.

use std::{cell::RefCell, fs, future::Future, io::Write, path::PathBuf, rc::Rc, time::Duration};

use buckthornmast_fleet::registry::{Registry, Update};
use buckthornmast_types::time::Point;
use tokio::task::JoinHandle;

/// Name of the file in the data folder.
pub const FILE_NAME: &str = "targets";

/// Store of the known targets.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    // Content of the file after the last write that was started.
    last_written: Rc<RefCell<Vec<u8>>>,
}

impl Store {
    /// Creates a store on a file, which need not exist.
    pub fn new(path: PathBuf) -> Self {
        Self {
            path,
            last_written: Rc::default(),
        }
    }

    /// Reads the targets that accepted new work when the file was written. Without a readable file there are none.
    pub fn load(&self, now: Point) -> Registry {
        let mut registry = Registry::default();
        let Ok(bytes) = fs::read(&self.path) else {
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
        drop(self.write(registry));
    }

    /// Writes the targets that accept new work, and waits for the disk. Used before the call of a target that leaves is
    /// answered, so that this target is not restored after a restart.
    pub fn save_and_wait(&self, registry: &Registry) -> impl Future<Output = ()> + use<> {
        let writing = self.write(registry);
        async move {
            if let Some(writing) = writing
                && let Err(error) = writing.await
            {
                log::error!(step = "persist"; "the task that writes the file of targets failed: {error}");
            }
        }
    }

    fn write(&self, registry: &Registry) -> Option<JoinHandle<()>> {
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
        let bytes = encode(&updates)?;
        if *self.last_written.borrow() == bytes {
            return None;
        }
        self.last_written.replace(bytes.clone());
        let path = self.path.clone();
        // A disk that hangs blocks only one thread of the runtime's blocking pool.
        Some(tokio::task::spawn_blocking(move || {
            let written = fs::File::create(&path).and_then(|mut file| {
                file.write_all(&bytes)?;
                file.sync_data()
            });
            if let Err(error) = written {
                log::warn!(step = "persist"; "writing the file of targets failed: {error}");
            }
        }))
    }
}

fn encode(updates: &[Update]) -> Option<Vec<u8>> {
    let body = postcard::to_stdvec(updates).ok()?;
    let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
    bytes.extend_from_slice(&body);
    Some(bytes)
}

fn decode(bytes: &[u8]) -> Option<Vec<Update>> {
    let (checksum, body) = bytes.split_first_chunk::<4>()?;
    if crc32fast::hash(body).to_le_bytes() != *checksum {
        return None;
    }
    postcard::from_bytes(body).ok()
}
