//! Small files whose content is replaced as a whole.
//!
//! They share their disk with the replicated log. A write that fails leaves nothing behind, so that a disk that was full for a
//! while doesn't stay full.

use std::{
    cell::{Cell, RefCell},
    fs,
    future::Future,
    io::{self, Write},
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use snafu::{ResultExt, Snafu};
use tokio::sync::watch;

/// What happens to the file if a write fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It keeps its former content.
    Keep,
    /// It is set aside, which takes no space. Its former content must not be taken for the current one.
    SetAside,
}

/// What a file is for.
#[derive(Debug, Clone, Copy)]
pub struct Purpose {
    /// Name in its folder, in logs and in metrics.
    pub name: &'static str,
    /// What it holds, in logs.
    pub subject: &'static str,
    /// What happens to it if a write fails.
    pub failure: Failure,
}

/// Contents that are written one after the other, on a thread of the runtime's blocking pool, so that a disk that hangs
/// blocks one thread only.
#[derive(Debug)]
struct Writer {
    path: PathBuf,
    purpose: Purpose,
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
                        log::info!(step = "persist", file = self.purpose.name, failed = failed; "the file of {} is written again", self.purpose.subject);
                    }
                }
                Err(error) => {
                    metrics::counter!("buckthornmast_refused_writes_total", "file" => self.purpose.name)
                        .increment(1);
                    if self.failed.fetch_add(1, Ordering::AcqRel) == 0 {
                        log::warn!(step = "persist", file = self.purpose.name, bytes = bytes.len(); "writing the file of {} failed, trying again until it succeeds: {error}", self.purpose.subject);
                    }
                    if self.purpose.failure == Failure::SetAside {
                        self.set_aside(number);
                    }
                    self.has_failed.store(true, Ordering::Release);
                }
            }
        }
    }

    /// Makes sure that the former content is not read after a restart.
    fn set_aside(&self, number: u64) {
        let renamed = match fs::rename(&self.path, aside(&self.path)) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            renamed => renamed.context(ReplaceSnafu { step: "set aside" }),
        };
        match renamed.and_then(|()| sync_folder(&self.path)) {
            Ok(()) => {
                self.written.send_replace(number);
            }
            Err(error) => {
                log::warn!(step = "persist", file = self.purpose.name; "the former file of {} can't be set aside either: {error}", self.purpose.subject);
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

fn aside(path: &Path) -> PathBuf {
    path.with_extension("old")
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
    sync_folder(path)
}

/// Makes the names in the folder of a file durable.
fn sync_folder(path: &Path) -> Result<(), ReplaceError> {
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

/// File that is written without waiting for the disk.
#[derive(Debug)]
pub struct File {
    // Content that was last handed to the writer, and its number.
    requested: RefCell<Vec<u8>>,
    number: Cell<u64>,
    writer: Arc<Writer>,
}

impl File {
    /// Creates a file in a folder; neither need exist. What the process before this one has not finished is removed.
    /// `empty` is the content that a missing file stands for, so that it need not be written.
    pub fn new(folder: &Path, purpose: Purpose, empty: Vec<u8>) -> Self {
        let path = folder.join(purpose.name);
        remove_unfinished(&path);
        let known = if path.exists() { Vec::new() } else { empty };
        Self {
            requested: RefCell::new(known),
            number: Cell::new(0),
            writer: Arc::new(Writer {
                path,
                purpose,
                next: Mutex::default(),
                is_running: AtomicBool::new(false),
                written: watch::Sender::new(0),
                has_failed: AtomicBool::new(false),
                failed: AtomicU64::new(0),
            }),
        }
    }

    /// Returns the content, or nothing if there is no file.
    pub fn read(&self) -> io::Result<Option<Vec<u8>>> {
        match fs::read(&self.writer.path) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    /// Replaces the content, if it has changed or the last write has failed, without waiting for the disk.
    pub fn write(&self, bytes: Vec<u8>) {
        let has_failed = self.writer.has_failed.swap(false, Ordering::AcqRel);
        if *self.requested.borrow() == bytes && !has_failed {
            return;
        }
        self.requested.replace(bytes.clone());
        self.number.set(self.number.get() + 1);
        self.writer.start(self.number.get(), bytes);
    }

    /// Returns whether the disk has the last content.
    pub fn is_written(&self) -> bool {
        *self.writer.written.borrow() >= self.number.get()
    }

    /// Returns a signal that comes once the disk has the last content. It does not come if the disk fails, so a wait for it
    /// needs a limit.
    pub fn written(&self) -> impl Future<Output = ()> + use<> {
        let number = self.number.get();
        let mut written = self.writer.written.subscribe();
        async move {
            // An error means that the file was dropped.
            let _ = written.wait_for(|written| *written >= number).await;
        }
    }
}

/// Returns a body with its checksum.
pub fn seal(body: &[u8]) -> Vec<u8> {
    let mut bytes = crc32fast::hash(body).to_le_bytes().to_vec();
    bytes.extend_from_slice(body);
    bytes
}

/// Returns the body of sealed bytes, unless they are damaged.
pub fn open(bytes: &[u8]) -> Option<&[u8]> {
    let (checksum, body) = bytes.split_first_chunk::<4>()?;
    (crc32fast::hash(body).to_le_bytes() == *checksum).then_some(body)
}
