//! This instance's copy of the log of routes.
//!
//! A replica that fails to write neither votes nor acknowledges any more. The disk may recover, so the replica is
//! opened again from what is durable, as after a restart of the process.

use std::{
    cell::RefCell,
    collections::HashMap,
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use buckthornmast_consensus::prelude::*;
use buckthornmast_link::Outbox;
use buckthornmast_routes::register::{Answer, Command, Register, Revision, Text};
use buckthornmast_storage::files::Folder;
use buckthornmast_types::{
    id,
    time::{Point, System},
};

use crate::message::Up;

/// Pause before a replica that failed is opened again.
pub const REOPEN: Duration = Duration::from_millis(700);

/// Intervals of the log. Instances are half a millisecond apart, and one lost packet delays a heartbeat by some 200 ms.
const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(75),
    election_min: Duration::from_millis(320),
    election_max: Duration::from_millis(520),
};

/// File that marks a disk that was there at the first start of the whole system.
const FOUNDER: &str = "founder";

/// Time for a command. Operators wait a second and try again elsewhere.
const COMMAND: Duration = Duration::from_millis(900);

/// Connections to the other replicas, shared with the thread of the log.
#[derive(Debug, Clone, Default)]
pub struct Wires {
    outboxes: Arc<Mutex<HashMap<id::Instance, Outbox<Up>>>>,
}

impl Wires {
    /// Sets or removes the connection to a replica.
    pub fn set(&self, instance: id::Instance, outbox: Option<Outbox<Up>>) {
        let outboxes = self.outboxes.lock();
        let mut outboxes = outboxes.unwrap_or_else(PoisonError::into_inner);
        match outbox {
            Some(outbox) => outboxes.insert(instance, outbox),
            None => outboxes.remove(&instance),
        };
    }
}

impl Wires {
    /// Sends a message that is not of the log.
    pub fn tell(&self, instance: &id::Instance, message: Up) {
        let outboxes = self.outboxes.lock();
        let outboxes = outboxes.unwrap_or_else(PoisonError::into_inner);
        if let Some(outbox) = outboxes.get(instance) {
            // A connection that has ended is opened again and then sends everything.
            let _ = outbox.send(message);
        }
    }
}

impl Transport for Wires {
    type Command = Command;

    fn send(&self, to: &id::Instance, message: Message<Command>) {
        let outboxes = self.outboxes.lock();
        let outboxes = outboxes.unwrap_or_else(PoisonError::into_inner);
        if let Some(outbox) = outboxes.get(to) {
            // The protocol repeats what is lost.
            let _ = outbox.send(Up::Log(Box::new(message)));
        }
    }
}

/// How to open the replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name in the voter set.
    pub member: id::Instance,
    /// Instances that found the log.
    pub founders: Vec<id::Instance>,
    /// Whether this is the first start of the whole system.
    pub is_first_start: bool,
    /// Folder.
    pub data: PathBuf,
}

/// Replica that is opened again after it failed.
pub struct Replica {
    config: Config,
    wires: Wires,
    clock: System,
    handle: RefCell<Option<Arc<Handle<Register>>>>,
}

impl Replica {
    /// Opens the replica; it stays closed if that fails.
    pub fn new(config: Config, wires: Wires, clock: System) -> Self {
        let replica = Self {
            config,
            wires,
            clock,
            handle: RefCell::default(),
        };
        replica.open();
        replica
    }

    /// Returns whether this disk may take part in founding the log: it was there at the first start of the whole
    /// system, which a mark on it tells after a restart. A disk that replaced another one has no mark.
    fn may_found(&self) -> bool {
        let mark = self.config.data.join(FOUNDER);
        if !self.config.is_first_start {
            return mark.exists();
        }
        let marked = std::fs::create_dir_all(&self.config.data)
            .and_then(|()| std::fs::File::create(&mark))
            .and_then(|file| file.sync_all())
            .and_then(|()| std::fs::File::open(&self.config.data)?.sync_all());
        if let Err(error) = marked {
            log::warn!(step = "open"; "the mark of the first start can't be written: {error}");
        }
        true
    }

    fn open(&self) {
        let founds = self.config.founders.contains(&self.config.member) && self.may_found();
        let voters = if founds {
            self.config.founders.clone()
        } else {
            Vec::new()
        };
        let mut config =
            buckthornmast_consensus::driver::Config::new(self.config.member.clone(), voters);
        config.may_found = founds;
        config.timing = TIMING;
        let data = self.config.data.clone();
        let started = start(
            config,
            move || Folder::open(&data),
            Register::default(),
            self.wires.clone(),
            self.clock,
        );
        match started {
            Ok(handle) => {
                let status = handle.status();
                log::info!(
                    step = "open",
                    term = status.term.0,
                    last = status.last.0,
                    snapshot = status.snapshot.0,
                    voters = status.voters.len();
                    "replica of the log opened"
                );
                self.handle.replace(Some(Arc::new(handle)));
            }
            Err(error) => {
                log::error!(step = "open"; "replica of the log can't be opened: {error}");
            }
        }
    }

    /// Opens the replica again if it has failed; returns whether it is open.
    pub fn mend(&self) -> bool {
        let has_failed = match &*self.handle.borrow() {
            Some(handle) => handle.status().role == Role::Stopped,
            None => true,
        };
        if has_failed {
            if let Some(handle) = self.handle.take() {
                log::warn!(step = "reopen"; "replica of the log failed and is opened again");
                handle.stop();
            }
            self.open();
        }
        self.handle.borrow().is_some()
    }

    fn handle(&self) -> Option<Arc<Handle<Register>>> {
        self.handle.borrow().clone()
    }

    /// Hands over a message of another replica.
    pub fn deliver(&self, from: id::Instance, message: Message<Command>) {
        if let Some(handle) = self.handle() {
            handle.deliver(from, message);
        }
    }

    /// Takes over the instances that may hold a copy.
    pub fn meet(&self, pool: Pool) {
        if let Some(handle) = self.handle() {
            handle.meet(pool);
        }
    }

    /// Returns the status, or that of a stopped replica.
    pub fn status(&self) -> Status {
        match self.handle() {
            Some(handle) => handle.status(),
            None => Status {
                role: Role::Stopped,
                ..Status::default()
            },
        }
    }

    /// Returns the newest document as far as this replica knows, if its version is above this one.
    pub fn newest(&self, above: Option<Revision>) -> Option<Text> {
        let handle = self.handle()?;
        handle.read(|register| {
            let newest = register.newest()?;
            let is_newer = above.is_none_or(|above| newest.version > above);
            is_newer.then(|| newest.clone())
        })
    }

    /// Proposes a command and waits for its answer.
    pub async fn propose(&self, command: Command) -> Result<Answer, ProposeError> {
        let Some(handle) = self.handle() else {
            return Err(ProposeError::NotAppended);
        };
        let proposed = tokio::task::spawn_blocking(move || handle.propose(command, COMMAND)).await;
        proposed.unwrap_or_else(|error| {
            log::error!(step = "propose"; "the proposing task ended: {error}");
            Err(ProposeError::Unknown)
        })
    }

    /// Returns whether this replica leads now, and in which term.
    pub fn leads(&self, now: Point) -> Option<id::Term> {
        let status = self.status();
        let leads =
            status.role == Role::Leader && status.leader_lease.is_some_and(|until| now < until);
        leads.then_some(status.term)
    }

    /// Stops the threads.
    pub fn stop(&self) {
        if let Some(handle) = self.handle.take() {
            handle.stop();
        }
    }
}
