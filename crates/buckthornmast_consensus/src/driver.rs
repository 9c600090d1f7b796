//! Threads of one replica.
//!
//! The protocol thread processes all events in its inbox as one batch, steps the core and sends the messages that
//! don't depend on durable state. The writer thread makes the results durable, one write at a time, with one sync
//! for everything that arrived during the previous write. Votes, acknowledgements, the leader's own part in a
//! quorum, application and answers wait for the write that covers them. A leader therefore sends heartbeats, and
//! its followers receive them, while a sync takes longer than an election timeout.
//!
//! The alternative is to step the core only between writes and to repeat the last heartbeats in the meantime.
//! A follower could then answer nothing during its sync, and a leader whose followers sync at the same time
//! would step down. The core therefore continues during a write, and the end of the write is reported by
//! [`Input::Synced`](crate::core::Input::Synced). [`Writes`](crate::writes::Writes) is pure as well, and the
//! model checks run both.

mod disk;
mod folder;
pub mod reads;
mod replica;
mod writer;

use std::{
    io,
    sync::{
        Arc, Mutex, PoisonError, RwLock,
        atomic::{AtomicU8, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_storage::{files::Files, store::OpenError};
use buckthornmast_types::{id, time::Clock};
use snafu::{ResultExt, Snafu};

use crate::{
    core::{Timing, pool::Pool},
    driver::{reads::ConfirmError, replica::Replica, writer::Outcome},
    limits::Limits,
    machine::{RestoreError, StateMachine},
    message::Message,
    status::Status,
};

/// Capacity of the inbox. When it is full, messages are dropped and proposals refused.
pub const MAX_INBOX_EVENTS: usize = 8192;
/// Number of entries applied since the last snapshot after which the next one is taken.
pub const SNAPSHOT_ENTRIES: u64 = 4096;
/// Total size of the commands in one proposal to the core, unless a single command is larger.
const PROPOSAL_BYTES: u64 = 1 << 20;
/// Time without a commit after which a leader with uncommitted entries refuses commands at once: a majority of the group
/// can't write or can't be reached. It is longer than a sync on a busy disk.
pub const STALLED_AFTER: Duration = Duration::from_secs(2);
/// Duration of a write after which a leader steps down. Syncs of up to 1.5 s occur on a busy disk.
pub const MAX_LEADER_WRITE: Duration = Duration::from_secs(5);

/// Configuration of a replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// This instance.
    pub instance: id::Instance,
    /// Instances that the settings list as voters.
    pub voters: Vec<id::Instance>,
    /// Intervals of the protocol.
    pub timing: Timing,
    /// Number of entries between snapshots, by default [`SNAPSHOT_ENTRIES`].
    pub snapshot_entries: u64,
    /// Bounds of commands and of the data folder.
    pub limits: Limits,
    /// Duration of a write after which a leader steps down, by default [`MAX_LEADER_WRITE`]. The leader sends
    /// heartbeats during the write but answers nothing, so a disk that hangs would otherwise block the group.
    pub max_leader_write: Duration,
    /// Seed of the election timeouts. It must differ between instances.
    pub seed: u64,
    /// Whether this replica may bootstrap the log with the other voters that the settings list.
    pub can_bootstrap: bool,
}

impl Config {
    /// Returns the default configuration.
    pub fn new(instance: id::Instance, voters: Vec<id::Instance>) -> Self {
        let name = fnv1a(instance.as_str());
        Self {
            seed: name ^ buckthornmast_types::time::unix_millis().rotate_left(32),
            instance,
            voters,
            timing: Timing::default(),
            snapshot_entries: SNAPSHOT_ENTRIES,
            limits: Limits::default(),
            max_leader_write: MAX_LEADER_WRITE,
            can_bootstrap: true,
        }
    }
}

fn fnv1a(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Sender of messages to other replicas.
pub trait Transport: Send + 'static {
    /// Command of the replicated log.
    type Command;
    /// Sends a message without blocking. It may be dropped.
    fn send(&self, to: &id::Instance, message: Message<Self::Command>);
}

/// Reason why a replica can't start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The folder can't be opened.
    #[snafu(display("the data folder can't be opened: {source}"))]
    Folder {
        /// Cause.
        source: OpenError,
    },
    /// The machine refuses the snapshot.
    #[snafu(context(false), display("{source}"))]
    Machine {
        /// Cause.
        source: RestoreError,
    },
    /// The thread can't be started.
    #[snafu(display("the driver thread can't be started: {source}"))]
    Thread {
        /// Cause.
        source: io::Error,
    },
}

/// Reason why a proposal was not answered.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ProposeError {
    /// This replica is not the leader, so the command was not appended.
    #[snafu(display("this replica is not the leader"))]
    NotLeader {
        /// Leader, if known.
        hint: Option<id::Instance>,
    },
    /// The command will never be committed.
    #[snafu(display("the command was not appended"))]
    NotAppended,
    /// The command is too large for the log, so it was not appended and never will be.
    #[snafu(display("the command has {bytes} bytes, at most {limit} are accepted"))]
    TooLarge {
        /// Size of the encoded command.
        bytes: usize,
        /// Largest size that is accepted.
        limit: u32,
    },
    /// The command may still be committed.
    #[snafu(display("it is not known whether the command will be committed"))]
    Unknown,
}

// States of a proposal. The first transition out of `QUEUED` wins: either the proposer cancels the proposal after a
// timeout, and the thread never appends it, or the thread takes it.
const QUEUED: u8 = 0;
const TAKEN: u8 = 1;
const CANCELLED: u8 = 2;

type Reply<M> = flume::Sender<Result<<M as StateMachine>::Answer, ProposeError>>;

struct Proposal<M: StateMachine> {
    command: M::Command,
    size: u32,
    state: Arc<AtomicU8>,
    reply: Reply<M>,
}

impl<M: StateMachine> Proposal<M> {
    fn try_take(&self) -> bool {
        let taken = self
            .state
            .compare_exchange(QUEUED, TAKEN, Ordering::AcqRel, Ordering::Acquire);
        taken.is_ok()
    }
}

enum Event<M: StateMachine> {
    Message(id::Instance, Message<M::Command>),
    Propose(Proposal<M>),
    Confirm(flume::Sender<Result<(), ConfirmError>>),
    SetPool(Pool),
    Written(Outcome),
    Stop,
}

#[derive(Debug)]
struct Shared<M> {
    machine: RwLock<M>,
    status: Mutex<Status>,
}

/// Handle of a running replica. Dropping it stops the threads.
#[derive(Debug)]
pub struct Handle<M: StateMachine> {
    inbox: flume::Sender<Event<M>>,
    max_command: u32,
    shared: Arc<Shared<M>>,
    thread: Mutex<Option<JoinHandle<()>>>,
}

/// Opens the data folder and starts the threads.
pub fn start<F, M, T, K>(
    config: Config,
    files: impl Fn() -> io::Result<F>,
    machine: M,
    transport: T,
    clock: K,
) -> Result<Handle<M>, StartError>
where
    F: Files,
    M: StateMachine,
    T: Transport<Command = M::Command>,
    K: Clock,
{
    let shared = Arc::new(Shared {
        machine: RwLock::new(machine),
        status: Mutex::new(Status::default()),
    });
    let (inbox, events) = flume::bounded(MAX_INBOX_EVENTS);
    let max_command = config.limits.command;
    let replica = Replica::open(
        config,
        files,
        inbox.clone(),
        Arc::clone(&shared),
        transport,
        clock,
    )?;
    let thread = thread::Builder::new()
        .name("consensus".to_owned())
        .spawn(move || replica.run(events))
        .context(ThreadSnafu)?;
    Ok(Handle {
        inbox,
        max_command,
        shared,
        thread: Mutex::new(Some(thread)),
    })
}

impl<M: StateMachine> Handle<M> {
    /// Proposes a command and waits for its answer. After the timeout the command is cancelled if the protocol
    /// thread has not taken it yet; otherwise the result is [`ProposeError::Unknown`].
    pub fn propose(
        &self,
        command: M::Command,
        timeout: Duration,
    ) -> Result<M::Answer, ProposeError> {
        let size = postcard::experimental::serialized_size(&command).unwrap_or(usize::MAX);
        let fitting = u32::try_from(size).ok();
        let Some(size) = fitting.filter(|size| *size <= self.max_command) else {
            return Err(ProposeError::TooLarge {
                bytes: size,
                limit: self.max_command,
            });
        };
        let (reply, answer) = flume::bounded(1);
        let state = Arc::new(AtomicU8::new(QUEUED));
        let proposal = Proposal {
            command,
            size,
            state: Arc::clone(&state),
            reply,
        };
        if self.inbox.try_send(Event::Propose(proposal)).is_err() {
            return Err(ProposeError::NotAppended);
        }
        answer.recv_timeout(timeout).unwrap_or_else(|_| {
            let cancelled =
                state.compare_exchange(QUEUED, CANCELLED, Ordering::AcqRel, Ordering::Acquire);
            match cancelled {
                Ok(_) => Err(ProposeError::NotAppended),
                Err(_) => Err(ProposeError::Unknown),
            }
        })
    }

    /// Waits until a majority has confirmed that this replica leads, after which [`Self::read`] returns everything that
    /// was committed before this call. Nothing is written, so the disks of the group may be full.
    pub fn confirm(&self, timeout: Duration) -> Result<(), ConfirmError> {
        let (reply, answer) = flume::bounded(1);
        if self.inbox.try_send(Event::Confirm(reply)).is_err() {
            return Err(ConfirmError::Unconfirmed);
        }
        let answer = answer.recv_timeout(timeout);
        answer.unwrap_or(Err(ConfirmError::Unconfirmed))
    }

    /// Queues a message from another replica. It is dropped if the inbox is full.
    pub fn deliver(&self, from: id::Instance, message: Message<M::Command>) {
        let _ = self.inbox.try_send(Event::Message(from, message));
    }

    /// Replaces the instances that may replicate the log. The update is dropped if the inbox is full.
    pub fn set_pool(&self, pool: Pool) {
        let _ = self.inbox.try_send(Event::SetPool(pool));
    }

    /// Returns the status.
    pub fn status(&self) -> Status {
        let status = self.shared.status.lock();
        status.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Calls `read` with the machine as of the last applied entry.
    pub fn read<T>(&self, read: impl FnOnce(&M) -> T) -> T {
        let machine = self.shared.machine.read();
        read(&machine.unwrap_or_else(PoisonError::into_inner))
    }

    /// Stops the threads and waits for them, including a write in flight.
    pub fn stop(&self) {
        let thread = self.thread.lock();
        let thread = thread.unwrap_or_else(PoisonError::into_inner).take();
        if let Some(thread) = thread {
            let _ = self.inbox.send(Event::Stop);
            let _ = thread.join();
        }
    }
}

impl<M: StateMachine> Drop for Handle<M> {
    fn drop(&mut self) {
        self.stop();
    }
}
