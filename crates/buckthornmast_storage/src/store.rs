//! Durable store of a replica in one data folder.

use std::{collections::VecDeque, io};

use buckthornmast_types::id;
use snafu::{ResultExt, Snafu};

use crate::{
    files::Files,
    frame::{self, End},
    record::{HardState, Record, Snapshot},
};

/// File with the disk identity. It is created last, so its presence shows that the folder is complete.
pub const IDENTITY: &str = "identity";
/// File with the log, as frames.
pub const LOG: &str = "log";
/// File with the snapshot.
pub const SNAPSHOT: &str = "snapshot";
/// File whose presence forbids a bootstrap.
pub const BOOTSTRAPPED: &str = "bootstrapped";

/// All files of a folder.
const FILES: [&str; 4] = [IDENTITY, LOG, SNAPSHOT, BOOTSTRAPPED];

/// Estimated payload bytes of a frame after which a batch continues in the next one.
const FRAME_TARGET_BYTES: usize = 16 << 20;

/// Reason why a folder can't be opened.
#[derive(Debug, Snafu)]
pub enum OpenError {
    /// Data that was synced is missing or invalid. The replica must not vote under this identity again.
    #[snafu(display("{file} is damaged: {detail}"))]
    Damaged {
        /// Name of the file.
        file: &'static str,
        /// What is wrong.
        detail: String,
    },
    /// The operating system refused an operation on the folder.
    #[snafu(display("can't {step} the files of the data folder: {source}"))]
    Open {
        /// Operation, as a verb.
        step: &'static str,
        /// Cause.
        source: io::Error,
    },
}

/// Reason why a write is not durable.
#[derive(Debug, Snafu)]
pub enum WriteError {
    /// The operating system refused an operation before anything of the write took effect, so it can be repeated.
    #[snafu(display("{step} was refused: {source}"))]
    Refused {
        /// Operation.
        step: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// A sync failed, so it is not known what is on the disk.
    #[snafu(display("{step} failed: {source}"))]
    Write {
        /// Operation.
        step: &'static str,
        /// Cause.
        source: io::Error,
    },
    /// A record can't be encoded or is too large.
    #[snafu(display("a record is larger than a frame"))]
    TooLarge,
    /// An earlier write failed, after which all writes are refused.
    #[snafu(display("an earlier write to this folder failed"))]
    Stopped,
}

impl WriteError {
    /// Returns whether the same write may succeed later.
    pub fn is_refusal(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }
}

/// Sizes of the files of a folder, in bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Usage {
    /// Log, including what is cut off before the next append.
    pub log: u64,
    /// Snapshot.
    pub snapshot: u64,
}

/// Failed operation of a write.
enum Failed {
    /// It was refused, and what was there before is unchanged or can be restored.
    Refused(io::Error),
    /// It is not known what is on the disk.
    Unknown(io::Error),
}

/// Content of a folder.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Hard state.
    pub hard: HardState,
    /// Position before the first entry of the log.
    pub base: (id::Index, id::Term),
    /// Entries after the base, as `(index, term, payload)`.
    pub entries: VecDeque<(id::Index, id::Term, Vec<u8>)>,
    /// Snapshot, if one was taken.
    pub snapshot: Option<Snapshot>,
    /// Whether the folder was bootstrapped, which forbids another bootstrap.
    pub is_bootstrapped: bool,
    /// Bytes of a torn last frame that were truncated.
    pub torn_bytes: usize,
}

/// Open data folder.
#[derive(Debug)]
pub struct Store<F> {
    files: F,
    disk: id::Disk,
    // Set after a failed sync, after which all writes are refused.
    is_stopped: bool,
    // Length of the durable part of the log. Bytes after it belong to a write that was torn or refused.
    log_len: u64,
    is_torn: bool,
    // Position that the next append has to state, because the log file doesn't reach that of the snapshot.
    unstated_base: Option<(id::Index, id::Term)>,
    usage: Usage,
}

fn damaged<T>(file: &'static str, detail: impl Into<String>) -> Result<T, OpenError> {
    DamagedSnafu {
        file,
        detail: detail.into(),
    }
    .fail()
}

impl<F: Files> Store<F> {
    /// Opens a folder. An empty one is initialised with a new disk identity.
    pub fn open(mut files: F) -> Result<(Self, Recovered), OpenError> {
        let identity = files.read(IDENTITY).context(OpenSnafu { step: "read" })?;
        let Some(identity) = identity else {
            return Self::create(files);
        };
        let text = String::from_utf8_lossy(&identity);
        let Ok(disk) = text.trim().parse::<id::Disk>() else {
            return damaged(IDENTITY, "not a UUID");
        };
        let mut store = Self::new(files, disk);
        store
            .remove_unfinished()
            .context(OpenSnafu { step: "remove" })?;
        let recovered = store.recover()?;
        Ok((store, recovered))
    }

    fn new(files: F, disk: id::Disk) -> Self {
        Self {
            files,
            disk,
            is_stopped: false,
            log_len: 0,
            is_torn: false,
            unstated_base: None,
            usage: Usage::default(),
        }
    }

    /// Removes files whose replacement was not finished, which would keep the space that the next one needs.
    fn remove_unfinished(&mut self) -> io::Result<()> {
        for name in FILES {
            self.files.remove(&unfinished(name))?;
        }
        Ok(())
    }

    /// Discards the content of a folder and initialises it with a new disk identity. The bootstrap mark stays.
    pub fn reset(files: F) -> Result<(Self, Recovered), OpenError> {
        Self::create(files)
    }

    fn create(mut files: F) -> Result<(Self, Recovered), OpenError> {
        let is_bootstrapped = files
            .read(BOOTSTRAPPED)
            .context(OpenSnafu { step: "read" })?
            .is_some();
        let mut store = Self::new(files, id::Disk(uuid::Uuid::new_v4()));
        store
            .remove_unfinished()
            .context(OpenSnafu { step: "remove" })?;
        let first = [Record::Hard(HardState::default())];
        let text = store.disk.to_string();
        store
            .create_files(&first, &text)
            .context(OpenSnafu { step: "create" })?;
        Ok((
            store,
            Recovered {
                is_bootstrapped,
                ..Recovered::default()
            },
        ))
    }

    // A crash between the steps leaves either no identity or an identity that doesn't match the log. The
    // latter is detected by the salt and reported as damage.
    fn create_files(&mut self, first: &[Record], identity: &str) -> io::Result<()> {
        let mut content = Vec::new();
        encode(&mut content, self.salt(), first).map_err(|_| io::ErrorKind::InvalidData)?;
        self.replace_snapshot(&[])
            .and_then(|()| self.replace_log(&content))
            .and_then(|()| self.replace_file(IDENTITY, identity.as_bytes()))
            .map_err(|failed| match failed {
                Failed::Refused(error) | Failed::Unknown(error) => error,
            })
    }

    /// Replaces a file atomically and durably.
    fn replace_file(&mut self, name: &str, content: &[u8]) -> Result<(), Failed> {
        let unfinished = unfinished(name);
        let written = self
            .files
            .write(&unfinished, content)
            .and_then(|()| self.files.sync(&unfinished))
            .and_then(|()| self.files.rename(&unfinished, name));
        if let Err(error) = written {
            if let Err(error) = self.files.remove(&unfinished) {
                log::warn!(step = "remove", file = unfinished.as_str(); "removing an unfinished file of the data folder failed: {error}");
            }
            return Err(Failed::Refused(error));
        }
        self.files.sync_folder().map_err(Failed::Unknown)
    }

    fn replace_log(&mut self, content: &[u8]) -> Result<(), Failed> {
        self.replace_file(LOG, content)?;
        self.log_len = content.len() as u64;
        self.is_torn = false;
        self.unstated_base = None;
        self.usage.log = self.log_len;
        Ok(())
    }

    fn replace_snapshot(&mut self, content: &[u8]) -> Result<(), Failed> {
        self.replace_file(SNAPSHOT, content)?;
        self.usage.snapshot = content.len() as u64;
        Ok(())
    }

    /// Returns the identity of the disk.
    pub fn disk(&self) -> id::Disk {
        self.disk
    }

    /// Returns the sizes of the files.
    pub fn usage(&self) -> Usage {
        self.usage
    }

    fn salt(&self) -> [u8; 16] {
        *self.disk.0.as_bytes()
    }

    fn read(&mut self, name: &'static str) -> Result<Vec<u8>, OpenError> {
        match self.files.read(name).context(OpenSnafu { step: "read" })? {
            Some(content) => Ok(content),
            None => damaged(name, "missing"),
        }
    }

    fn recover(&mut self) -> Result<Recovered, OpenError> {
        let log = self.read(LOG)?;
        let (records, end) = decode(&log, self.salt())?;
        let mut recovered = replay(records)?;
        self.usage.log = log.len() as u64;
        self.log_len = self.usage.log;
        if let End::Torn(at) = end {
            // Cut off before the next append, so that a folder on a full disk can be opened.
            self.log_len = at as u64;
            self.is_torn = true;
            recovered.torn_bytes = log.len() - at;
        }
        let snapshot = self.read(SNAPSHOT)?;
        self.usage.snapshot = snapshot.len() as u64;
        recovered.snapshot = decode_snapshot(&snapshot, self.salt())?;
        recovered.is_bootstrapped = self
            .files
            .read(BOOTSTRAPPED)
            .context(OpenSnafu { step: "read" })?
            .is_some();
        if rebase(&mut recovered)? {
            self.unstated_base = Some(recovered.base);
        }
        // The process before this one may have been killed between a write and its sync.
        self.files
            .sync(LOG)
            .and_then(|()| self.files.sync_folder())
            .context(OpenSnafu { step: "sync" })?;
        Ok(recovered)
    }

    fn write_unless_stopped(
        &mut self,
        step: &'static str,
        write: impl FnOnce(&mut Self) -> Result<(), Failed>,
    ) -> Result<(), WriteError> {
        if self.is_stopped {
            return StoppedSnafu.fail();
        }
        match write(self) {
            Ok(()) => Ok(()),
            Err(Failed::Refused(source)) => Err(WriteError::Refused { step, source }),
            Err(Failed::Unknown(source)) => {
                self.is_stopped = true;
                Err(WriteError::Write { step, source })
            }
        }
    }

    /// Appends records and returns once they are durable. If this is refused, none of them are part of the log.
    pub fn append(&mut self, records: &[Record]) -> Result<(), WriteError> {
        if let Some((index, term)) = self.unstated_base {
            let base = [Record::Base { index, term }];
            let stated = [&base, records].concat();
            self.append_all(&stated)?;
            self.unstated_base = None;
            return Ok(());
        }
        self.append_all(records)
    }

    fn append_all(&mut self, records: &[Record]) -> Result<(), WriteError> {
        let durable = self.log_len;
        let mut rest = records;
        while !rest.is_empty() {
            let (first, later) = split_frame(rest);
            let mut content = Vec::new();
            encode(&mut content, self.salt(), first)?;
            let appended =
                self.write_unless_stopped("append", |store| store.append_frame(&content));
            if appended.is_err() {
                // An earlier frame of the batch is written once more with the next attempt.
                self.log_len = durable;
                self.is_torn = true;
            }
            appended?;
            rest = later;
        }
        Ok(())
    }

    fn append_frame(&mut self, content: &[u8]) -> Result<(), Failed> {
        if self.is_torn {
            // Synced first, so that after a loss of power no bytes of the torn write follow the new frame.
            self.files
                .truncate(LOG, self.log_len)
                .map_err(Failed::Refused)?;
            self.files.sync(LOG).map_err(Failed::Unknown)?;
            self.is_torn = false;
            self.usage.log = self.log_len;
        }
        self.usage.log = self.log_len + content.len() as u64;
        self.files.append(LOG, content).map_err(Failed::Refused)?;
        if let Err(error) = self.files.sync(LOG) {
            // The pages may be lost although they can still be read, so the folder must not be opened with them.
            if let Err(error) = self.files.truncate(LOG, self.log_len) {
                log::warn!(step = "truncate"; "cutting off a write whose sync failed was refused: {error}");
            }
            return Err(Failed::Unknown(error));
        }
        self.log_len = self.usage.log;
        Ok(())
    }

    /// Replaces the snapshot, then the whole log by these records. Their base is at or before the position of the
    /// snapshot, never after it.
    pub fn compact(&mut self, snapshot: &Snapshot, records: &[Record]) -> Result<(), WriteError> {
        let salt = self.salt();
        let mut file = Vec::new();
        let payload = postcard::to_stdvec(snapshot).map_err(|_| WriteError::TooLarge)?;
        if !frame::encode(&mut file, &salt, &payload) {
            return TooLargeSnafu.fail();
        }
        let mut log = Vec::new();
        let mut rest = records;
        while !rest.is_empty() {
            let (first, later) = split_frame(rest);
            encode(&mut log, salt, first)?;
            rest = later;
        }
        self.write_unless_stopped("snapshot", |store| store.replace_snapshot(&file))?;
        self.write_unless_stopped("compact", |store| store.replace_log(&log))
    }

    /// Forbids any later bootstrap from this folder.
    pub fn mark_bootstrapped(&mut self) -> Result<(), WriteError> {
        self.write_unless_stopped("mark", |store| store.replace_file(BOOTSTRAPPED, b"1"))
    }
}

/// Returns the name of a file before it replaces another one.
fn unfinished(name: &str) -> String {
    format!("{name}.tmp")
}

/// Splits records into those of the next frame and the rest.
fn split_frame(records: &[Record]) -> (&[Record], &[Record]) {
    let mut bytes = 0;
    let fits = records.iter().take_while(|record| {
        bytes += estimated_len(record);
        bytes <= FRAME_TARGET_BYTES
    });
    let count = fits.count().max(1);
    records.split_at(count)
}

// Counts 32 bytes for everything except the payload of an entry.
fn estimated_len(record: &Record) -> usize {
    match record {
        Record::Entry { payload, .. } => payload.len() + 32,
        Record::Hard(_) | Record::Base { .. } => 32,
    }
}

fn encode(buffer: &mut Vec<u8>, salt: [u8; 16], records: &[Record]) -> Result<(), WriteError> {
    let payload = postcard::to_stdvec(records).map_err(|_| WriteError::TooLarge)?;
    if frame::encode(buffer, &salt, &payload) {
        Ok(())
    } else {
        TooLargeSnafu.fail()
    }
}

fn decode(log: &[u8], salt: [u8; 16]) -> Result<(Vec<Record>, End), OpenError> {
    let mut records: Vec<Record> = Vec::new();
    let mut is_undecodable = false;
    let end = frame::scan(log, &salt, |payload| {
        match postcard::from_bytes::<Vec<Record>>(payload) {
            Ok(batch) => records.extend(batch),
            Err(_) => is_undecodable = true,
        }
    });
    if is_undecodable {
        return damaged(LOG, "a frame with a valid checksum can't be decoded");
    }
    if let End::Damaged(at) = end {
        return damaged(LOG, format!("invalid frame at byte {at} before valid ones"));
    }
    // The first frame was synced before the identity was written, so it can't be torn.
    if records.is_empty() {
        return damaged(LOG, "no valid first frame");
    }
    Ok((records, end))
}

fn decode_snapshot(file: &[u8], salt: [u8; 16]) -> Result<Option<Snapshot>, OpenError> {
    if file.is_empty() {
        return Ok(None);
    }
    let mut snapshot = None;
    let end = frame::scan(file, &salt, |payload| {
        snapshot = postcard::from_bytes::<Snapshot>(payload).ok();
    });
    if end != End::Clean || snapshot.is_none() {
        return damaged(SNAPSHOT, "wrong checksum or content");
    }
    Ok(snapshot)
}

fn replay(records: Vec<Record>) -> Result<Recovered, OpenError> {
    let mut recovered = Recovered::default();
    for record in records {
        match record {
            Record::Hard(hard) => recovered.hard = hard,
            Record::Base { index, term } => {
                recovered.base = (index, term);
                recovered.entries.clear();
            }
            Record::Entry {
                index,
                term,
                payload,
            } => {
                let before = recovered.base.0.0;
                let Some(offset) = index.0.checked_sub(before + 1) else {
                    return damaged(LOG, format!("entry {index} before the base"));
                };
                if offset > recovered.entries.len() as u64 {
                    return damaged(LOG, format!("gap before entry {index}"));
                }
                let retained = usize::try_from(offset).unwrap_or(usize::MAX);
                recovered.entries.truncate(retained);
                recovered.entries.push_back((index, term, payload));
            }
        }
    }
    Ok(recovered)
}

/// Aligns the log with a snapshot that was written just before a crash. Returns whether the log was discarded.
fn rebase(recovered: &mut Recovered) -> Result<bool, OpenError> {
    let Some(snapshot) = &recovered.snapshot else {
        if recovered.base.0.0 > 0 {
            return damaged(SNAPSHOT, "missing, but the log was compacted");
        }
        return Ok(false);
    };
    let (index, term) = (snapshot.index, snapshot.term);
    if recovered.base.0 > index {
        return damaged(SNAPSHOT, "older than the compacted log");
    }
    let last = recovered.base.0.0 + recovered.entries.len() as u64;
    let is_in_log = recovered.base == (index, term)
        || recovered
            .entries
            .iter()
            .any(|entry| (entry.0, entry.1) == (index, term));
    let is_discarded = !is_in_log || index.0 > last;
    if is_discarded {
        recovered.entries.clear();
        recovered.base = (index, term);
    }
    Ok(is_discarded)
}
