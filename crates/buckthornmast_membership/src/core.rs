//! Pure table of instances: datagrams and time in, datagrams out.

use std::time::Duration;

use buckthornmast_types::{id, time::Point};
use smallvec::SmallVec;

use crate::{
    config::{Member, StartError, Timing},
    delay::{BEAT_MICROS, Delay},
    digest::{Far, Pending},
    message::{Beat, Progress},
    roster::Roster,
    view::{Change, Peer, State, View},
};

/// Heartbeats out of which one carries the progress even if it did not change.
const PROGRESS_EVERY: u32 = 5;

/// Heartbeats that carry the progress after it has changed.
const PROGRESS_REPEATS: u32 = 3;

/// What is known about one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Row {
    pub(crate) incarnation: id::Incarnation,
    /// Highest heartbeat received from the instance itself.
    beat: u32,
    delay: Delay,
    /// Latest time at which the instance is known to have been alive.
    pub(crate) heard: Option<Point>,
    pub(crate) progress: Progress,
    /// Heartbeat that the progress is from.
    pub(crate) progress_beat: u32,
    /// Whether the instance uses an incarnation that is too low.
    correct: bool,
}

/// Heartbeat to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Receivers, by their index in [`Table::members`].
    pub to: Vec<usize>,
    /// Content.
    pub beat: Beat,
}

/// Table of all instances of the peer list.
#[derive(Debug)]
pub struct Table {
    pub(crate) roster: Roster,
    pub(crate) timing: Timing,
    pub(crate) rows: Vec<Row>,
    pub(crate) far: Vec<Far>,
    pub(crate) relays: Vec<Pending>,
    start: Point,
    last_tick: Point,
    ticks: u32,
    repeats: u32,
    /// State, incarnation, revision and readiness that the last changes led to.
    reported: Vec<Reported>,
}

type Reported = (State, id::Incarnation, id::Revision, bool);

fn reported(peer: &Peer) -> Reported {
    let Progress {
        revision, ready, ..
    } = peer.progress;
    (peer.state, peer.incarnation, revision, ready)
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
        rows[roster.me].heard = Some(now);
        let own = roster.zones[roster.own_zone()].members.len();
        let far = roster.zones.iter().map(|_| Far::new(own)).collect();
        let mut table = Self {
            roster,
            timing,
            rows,
            far,
            relays: Vec::new(),
            start: now,
            last_tick: now,
            ticks: 0,
            repeats: PROGRESS_REPEATS,
            reported: Vec::new(),
        };
        table.reported = table.view(now).peers.iter().map(reported).collect();
        Ok(table)
    }

    /// Returns the peer list in the order of names.
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
        now.since(self.rows[member].heard.unwrap_or(self.start))
    }

    pub(crate) fn state(&self, member: usize, now: Point) -> State {
        let age = self.age(member, now);
        if age >= self.timing.dead {
            State::Dead
        } else if age >= self.timing.suspect || self.rows[member].heard.is_none() {
            State::Suspect
        } else {
            State::Alive
        }
    }

    /// Notes that an instance was alive this long ago.
    pub(crate) fn vouch(&mut self, member: usize, now: Point, age: Duration) {
        if age < self.timing.dead && member != self.roster.me {
            let heard = Some(now - age);
            let row = &mut self.rows[member];
            row.heard = row.heard.max(heard);
        }
    }

    /// Takes over the progress of an instance if it is newer than what is known.
    pub(crate) fn learn(
        &mut self,
        member: usize,
        incarnation: id::Incarnation,
        beat: u32,
        progress: Progress,
    ) {
        let row = &mut self.rows[member];
        let known = (row.incarnation, row.progress_beat);
        if member == self.roster.me || (incarnation, beat) <= known {
            return;
        }
        let is_hot = incarnation != row.incarnation
            || progress.revision != row.progress.revision
            || progress.ready != row.progress.ready;
        if incarnation > row.incarnation {
            self.renew(member, incarnation);
        }
        let row = &mut self.rows[member];
        row.progress_beat = beat;
        row.progress = progress;
        if is_hot {
            self.mark_hot(member);
        }
    }

    /// Starts a member over after it was restarted.
    fn renew(&mut self, member: usize, incarnation: id::Incarnation) {
        let heard = self.rows[member].heard;
        self.rows[member] = Row {
            incarnation,
            heard,
            ..Row::default()
        };
    }

    /// Takes a heartbeat; returns whether it was new and came from an instance in the list.
    pub fn receive(&mut self, now: Point, beat: Beat) -> bool {
        let Some(from) = self.roster.find(beat.from) else {
            return false;
        };
        if from == self.roster.me {
            return false;
        }
        let row = &mut self.rows[from];
        if beat.incarnation < row.incarnation {
            row.correct = true;
            return false;
        }
        if beat.incarnation > row.incarnation {
            self.renew(from, beat.incarnation);
            self.mark_hot(from);
        } else if beat.beat <= row.beat {
            return false;
        }
        let row = &mut self.rows[from];
        row.beat = beat.beat;
        let delay = row.delay.observe(now, beat.beat);
        self.vouch(from, now, delay);
        if let Some(progress) = beat.progress {
            self.learn(from, beat.incarnation, beat.beat, progress);
        }
        if let Some(known) = beat.correction {
            self.raise(known);
        }
        for digest in beat.digests {
            self.apply(now, from, delay, digest);
        }
        true
    }

    /// Raises the own incarnation above the one that others know.
    fn raise(&mut self, known: id::Incarnation) {
        let own = &mut self.rows[self.roster.me].incarnation;
        if known > *own && known.0 < u64::MAX {
            *own = known.next();
            self.repeats = PROGRESS_REPEATS;
        }
    }

    /// Returns the heartbeats to send; to be called every [`Timing::beat`].
    pub fn tick(&mut self, now: Point, progress: Progress) -> Vec<Outgoing> {
        self.forgive_own_pause(now);
        self.last_tick = now;
        self.ticks = self.ticks.wrapping_add(1);
        let me = self.roster.me;
        if progress != self.rows[me].progress {
            self.repeats = PROGRESS_REPEATS;
            let old = self.rows[me].progress;
            if (old.revision, old.ready) != (progress.revision, progress.ready) {
                self.mark_hot(me);
            }
        }
        let row = &mut self.rows[me];
        row.progress = progress;
        row.heard = Some(now);
        let mut out = Vec::new();
        self.beat_own_domain(now, &mut out);
        self.beat_far_domains(now, &mut out);
        self.beat_corrections(now, &mut out);
        self.rows[me].progress_beat = self.rows[me].beat;
        self.repeats = self.repeats.saturating_sub(1);
        out
    }

    /// Gives the others time to be heard again after this instance itself stood still.
    fn forgive_own_pause(&mut self, now: Point) {
        if now.since(self.last_tick) < self.timing.suspect {
            return;
        }
        for member in 0..self.rows.len() {
            if self.rows[member].heard.is_some()
                && self.state(member, self.last_tick) != State::Dead
            {
                self.vouch(member, now, self.timing.suspect);
            }
        }
    }

    /// Returns an empty heartbeat with the next number.
    pub(crate) fn next_beat(&mut self, now: Point) -> Beat {
        let elapsed = u32::try_from(now.since(self.start).as_micros() / u128::from(BEAT_MICROS));
        let row = &mut self.rows[self.roster.me];
        row.beat = elapsed.unwrap_or(u32::MAX).max(row.beat.saturating_add(1));
        // The offset spreads the heartbeats with progress over time.
        let turn = self.ticks.wrapping_add(self.roster.me as u32) % PROGRESS_EVERY;
        let shown = self.repeats > 0 || turn == 0;
        Beat {
            from: self.roster.shorts[self.roster.me],
            incarnation: row.incarnation,
            beat: row.beat,
            progress: shown.then_some(row.progress),
            correction: None,
            digests: SmallVec::new(),
        }
    }

    fn beat_own_domain(&mut self, now: Point, out: &mut Vec<Outgoing>) {
        let me = self.roster.me;
        let zone = &self.roster.zones[self.roster.own_zone()];
        let others = zone.members.iter().copied().filter(|member| *member != me);
        let to: Vec<usize> = others.collect();
        if to.is_empty() {
            self.relays.clear();
            return;
        }
        loop {
            let mut beat = self.next_beat(now);
            beat.digests = self.take_relays(now);
            let to = to.clone();
            out.push(Outgoing { to, beat });
            if self.relays.is_empty() {
                break;
            }
        }
    }

    fn beat_corrections(&mut self, now: Point, out: &mut Vec<Outgoing>) {
        for member in 0..self.rows.len() {
            if std::mem::take(&mut self.rows[member].correct) {
                let mut beat = self.next_beat(now);
                beat.correction = Some(self.rows[member].incarnation);
                let to = vec![member];
                out.push(Outgoing { to, beat });
            }
        }
    }

    /// Returns what is known now.
    pub fn view(&self, now: Point) -> View {
        let peers = self.roster.members.iter().enumerate();
        let peers = peers.map(|(index, member)| Peer {
            instance: member.instance.clone(),
            domain: member.domain.clone(),
            state: self.state(index, now),
            age: self.age(index, now),
            incarnation: self.rows[index].incarnation,
            progress: self.rows[index].progress,
        });
        View {
            at: now,
            peers: peers.collect(),
        }
    }

    /// Returns what changed between the last view that was passed and this one.
    pub fn changes(&mut self, view: &View) -> Vec<Change> {
        let mut changes = Vec::new();
        for (old, peer) in self.reported.iter_mut().zip(&view.peers) {
            let new = reported(peer);
            if *old != new {
                changes.push(Change {
                    before: old.0,
                    peer: peer.clone(),
                });
                *old = new;
            }
        }
        changes
    }
}
