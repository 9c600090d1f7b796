//! Space that the files of a data folder take, and that is left on its disk.

use std::{
    cell::Cell,
    fs, io,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Suffixes of files that are written before they replace another one.
const UNFINISHED: [&str; 2] = ["tmp", "new"];

/// Space in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Space {
    /// Log of the replica.
    pub log: u64,
    /// Its snapshot.
    pub snapshot: u64,
    /// Files whose replacement is not finished.
    pub unfinished: u64,
    /// All other files.
    pub other: u64,
    /// Space that is left on the disk, if the operating system states it.
    pub free: Option<u64>,
}

impl Space {
    /// Measures a data folder.
    pub fn measure(folder: &Path) -> io::Result<Self> {
        let mut space = Self {
            free: rustix::fs::statvfs(folder)
                .ok()
                .map(|disk| disk.f_bavail.saturating_mul(disk.f_frsize)),
            ..Self::default()
        };
        for file in fs::read_dir(folder)? {
            let file = file?;
            let bytes = match file.metadata() {
                Ok(metadata) => metadata.len(),
                // It was renamed or removed meanwhile.
                Err(error) if error.kind() == io::ErrorKind::NotFound => continue,
                Err(error) => return Err(error),
            };
            let path = file.path();
            let suffix = path.extension().and_then(|suffix| suffix.to_str());
            let counter = match file.file_name().to_str() {
                _ if suffix.is_some_and(|suffix| UNFINISHED.contains(&suffix)) => {
                    &mut space.unfinished
                }
                Some("log") => &mut space.log,
                Some("snapshot") => &mut space.snapshot,
                _ => &mut space.other,
            };
            *counter += bytes;
        }
        Ok(space)
    }
}

/// Folder that is measured.
#[derive(Debug)]
struct Measured {
    folder: PathBuf,
    is_running: AtomicBool,
    has_failed: AtomicBool,
}

impl Measured {
    fn publish(&self) {
        match Space::measure(&self.folder) {
            Ok(space) => {
                space.publish();
                if self.has_failed.swap(false, Ordering::AcqRel) {
                    log::info!(step = "measure"; "the data folder can be measured again");
                }
            }
            Err(error) => {
                if !self.has_failed.swap(true, Ordering::AcqRel) {
                    log::warn!(step = "measure"; "measuring the data folder failed, its metrics are out of date: {error}");
                }
            }
        }
        self.is_running.store(false, Ordering::Release);
    }
}

impl Space {
    #[expect(
        clippy::cast_precision_loss,
        reason = "sizes of disks are far below 2^52 bytes"
    )]
    fn publish(&self) {
        for (file, bytes) in [
            ("log", self.log),
            ("snapshot", self.snapshot),
            ("unfinished", self.unfinished),
            ("other", self.other),
        ] {
            metrics::gauge!("buckthornmast_disk_file_bytes", "file" => file).set(bytes as f64);
        }
        if let Some(free) = self.free {
            metrics::gauge!("buckthornmast_disk_free_bytes").set(free as f64);
        }
    }
}

/// Publishes the space of a data folder as metrics. It is measured on a thread of the runtime's blocking pool, at most
/// once at a time, so that a disk that hangs blocks one thread only.
#[derive(Debug)]
pub struct Monitor {
    measured: Arc<Measured>,
    is_late: Cell<bool>,
}

impl Monitor {
    /// Creates a monitor of a folder, which need not exist yet.
    pub fn new(folder: PathBuf) -> Self {
        Self {
            measured: Arc::new(Measured {
                folder,
                is_running: AtomicBool::new(false),
                has_failed: AtomicBool::new(false),
            }),
            is_late: Cell::new(false),
        }
    }

    /// Starts a measurement unless one is in progress, and returns whether it did.
    pub fn start(&self) -> bool {
        let is_late = self.measured.is_running.swap(true, Ordering::AcqRel);
        if is_late != self.is_late.replace(is_late) {
            log::warn!(step = "measure", is_late = is_late; "measuring the data folder takes longer than usual, or no longer does");
        }
        if !is_late {
            let measured = Arc::clone(&self.measured);
            // The runtime joins the thread.
            drop(tokio::task::spawn_blocking(move || measured.publish()));
        }
        !is_late
    }
}
