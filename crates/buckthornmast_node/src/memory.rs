//! Targets as they were known before a restart.
//!
//! After a restart of everything, targets announce themselves again within seconds, and until then no request could
//! be forwarded. So an instance of the core keeps what it knows in a file. The file is a hint: a damaged one is left alone,
//! and what it says counts only until the targets have had time to speak.

use std::{cell::RefCell, fs, future::Future, io::Write, path::PathBuf, rc::Rc, time::Duration};

use buckthornmast_fleet::registry::{Registry, Update};
use buckthornmast_types::time::Point;
use tokio::task::JoinHandle;

/// Name of the file in the data folder.
pub const FILE: &str = "targets";

/// File of targets.
#[derive(Debug)]
pub struct Memory {
    path: PathBuf,
    written: Rc<RefCell<Vec<u8>>>,
}

impl Memory {
    /// Uses a file, which may not exist.
    pub fn new(path: PathBuf) -> Self {
        Self {
            path,
            written: Rc::default(),
        }
    }

    /// Reads the targets that took new work.
    pub fn load(&self, now: Point) -> Registry {
        let mut registry = Registry::default();
        let Ok(bytes) = fs::read(&self.path) else {
            return registry;
        };
        match decode(&bytes) {
            Some(updates) => {
                log::info!(step = "open", targets = updates.len(); "targets of before the start are remembered");
                for update in updates {
                    registry.remember(update, now);
                }
            }
            None => {
                log::warn!(step = "open"; "the file of targets is damaged and not used");
            }
        }
        registry
    }

    /// Writes the targets that take new work, if they have changed.
    pub fn save(&self, registry: &Registry) {
        // Nobody waits for it: what is lost is announced again.
        drop(self.write(registry));
    }

    /// Writes the targets that take new work before a notice is acknowledged: a target that leaves must not be
    /// remembered as one that stays.
    pub fn save_before(&self, registry: &Registry) -> impl Future<Output = ()> + use<> {
        let writing = self.write(registry);
        async move {
            if let Some(writing) = writing
                && let Err(error) = writing.await
            {
                log::error!(step = "persist"; "the writing task ended: {error}");
            }
        }
    }

    fn write(&self, registry: &Registry) -> Option<JoinHandle<()>> {
        let ready = registry.entries().filter(|entry| entry.is_ready());
        let updates: Vec<Update> = ready
            .map(|entry| {
                let mut announcement = entry.announcement.clone();
                announcement.sequence = 0;
                announcement.cold = Duration::ZERO;
                Update {
                    announcement,
                    withdrawn: false,
                }
            })
            .collect();
        let bytes = encode(&updates)?;
        if *self.written.borrow() == bytes {
            return None;
        }
        self.written.replace(bytes.clone());
        let path = self.path.clone();
        // A disk that hangs holds up only this thread of the runtime's pool.
        Some(tokio::task::spawn_blocking(move || {
            let written = fs::File::create(&path).and_then(|mut file| {
                file.write_all(&bytes)?;
                file.sync_data()
            });
            if let Err(error) = written {
                log::warn!(step = "persist"; "targets can't be written: {error}");
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
    let (sum, body) = bytes.split_first_chunk::<4>()?;
    if crc32fast::hash(body).to_le_bytes() != *sum {
        return None;
    }
    postcard::from_bytes(body).ok()
}
