//! Pure protocol: messages and time in, effects out.
//!
//! The caller of [`Core::step`] makes the effects [`Effect::Hard`], [`Effect::Append`], [`Effect::Install`] and
//! [`Effect::Bootstrapped`] durable and reports this with [`Input::Synced`]. Until then a replica neither counts nor
//! acknowledges the entries concerned, and [`crate::writes::Writes`] holds back all other messages that depend on
//! durable state.

mod bootstrap;
mod election;
mod install;
mod leader;
mod model;
pub mod pool;
mod receive;
mod replication;
mod sync;

use std::time::Duration;

use buckthornmast_storage::record::HardState;
use buckthornmast_types::{id, time::Point};
use smallvec::SmallVec;

use crate::{
    core::{leader::LeaderState, pool::Pool},
    log::Log,
    machine::LogTime,
    message::{Body, Entry, Member, Message, Payload, Position},
    snapshot::{Content, Incoming, Snapshot},
    status,
    voters::Voters,
};

/// Largest total size of the entries in one append, so that a message doesn't delay heartbeats.
pub const MAX_APPEND_BYTES: u32 = 256 << 10;
/// Maximum number of entries in one append.
pub const MAX_APPEND_ENTRIES: usize = 512;
/// Number of unacknowledged entries in flight to one replica at which no more are sent.
pub const MAX_WINDOW_ENTRIES: u64 = 2048;
/// Size of the unacknowledged entries in flight to one replica at which no more are sent.
pub const MAX_WINDOW_BYTES: u32 = 4 << 20;
/// Largest chunk of a snapshot in one message.
pub const MAX_CHUNK_BYTES: usize = 256 << 10;
/// Uncommitted entries above which a leader refuses proposals.
pub const MAX_UNCOMMITTED_ENTRIES: u64 = 8192;
/// Total size of the uncommitted commands above which a leader refuses proposals.
pub const MAX_UNCOMMITTED_BYTES: u64 = 8 << 20;
/// Clock drift that the leader lease tolerates, in percent.
pub const DRIFT_PERCENT: u32 = 10;

/// Intervals of the protocol. They must be equal on all replicas.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Timing {
    /// Interval of heartbeats.
    pub heartbeat: Duration,
    /// Shortest election timeout.
    pub election_min: Duration,
    /// Longest election timeout.
    pub election_max: Duration,
}

impl Default for Timing {
    /// Returns intervals for round trips of a few milliseconds. A sync doesn't delay heartbeats, so the shortest
    /// timeout only has to cover a few lost or late ones, on an instance whose threads wait for a processor.
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(100),
            election_min: Duration::from_millis(500),
            election_max: Duration::from_millis(800),
        }
    }
}

/// Durable state from which a replica starts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Durable<C> {
    /// Hard state.
    pub hard: HardState,
    /// Log.
    pub log: Log<C>,
    /// Snapshot.
    pub snapshot: Option<Snapshot>,
    /// Whether the folder was bootstrapped, which forbids another bootstrap.
    pub is_bootstrapped: bool,
}

impl<C> Default for Durable<C> {
    fn default() -> Self {
        Self {
            hard: HardState::default(),
            log: Log::default(),
            snapshot: None,
            is_bootstrapped: false,
        }
    }
}

/// Input of a replica.
#[derive(Debug, Clone)]
pub enum Input<C> {
    /// Time has advanced.
    Tick,
    /// A message has arrived.
    Receive {
        /// Sender.
        from: id::Instance,
        /// Message.
        message: Message<C>,
    },
    /// Commands with their encoded sizes in bytes are proposed.
    Propose {
        /// Wall clock in milliseconds since the epoch.
        wall: u64,
        /// Commands.
        commands: Vec<(C, u32)>,
    },
    /// The state of the machine was saved as of an applied index.
    Compact {
        /// Last index covered.
        index: id::Index,
        /// State of the machine.
        machine: Vec<u8>,
        /// Entries up to that index that stay in the log for slow followers, at most.
        retained_entries: u64,
        /// Total size of their commands in bytes, at most.
        retained_bytes: u64,
    },
    /// A write has become durable that was started with this log and hard state.
    Synced {
        /// Last position of the log.
        last: Position,
        /// Hard state.
        hard: HardState,
    },
    /// The instances that may replicate the log have changed.
    SetPool(Pool),
    /// The replica can't act as leader and steps down, so that another one is elected.
    Resign,
    /// The data folder refuses writes from now on, or accepts them again.
    SetWritable(bool),
    /// Whether this replica leads has to be confirmed by a majority now.
    Confirm,
    /// A write failed: the replica stops voting and acknowledging.
    Fault,
}

/// Action for the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect<C> {
    /// Make the hard state durable.
    Hard(HardState),
    /// Make the log from this index on durable, replacing the entries there.
    Append(id::Index),
    /// Make the bootstrap mark durable, which forbids another bootstrap.
    Bootstrapped,
    /// Make the snapshot and the remaining log durable.
    Install {
        /// Whether the snapshot came from the leader and the machine must be restored from it.
        needs_restore: bool,
    },
    /// Send a message.
    Send {
        /// Receiver.
        to: id::Instance,
        /// Message.
        message: Message<C>,
    },
    /// Apply entries up to this index.
    Commit(id::Index),
    /// The proposed commands were appended from this position on.
    Proposed(Position),
    /// The proposed commands were not appended.
    Refused,
    /// The replica has detected a violated invariant and stopped.
    Fault(&'static str),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) enum State {
    /// Follows a leader or has none; also the state of a replica without a vote.
    Follower,
    /// Asks the other listed voters whether their folders are empty, in order to bootstrap the log.
    Probing {
        /// Members whose folders are empty, including this replica.
        fresh: Vec<Member>,
    },
    /// Requests pre-votes or votes.
    Candidate {
        is_pre_vote: bool,
        grants: Vec<Member>,
        /// First voter set if the replica bootstraps the log, otherwise empty.
        founding: Vec<Member>,
    },
    Leader(LeaderState),
    /// Neither votes nor acknowledges until it is started again.
    Stopped,
}

/// Acknowledgement of entries or a snapshot to the leader of the term, which waits for a sync.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(crate) struct PendingAck {
    pub(crate) leader: id::Instance,
    pub(crate) term: id::Term,
    pub(crate) sent: Point,
    pub(crate) match_index: id::Index,
}

/// Protocol state of one replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Core<C> {
    pub(crate) me: Member,
    // All other instances that may replicate the log.
    pub(crate) peers: SmallVec<[id::Instance; 6]>,
    // The other instances with which this one bootstraps the log.
    pub(crate) founders: SmallVec<[id::Instance; 6]>,
    // Whether this replica may take part in a bootstrap at all.
    pub(crate) can_bootstrap: bool,
    pub(crate) pool: Option<Pool>,
    pub(crate) timing: Timing,
    pub(crate) hard: HardState,
    pub(crate) log: Log<C>,
    pub(crate) snapshot: Option<Snapshot>,
    pub(crate) incoming: Option<Incoming>,
    pub(crate) is_bootstrapped: bool,
    pub(crate) voters: Voters,
    pub(crate) commit_index: id::Index,
    // Index up to which the log is durable, and the hard state that is durable.
    pub(crate) durable_index: id::Index,
    pub(crate) durable_hard: HardState,
    pub(crate) pending_ack: Option<PendingAck>,
    // Whether the data folder accepts writes. If not, the replica casts no vote and doesn't become leader.
    pub(crate) is_writable: bool,
    pub(crate) state: State,
    pub(crate) leader: Option<id::Instance>,
    // Time of the last message from a leader. Initially the start time, since the replica may have answered a leader
    // just before a restart.
    pub(crate) leader_contact: Point,
    pub(crate) election_deadline: Point,
    pub(crate) rng_state: u64,
}

pub(crate) type Effects<C> = Vec<Effect<C>>;

impl<C: Clone> Core<C> {
    /// Creates a replica. `peers` are the instances that the settings list as voters.
    pub fn new(
        me: Member,
        peers: &[id::Instance],
        timing: Timing,
        durable: Durable<C>,
        seed: u64,
        now: Point,
    ) -> Self {
        let others = peers.iter().filter(|peer| **peer != me.instance);
        let peers: SmallVec<[id::Instance; 6]> = others.cloned().collect();
        let mut core = Self {
            founders: peers.clone(),
            can_bootstrap: true,
            pool: None,
            peers,
            me,
            timing,
            durable_index: durable.log.last().index,
            durable_hard: durable.hard,
            pending_ack: None,
            is_writable: true,
            hard: durable.hard,
            log: durable.log,
            snapshot: durable.snapshot,
            incoming: None,
            is_bootstrapped: durable.is_bootstrapped,
            voters: Voters::default(),
            commit_index: id::Index(0),
            state: State::Follower,
            leader: None,
            leader_contact: now,
            election_deadline: now,
            rng_state: seed,
        };
        core.load_voters();
        // State derived from the content of the folder is as durable as the content.
        core.durable_hard = core.hard;
        core.reset_deadline(now);
        core
    }

    fn load_voters(&mut self) {
        self.voters = Voters::default();
        let mut after = id::Index(0);
        if let Some(snapshot) = &self.snapshot {
            self.commit_index = self.commit_index.max(snapshot.position.index);
            if let Some(content) = Content::decode(&snapshot.data) {
                after = content.voters_at.index;
                self.voters.push(content.voters_at, content.voters);
            }
        }
        for entry in self.log.entries_from(self.log.base().index.next()) {
            if let Payload::Voters(members) = &entry.payload
                && entry.position.index > after
            {
                self.voters.push(entry.position, members.clone());
            }
        }
        self.voters.commit(self.commit_index.max(self.hard.settled));
        self.hard.settled = self.hard.settled.max(self.voters.settled().index);
    }

    /// Returns the state that must survive a crash.
    pub fn durable(&self) -> Durable<C> {
        Durable {
            hard: self.hard,
            log: self.log.clone(),
            snapshot: self.snapshot.clone(),
            is_bootstrapped: self.is_bootstrapped,
        }
    }

    /// Processes one input and appends the effects to `out`.
    pub fn step(&mut self, now: Point, input: Input<C>, out: &mut Effects<C>) {
        match input {
            Input::Fault => self.stop(),
            Input::Propose { wall, commands } => self.propose(now, LogTime(wall), commands, out),
            _ if self.state == State::Stopped => {}
            Input::Tick => self.tick(now, out),
            Input::Resign if matches!(self.state, State::Leader(_)) => {
                self.become_follower(None, now)
            }
            Input::Resign => {}
            Input::SetWritable(is_writable) => self.is_writable = is_writable,
            Input::Confirm => self.confirm(now),
            Input::SetPool(pool) => self.set_pool(pool, now),
            Input::Receive { from, message } => self.receive(now, &from, message, out),
            Input::Synced { last, hard } => self.handle_synced(last, hard, out),
            Input::Compact {
                index,
                machine,
                retained_entries,
                retained_bytes,
            } => self.compact(index, machine, (retained_entries, retained_bytes), out),
        }
    }

    /// Forbids this replica to take part in a bootstrap, since its disk may have contained a log before.
    pub fn forbid_bootstrap(&mut self) {
        self.can_bootstrap = false;
    }

    fn stop(&mut self) {
        self.state = State::Stopped;
        self.leader = None;
    }

    pub(crate) fn stop_on_fault(&mut self, reason: &'static str, out: &mut Effects<C>) {
        self.stop();
        out.push(Effect::Fault(reason));
    }

    fn tick(&mut self, now: Point, out: &mut Effects<C>) {
        if self.log.last().index > id::Index(0) {
            // The process before this one may have been killed between the first entry and the mark.
            self.mark_bootstrapped(out);
        }
        if matches!(self.state, State::Leader(_)) {
            self.tick_leader(now, out);
        } else if now >= self.election_deadline {
            self.reset_deadline(now);
            self.leader = None;
            if !self.is_writable {
                // Its own vote can't become durable.
                self.state = State::Follower;
            } else if self.is_voter() {
                self.request_votes(true, Vec::new(), now, out);
            } else {
                self.send_probes(now, out);
            }
        }
    }

    pub(crate) fn send(&self, to: &id::Instance, body: Body<C>, out: &mut Effects<C>) {
        self.send_in(self.hard.term, to, body, out);
    }

    pub(crate) fn send_in(
        &self,
        term: id::Term,
        to: &id::Instance,
        body: Body<C>,
        out: &mut Effects<C>,
    ) {
        let message = Message {
            term,
            disk: self.me.disk,
            body,
        };
        out.push(Effect::Send {
            to: to.clone(),
            message,
        });
    }

    pub(crate) fn record_settled(&mut self, out: &mut Effects<C>) {
        self.hard.settled = self.voters.settled().index;
        out.push(Effect::Hard(self.hard));
    }

    pub(crate) fn push_entry(&mut self, at: LogTime, size: u32, payload: Payload<C>) {
        let position = Position {
            term: self.hard.term,
            index: self.log.last().index.next(),
        };
        if let Payload::Voters(members) = &payload {
            self.voters.push(position, members.clone());
        }
        self.log.push(Entry {
            position,
            at: at.max(self.log.last_time()),
            size,
            payload,
        });
    }

    pub(crate) fn reset_deadline(&mut self, now: Point) {
        let min = self.timing.election_min;
        let spread = self.timing.election_max.saturating_sub(min);
        let micros = u64::try_from(spread.as_micros()).unwrap_or(0);
        let jitter = if micros == 0 {
            0
        } else {
            self.next_random() % micros
        };
        self.election_deadline = now + min + Duration::from_micros(jitter);
    }

    // SplitMix64, so that the behaviour of a replica is determined by its seed.
    fn next_random(&mut self) -> u64 {
        self.rng_state = self.rng_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.rng_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub(crate) fn is_voter(&self) -> bool {
        self.voters.contains(&self.me)
    }

    /// Returns whether the voter set in effect is durably known to be committed.
    ///
    /// Only then is this replica independent of the members of an older set, so that another disk may be lost.
    pub fn is_settled(&self) -> bool {
        let is_durable = self.durable_hard.settled == self.hard.settled;
        self.voters.current().is_some() && !self.voters.is_joint() && is_durable
    }

    /// Returns the instance and disk identity of this replica.
    pub fn me(&self) -> &Member {
        &self.me
    }

    /// Returns the hard state.
    pub fn hard(&self) -> HardState {
        self.hard
    }

    /// Returns the hard state that is durable.
    pub fn durable_hard(&self) -> HardState {
        self.durable_hard
    }

    /// Returns the index up to which the log is durable.
    pub fn durable_index(&self) -> id::Index {
        self.durable_index
    }

    /// Returns the log.
    pub fn log(&self) -> &Log<C> {
        &self.log
    }

    /// Returns the snapshot.
    pub fn snapshot(&self) -> Option<&Snapshot> {
        self.snapshot.as_ref()
    }

    /// Returns the commit index.
    pub fn commit_index(&self) -> id::Index {
        self.commit_index
    }

    /// Returns the voter sets.
    pub fn voters(&self) -> &Voters {
        &self.voters
    }

    /// Returns the leader of the current term, if known.
    pub fn leader(&self) -> Option<&id::Instance> {
        self.leader.as_ref()
    }

    /// Returns the role.
    pub fn role(&self) -> status::Role {
        match &self.state {
            State::Leader(_) => status::Role::Leader,
            State::Candidate { .. } => status::Role::Candidate,
            State::Stopped => status::Role::Stopped,
            State::Follower if self.is_voter() && self.is_settled() => status::Role::Follower,
            State::Follower | State::Probing { .. } => status::Role::Learner,
        }
    }
}
