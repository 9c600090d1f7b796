//! Replica of the log of routes on this instance.
//!
//! A replica goes on while its disk refuses writes. One for which it is not known what is on the disk, since a sync has
//! failed, stops voting and acknowledging entries. Since the disk may recover, it is opened again from its durable state,
//! as after a restart of the process. That is done on a thread of the runtime's blocking pool, so that a disk that hangs
//! doesn't hold up the process.

pub mod recovery;

use std::{
    cell::RefCell,
    collections::HashMap,
    fs::{self, File, OpenOptions},
    io,
    path::{Path, PathBuf},
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use buckthornmast_consensus::{driver::StartError, prelude::*};
use buckthornmast_link::Outbox;
use buckthornmast_routes::register::{Answer, Command, Register, Revision, Text};
use buckthornmast_storage::files::Folder;
use buckthornmast_types::{
    id,
    size::Bytes,
    time::{Point, System},
};

use tokio::sync::oneshot::{self, error::TryRecvError};

use self::recovery::{Action, Recovery};
use crate::{attestation, lease, memory::Content, message::Upstream, space::Space};

/// Intervals of the log, for a latency of 0.5 ms between instances. One lost packet delays a heartbeat by about 200 ms,
/// which must not cause an election.
const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(75),
    election_min: Duration::from_millis(320),
    election_max: Duration::from_millis(520),
};

/// Name of the file that marks a disk that took part in the first start of the whole system.
const FOUNDER_FILE: &str = "founder";

/// Returns whether the disk of a data folder took part in the first start of the whole system.
pub fn is_founder(data: &Path) -> bool {
    data.join(FOUNDER_FILE).exists()
}

/// Largest document of routes in bytes. One of 700 routes has some 210 KB. Each instance of the core sends it to every
/// entry instance, which has to receive it within the time limit of a frame.
pub const MAX_DOCUMENT_BYTES: u32 = 256 << 10;

/// Bytes of a command and of a snapshot besides the document.
const ENVELOPE_BYTES: u32 = 4 << 10;

/// Bounds of the log.
const LIMITS: Limits = Limits {
    command: MAX_DOCUMENT_BYTES + ENVELOPE_BYTES,
    log: 16 << 20,
    retained: 1 << 20,
};

/// Returns the largest size of the data folder, with the largest document and everything that is about to be replaced.
pub fn max_folder_bytes() -> Bytes {
    let log = Bytes(LIMITS.folder_bytes(u64::from(LIMITS.command)));
    let targets = [Content::Ready, Content::Leaving].map(Content::max_bytes);
    let files = targets
        .into_iter()
        .chain([attestation::MAX_BYTES, lease::MAX_BYTES]);
    // The file, and the one that replaces it.
    let files = files.map(|bytes| Bytes(2 * bytes as u64));
    files.chain([log]).sum()
}

/// Time limit for a command, and for the confirmation of a read. Operators wait a second before they try another instance.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(900);

/// Connections to the other replicas, shared with the thread of the log.
#[derive(Debug, Clone, Default)]
pub struct Outboxes {
    by_instance: Arc<Mutex<HashMap<id::Instance, Outbox<Upstream>>>>,
}

impl Outboxes {
    /// Sets or removes the connection to a replica.
    pub fn set(&self, instance: id::Instance, outbox: Option<Outbox<Upstream>>) {
        let outboxes = self.by_instance.lock();
        let mut outboxes = outboxes.unwrap_or_else(PoisonError::into_inner);
        match outbox {
            Some(outbox) => outboxes.insert(instance, outbox),
            None => outboxes.remove(&instance),
        };
    }
}

impl Outboxes {
    /// Sends a message that does not belong to the log.
    pub fn send_message(&self, instance: &id::Instance, message: Upstream) {
        let outboxes = self.by_instance.lock();
        let outboxes = outboxes.unwrap_or_else(PoisonError::into_inner);
        if let Some(outbox) = outboxes.get(instance) {
            // If the connection has ended, it is opened again, and the peer sends its full state first.
            let _ = outbox.send(&message);
        }
    }
}

impl Transport for Outboxes {
    type Command = Command;

    fn send(&self, to: &id::Instance, message: Message<Command>) {
        let outboxes = self.by_instance.lock();
        let outboxes = outboxes.unwrap_or_else(PoisonError::into_inner);
        if let Some(outbox) = outboxes.get(to) {
            // The protocol repeats lost messages.
            let _ = outbox.send(&Upstream::Log(Box::new(message)));
        }
    }
}

/// Configuration of the replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name in the voter set.
    pub member: id::Instance,
    /// Instances that bootstrap the log together.
    pub founders: Vec<id::Instance>,
    /// Whether this is the first start of the whole system.
    pub is_first_start: bool,
    /// Folder of the replicated log.
    pub data: PathBuf,
}

type Opened = Result<Arc<Handle<Register>>, StartError>;

/// Opens replicas on one data folder.
struct Opener {
    config: Config,
    outboxes: Outboxes,
    clock: System,
    // Whether writing the marker file of the first start has failed.
    has_mark_failed: AtomicBool,
}

impl Opener {
    /// Returns whether this disk may take part in the bootstrap of the log. It may if it took part in the first start of
    /// the whole system, which a marker file on it shows after a restart. A disk that replaced another one has no
    /// marker.
    fn can_bootstrap(&self) -> bool {
        if !self.config.is_first_start {
            return is_founder(&self.config.data);
        }
        match self.mark_founder() {
            Ok(()) => self.has_mark_failed.store(false, Ordering::Release),
            Err(error) => {
                if !self.has_mark_failed.swap(true, Ordering::AcqRel) {
                    log::warn!(step = "open"; "writing the marker file of the first start failed, this disk might not be allowed to found the log after a restart: {error}");
                }
            }
        }
        true
    }

    /// Creates the marker file unless it is there, which needs no space on the disk then, and makes it durable.
    fn mark_founder(&self) -> io::Result<()> {
        fs::create_dir_all(&self.config.data)?;
        OpenOptions::new()
            .append(true)
            .create(true)
            .open(self.config.data.join(FOUNDER_FILE))?
            .sync_all()?;
        File::open(&self.config.data)?.sync_all()
    }

    fn open(&self) -> Opened {
        let is_founder = self.config.founders.contains(&self.config.member) && self.can_bootstrap();
        let voters = if is_founder {
            self.config.founders.clone()
        } else {
            Vec::new()
        };
        let mut config =
            buckthornmast_consensus::driver::Config::new(self.config.member.clone(), voters);
        config.can_bootstrap = is_founder;
        config.timing = TIMING;
        config.limits = LIMITS;
        let data = self.config.data.clone();
        let handle = start(
            config,
            move || Folder::open(&data),
            Register::default(),
            self.outboxes.clone(),
            self.clock,
        )?;
        Ok(Arc::new(handle))
    }

    /// Logs how much space our own files take, which tells a disk that we have filled from one that others have.
    fn log_failure(&self, fault: Option<&str>) {
        match Space::measure(&self.config.data) {
            Ok(space) => log::warn!(
                step = "reopen",
                fault = fault,
                log_bytes = space.log,
                snapshot_bytes = space.snapshot,
                unfinished_bytes = space.unfinished,
                other_bytes = space.other,
                free_bytes:? = space.free;
                "replica of the log has failed; opening it again until it goes on"
            ),
            Err(error) => {
                log::warn!(step = "reopen", fault = fault; "replica of the log has failed; opening it again until it goes on; its files can't be measured: {error}")
            }
        }
    }
}

/// Replica that can be opened again after a failure.
pub struct Replica {
    opener: Arc<Opener>,
    handle: RefCell<Option<Arc<Handle<Register>>>>,
    // Result of the attempt in progress to open it again.
    opening: RefCell<Option<oneshot::Receiver<Opened>>>,
    recovery: RefCell<Recovery>,
}

impl Replica {
    /// Opens the replica. It stays closed if that fails.
    pub fn new(config: Config, outboxes: Outboxes, clock: System) -> Self {
        let opener = Opener {
            config,
            outboxes,
            clock,
            has_mark_failed: AtomicBool::new(false),
        };
        let replica = Self {
            handle: RefCell::default(),
            opening: RefCell::default(),
            recovery: RefCell::default(),
            opener: Arc::new(opener),
        };
        replica.set_opened(replica.opener.open());
        if replica.handle().is_some() {
            replica.log_open("replica of the log opened", 0, Duration::ZERO);
        }
        replica
    }

    fn set_opened(&self, opened: Opened) {
        match opened {
            Ok(handle) => {
                self.handle.replace(Some(handle));
            }
            Err(error) => {
                let error = error.to_string();
                if self.recovery.borrow_mut().record_error(error.clone()) {
                    log::error!(step = "open"; "opening the replica of the log failed, trying again until it succeeds: {error}");
                }
            }
        }
    }

    fn log_open(&self, message: &str, attempts: u64, failed: Duration) {
        let status = self.status();
        log::info!(
            step = "open",
            term = status.term.0,
            last = status.last.0,
            snapshot = status.snapshot.0,
            voters = status.voters.len(),
            attempts = attempts,
            failed_ms = failed.as_millis();
            "{message}"
        );
    }

    /// Opens the replica again if it has failed, without waiting for the disk.
    pub fn reopen_if_failed(&self, now: Point) {
        if let Some(opening) = &mut *self.opening.borrow_mut() {
            match opening.try_recv() {
                Ok(opened) => self.set_opened(opened),
                Err(TryRecvError::Empty) => return,
                Err(TryRecvError::Closed) => {
                    log::error!(step = "open"; "the task that opens the replica of the log failed");
                }
            }
        }
        self.opening.take();
        let has_failed = match &*self.handle.borrow() {
            Some(handle) => handle.status().role == Role::Stopped,
            None => true,
        };
        let action = self.recovery.borrow_mut().observe(has_failed, now);
        match action {
            Action::Wait => {}
            Action::Open { is_first } => self.reopen(is_first),
            Action::Recovered { attempts, lasted } => {
                self.log_open("replica of the log has recovered", attempts, lasted);
            }
        }
    }

    fn reopen(&self, is_first: bool) {
        metrics::counter!("buckthornmast_replica_reopened_total").increment(1);
        let failed = self.handle.take();
        let opener = Arc::clone(&self.opener);
        let (sender, opening) = oneshot::channel();
        self.opening.replace(Some(opening));
        // The runtime joins the thread.
        drop(tokio::task::spawn_blocking(move || {
            let fault = failed.as_ref().and_then(|failed| failed.status().fault);
            if is_first {
                opener.log_failure(fault.as_deref());
            }
            if let Some(failed) = failed {
                failed.stop();
            }
            // If this process stops, a replica that nobody takes is stopped as it is dropped.
            drop(sender.send(opener.open()));
        }));
    }

    fn handle(&self) -> Option<Arc<Handle<Register>>> {
        self.handle.borrow().clone()
    }

    /// Passes a message of another replica to this one. The message is dropped if this replica is closed.
    pub fn deliver(&self, from: id::Instance, message: Message<Command>) {
        if let Some(handle) = self.handle() {
            handle.deliver(from, message);
        }
    }

    /// Sets the instances that may replicate the log, and the number of voters.
    pub fn set_pool(&self, pool: Pool) {
        if let Some(handle) = self.handle() {
            handle.set_pool(pool);
        }
    }

    /// Returns the status of the replica, or that of a stopped one if it is closed.
    pub fn status(&self) -> Status {
        match self.handle() {
            Some(handle) => handle.status(),
            None => Status {
                role: Role::Stopped,
                ..Status::default()
            },
        }
    }

    /// Returns the newest document that this replica knows, if its version is above the given one.
    pub fn newest(&self, above: Option<Revision>) -> Option<Text> {
        let handle = self.handle()?;
        handle.read(|register| {
            let newest = register.newest()?;
            let is_newer = above.is_none_or(|above| newest.version > above);
            is_newer.then(|| newest.clone())
        })
    }

    /// Returns the version of the newest document that this replica knows.
    pub fn newest_version(&self) -> Option<Revision> {
        let handle = self.handle()?;
        handle.read(|register| Some(register.newest()?.version))
    }

    /// Proposes a command and waits for its answer.
    pub async fn propose(&self, command: Command) -> Result<Answer, ProposeError> {
        let Some(handle) = self.handle() else {
            return Err(ProposeError::NotAppended);
        };
        let proposed =
            tokio::task::spawn_blocking(move || handle.propose(command, COMMAND_TIMEOUT)).await;
        proposed.unwrap_or_else(|error| {
            log::error!(step = "propose"; "the task that proposes a command failed: {error}");
            Err(ProposeError::Unknown)
        })
    }

    /// Waits until a majority has confirmed that this replica leads, after which [`Self::newest`] returns the newest
    /// document that was accepted before this call.
    pub async fn confirm(&self) -> Result<(), ConfirmError> {
        let Some(handle) = self.handle() else {
            return Err(ConfirmError::NotLeader { hint: None });
        };
        let confirmed = tokio::task::spawn_blocking(move || handle.confirm(COMMAND_TIMEOUT)).await;
        confirmed.unwrap_or_else(|error| {
            log::error!(step = "confirm"; "the task that confirms the leadership failed: {error}");
            Err(ConfirmError::Unconfirmed)
        })
    }

    /// Returns the term in which this replica leads now, if it does.
    pub fn leading_term(&self, now: Point) -> Option<id::Term> {
        let status = self.status();
        let is_leader =
            status.role == Role::Leader && status.leader_lease.is_some_and(|until| now < until);
        is_leader.then_some(status.term)
    }

    /// Stops the threads of the replica. An attempt to open it that is in progress ends by itself.
    pub fn stop(&self) {
        self.opening.take();
        if let Some(handle) = self.handle.take() {
            handle.stop();
        }
    }
}
