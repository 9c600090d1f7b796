//! Table of instances, free of I/O: takes heartbeats and the time, returns the heartbeats to send.

use std::time::Duration;

use buckthornmast_types::{id, time::Point};
use smallvec::SmallVec;

use crate::{
    config::{Member, StartError, Timing},
    delay::{Estimator, SEQUENCE_UNIT_MICROS},
    digest::{Exchange, Relay},
    message::{Heartbeat, Progress},
    roster::Roster,
    view::{Change, Peer, State, View},
};

/// Number of heartbeat intervals of which one carries the progress even if it has not changed.
const HEARTBEATS_PER_PROGRESS: u32 = 5;

/// Number of heartbeat intervals in which all heartbeats carry the progress after it has changed.
const PROGRESS_REPEATS: u32 = 3;

/// State of one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Row {
    pub(crate) incarnation: id::Incarnation,
    /// Highest sequence number received from the instance itself.
    sequence: u32,
    delay: Estimator,
    /// Latest time at which the instance is known to have been alive.
    pub(crate) last_alive: Option<Point>,
    pub(crate) progress: Progress,
    /// Sequence number of the heartbeat that carried the progress.
    pub(crate) progress_sequence: u32,
    /// Whether the instance uses an incarnation below its known one and has to be sent the known one.
    needs_correction: bool,
}

/// Heartbeat to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Receivers, as indices into [`Table::members`].
    pub to: Vec<usize>,
    /// Content.
    pub heartbeat: Heartbeat,
}

/// Table of all instances of the peer list.
#[derive(Debug)]
pub struct Table {
    pub(crate) roster: Roster,
    pub(crate) timing: Timing,
    pub(crate) rows: Vec<Row>,
    /// State of the digest exchange with each failure domain, by the domain's index in the roster.
    pub(crate) exchanges: Vec<Exchange>,
    /// Digests to relay with the next heartbeat.
    pub(crate) relays: Vec<Relay>,
    start: Point,
    last_tick: Point,
    ticks: u32,
    /// Heartbeat intervals for which the progress is still repeated.
    progress_repeats: u32,
    /// Status of each instance as of the last reported changes.
    reported_statuses: Vec<Status>,
}

/// State, incarnation, revision and readiness.
type Status = (State, id::Incarnation, id::Revision, bool);

fn status(peer: &Peer) -> Status {
    let Progress {
        revision, is_ready, ..
    } = peer.progress;
    (peer.state, peer.incarnation, revision, is_ready)
}

impl Table {
    /// Returns the table of an instance that starts now.
    pub fn new(
        me: &id::Instance,
        members: Vec<Member>,
        incarnation: id::Incarnation,
        timing: Timing,
        now: Point,
    ) -> Result<Self, StartError> {
        let roster = Roster::new(me, members)?;
        let mut rows = vec![Row::default(); roster.members.len()];
        rows[roster.me].incarnation = incarnation;
        rows[roster.me].last_alive = Some(now);
        let own_len = roster.domains[roster.own_domain()].members.len();
        let exchanges = roster
            .domains
            .iter()
            .map(|_| Exchange::new(own_len))
            .collect();
        let mut table = Self {
            roster,
            timing,
            rows,
            exchanges,
            relays: Vec::new(),
            start: now,
            last_tick: now,
            ticks: 0,
            progress_repeats: PROGRESS_REPEATS,
            reported_statuses: Vec::new(),
        };
        table.reported_statuses = table.view(now).peers.iter().map(status).collect();
        Ok(table)
    }

    /// Returns the peer list, ordered by name.
    pub fn members(&self) -> &[Member] {
        &self.roster.members
    }

    /// Returns the incarnation of this instance, which may have been raised.
    pub fn incarnation(&self) -> id::Incarnation {
        self.rows[self.roster.me].incarnation
    }

    pub(crate) fn age(&self, member: usize, now: Point) -> Duration {
        if member == self.roster.me {
            return Duration::ZERO;
        }
        now.since(self.rows[member].last_alive.unwrap_or(self.start))
    }

    pub(crate) fn state(&self, member: usize, now: Point) -> State {
        let age = self.age(member, now);
        if age >= self.timing.dead_after {
            State::Dead
        } else if age >= self.timing.suspect_after || self.rows[member].last_alive.is_none() {
            State::Suspect
        } else {
            State::Alive
        }
    }

    /// Records that an instance was alive this long ago.
    pub(crate) fn record_alive(&mut self, member: usize, now: Point, age: Duration) {
        if age < self.timing.dead_after && member != self.roster.me {
            let last_alive = Some(now - age);
            let row = &mut self.rows[member];
            row.last_alive = row.last_alive.max(last_alive);
        }
    }

    /// Applies the progress of an instance if it is newer than the known one.
    pub(crate) fn apply_progress(
        &mut self,
        member: usize,
        incarnation: id::Incarnation,
        sequence: u32,
        progress: Progress,
    ) {
        let row = &mut self.rows[member];
        let known = (row.incarnation, row.progress_sequence);
        if member == self.roster.me || (incarnation, sequence) <= known {
            return;
        }
        let is_change = incarnation != row.incarnation
            || progress.revision != row.progress.revision
            || progress.is_ready != row.progress.is_ready;
        if incarnation > row.incarnation {
            self.reset(member, incarnation);
        }
        let row = &mut self.rows[member];
        row.progress_sequence = sequence;
        row.progress = progress;
        if is_change {
            self.mark_changed(member);
        }
    }

    /// Resets the row of a member that was restarted.
    fn reset(&mut self, member: usize, incarnation: id::Incarnation) {
        let last_alive = self.rows[member].last_alive;
        self.rows[member] = Row {
            incarnation,
            last_alive,
            ..Row::default()
        };
    }

    /// Applies a received heartbeat; returns whether it was new and came from an instance in the peer list.
    pub fn receive(&mut self, now: Point, heartbeat: Heartbeat) -> bool {
        let Some(from) = self.roster.find(heartbeat.from) else {
            return false;
        };
        if from == self.roster.me {
            return false;
        }
        let row = &mut self.rows[from];
        if heartbeat.incarnation < row.incarnation {
            row.needs_correction = true;
            return false;
        }
        if heartbeat.incarnation > row.incarnation {
            self.reset(from, heartbeat.incarnation);
            self.mark_changed(from);
        } else if heartbeat.sequence <= row.sequence {
            return false;
        }
        let row = &mut self.rows[from];
        row.sequence = heartbeat.sequence;
        let delay = row.delay.observe(now, heartbeat.sequence);
        self.record_alive(from, now, delay);
        if let Some(progress) = heartbeat.progress {
            self.apply_progress(from, heartbeat.incarnation, heartbeat.sequence, progress);
        }
        if let Some(known) = heartbeat.correction {
            self.raise_incarnation(known);
        }
        for digest in heartbeat.digests {
            self.apply(now, from, delay, digest);
        }
        true
    }

    /// Raises the own incarnation above the one that other instances know.
    fn raise_incarnation(&mut self, known: id::Incarnation) {
        let own = &mut self.rows[self.roster.me].incarnation;
        if known > *own && known.0 < u64::MAX {
            *own = known.next();
            self.progress_repeats = PROGRESS_REPEATS;
        }
    }

    /// Returns the heartbeats to send; to be called every [`Timing::heartbeat_interval`].
    pub fn tick(&mut self, now: Point, progress: Progress) -> Vec<Outgoing> {
        self.compensate_own_pause(now);
        self.last_tick = now;
        self.ticks = self.ticks.wrapping_add(1);
        let me = self.roster.me;
        if progress != self.rows[me].progress {
            self.progress_repeats = PROGRESS_REPEATS;
            let old = self.rows[me].progress;
            if (old.revision, old.is_ready) != (progress.revision, progress.is_ready) {
                self.mark_changed(me);
            }
        }
        let row = &mut self.rows[me];
        row.progress = progress;
        row.last_alive = Some(now);
        let mut out = Vec::new();
        self.push_domain_heartbeats(now, &mut out);
        self.push_digests(now, &mut out);
        self.push_corrections(now, &mut out);
        self.rows[me].progress_sequence = self.rows[me].sequence;
        self.progress_repeats = self.progress_repeats.saturating_sub(1);
        out
    }

    /// After a pause of this instance, treats the others that were not dead before as if they had just become suspect,
    /// so that their next heartbeats can arrive before they are considered dead.
    fn compensate_own_pause(&mut self, now: Point) {
        if now.since(self.last_tick) < self.timing.suspect_after {
            return;
        }
        for member in 0..self.rows.len() {
            if self.rows[member].last_alive.is_some()
                && self.state(member, self.last_tick) != State::Dead
            {
                self.record_alive(member, now, self.timing.suspect_after);
            }
        }
    }

    /// Returns a heartbeat without digests and with the next sequence number.
    pub(crate) fn next_heartbeat(&mut self, now: Point) -> Heartbeat {
        let elapsed =
            u32::try_from(now.since(self.start).as_micros() / u128::from(SEQUENCE_UNIT_MICROS));
        let row = &mut self.rows[self.roster.me];
        row.sequence = elapsed
            .unwrap_or(u32::MAX)
            .max(row.sequence.saturating_add(1));
        // The offset by the own index spreads the progress of the instances over different intervals.
        let slot = self.ticks.wrapping_add(self.roster.me as u32) % HEARTBEATS_PER_PROGRESS;
        let has_progress = self.progress_repeats > 0 || slot == 0;
        Heartbeat {
            from: self.roster.short_ids[self.roster.me],
            incarnation: row.incarnation,
            sequence: row.sequence,
            progress: has_progress.then_some(row.progress),
            correction: None,
            digests: SmallVec::new(),
        }
    }

    fn push_domain_heartbeats(&mut self, now: Point, out: &mut Vec<Outgoing>) {
        let me = self.roster.me;
        let domain = &self.roster.domains[self.roster.own_domain()];
        let others = domain
            .members
            .iter()
            .copied()
            .filter(|member| *member != me);
        let to: Vec<usize> = others.collect();
        if to.is_empty() {
            self.relays.clear();
            return;
        }
        loop {
            let mut heartbeat = self.next_heartbeat(now);
            heartbeat.digests = self.take_relays(now);
            let to = to.clone();
            out.push(Outgoing { to, heartbeat });
            if self.relays.is_empty() {
                break;
            }
        }
    }

    fn push_corrections(&mut self, now: Point, out: &mut Vec<Outgoing>) {
        for member in 0..self.rows.len() {
            if std::mem::take(&mut self.rows[member].needs_correction) {
                let mut heartbeat = self.next_heartbeat(now);
                heartbeat.correction = Some(self.rows[member].incarnation);
                let to = vec![member];
                out.push(Outgoing { to, heartbeat });
            }
        }
    }

    /// Returns the current view.
    pub fn view(&self, now: Point) -> View {
        let peers = self.roster.members.iter().enumerate();
        let peers = peers.map(|(index, member)| Peer {
            instance: member.instance.clone(),
            domain: member.domain.clone(),
            state: self.state(index, now),
            last_alive_age: self.age(index, now),
            incarnation: self.rows[index].incarnation,
            progress: self.rows[index].progress,
        });
        View {
            at: now,
            peers: peers.collect(),
        }
    }

    /// Returns the changes between the view of the previous call and this one.
    pub fn changes(&mut self, view: &View) -> Vec<Change> {
        let mut changes = Vec::new();
        for (old, peer) in self.reported_statuses.iter_mut().zip(&view.peers) {
            let new = status(peer);
            if *old != new {
                changes.push(Change {
                    previous_state: old.0,
                    peer: peer.clone(),
                });
                *old = new;
            }
        }
        changes
    }
}
