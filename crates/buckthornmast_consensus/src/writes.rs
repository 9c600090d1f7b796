//! Order of writes and of the messages that depend on them.
//!
//! One write is in flight at a time. Changes during that time are combined into the next write. The protocol
//! continues during a write: [`Core`] counts and acknowledges only entries that [`Input::Synced`] has reported, and
//! all other messages that depend on durable state wait here for the write that covers them.

use buckthornmast_storage::record::HardState;
use buckthornmast_types::id;

use crate::{
    core::{Core, Effect, Input},
    message::{Body, Message, Position},
};

/// Changes that one write makes durable.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Write {
    /// Whether the hard state has changed.
    pub has_hard_state: bool,
    /// First entry that has changed.
    pub append: Option<id::Index>,
    /// Whether the snapshot has changed, in which case the whole log is rewritten.
    pub has_snapshot: bool,
    /// Whether the machine must be restored from the snapshot afterwards.
    pub needs_restore: bool,
    /// Whether the bootstrap mark is set.
    pub is_bootstrapped: bool,
}

impl Write {
    fn is_empty(&self) -> bool {
        *self == Self::default()
    }

    /// Adds the changes of a write that was started before this one and did not take place.
    fn add_refused(&mut self, refused: &Self) {
        self.has_hard_state |= refused.has_hard_state;
        self.append = match (self.append, refused.append) {
            (Some(own), Some(first)) => Some(own.min(first)),
            (own, first) => own.or(first),
        };
        self.has_snapshot |= refused.has_snapshot;
        self.needs_restore |= refused.needs_restore;
        self.is_bootstrapped |= refused.is_bootstrapped;
    }

    fn add<C>(&mut self, effect: &Effect<C>) {
        match effect {
            Effect::Hard(_) => self.has_hard_state = true,
            Effect::Append(from) => {
                self.append = Some(self.append.map_or(*from, |first| first.min(*from)));
            }
            Effect::Install { needs_restore } => {
                self.has_snapshot = true;
                self.needs_restore |= needs_restore;
            }
            Effect::Bootstrapped => self.is_bootstrapped = true,
            _ => {}
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct InFlight {
    last: Position,
    hard: HardState,
    write: Write,
}

type Outgoing<C> = Vec<(id::Instance, Message<C>)>;

/// Finished write.
#[derive(Debug)]
pub struct Finished<C> {
    /// Input that reports the write to the core.
    pub input: Input<C>,
    /// Messages that waited for the write.
    pub send: Outgoing<C>,
    /// Whether the machine must be restored from the snapshot.
    pub needs_restore: bool,
    /// Whether the snapshot and the log were rewritten.
    pub has_snapshot: bool,
}

/// Write in flight, next write, and the messages that wait for them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Writes<C> {
    in_flight: Option<InFlight>,
    next: Write,
    // Messages that wait for the write in flight and for the next one.
    waiting: Outgoing<C>,
    waiting_next: Outgoing<C>,
}

impl<C> Default for Writes<C> {
    fn default() -> Self {
        Self {
            in_flight: None,
            next: Write::default(),
            waiting: Vec::new(),
            waiting_next: Vec::new(),
        }
    }
}

/// Returns whether a message depends on no durable state except its term.
fn can_precede_sync<C>(message: &Message<C>, durable_term: id::Term) -> bool {
    let can_precede = match message.body {
        // The core acknowledges entries and snapshots only up to the durable index.
        Body::Append { .. } | Body::Appended { .. } => true,
        Body::Chunk { .. } | Body::Received { .. } => true,
        Body::Vote { .. } | Body::Voted { .. } | Body::Probe | Body::Probed { .. } => false,
    };
    can_precede && message.term <= durable_term
}

impl<C: Clone> Writes<C> {
    /// Adds the effects of steps of the core to the next write and returns the messages that can be sent at once.
    pub fn process(&mut self, core: &Core<C>, effects: Vec<Effect<C>>) -> Outgoing<C> {
        effects.iter().for_each(|effect| self.next.add(effect));
        let mut send = Vec::new();
        for effect in effects {
            let Effect::Send { to, message } = effect else {
                continue;
            };
            let can_send = can_precede_sync(&message, core.durable_hard().term);
            let queue = if !can_send && !self.next.is_empty() {
                &mut self.waiting_next
            } else if !can_send && self.in_flight.is_some() {
                &mut self.waiting
            } else {
                &mut send
            };
            queue.push((to, message));
        }
        send
    }

    /// Starts the next write; `None` if a write is in flight or there is nothing to write.
    pub fn start(&mut self, core: &Core<C>) -> Option<Write> {
        if self.in_flight.is_some() || self.next.is_empty() {
            return None;
        }
        let write = std::mem::take(&mut self.next);
        self.waiting = std::mem::take(&mut self.waiting_next);
        self.in_flight = Some(InFlight {
            last: core.log().last(),
            hard: core.hard(),
            write: write.clone(),
        });
        Some(write)
    }

    /// Returns the changes of the write in flight, which was refused, to the next one. The messages that waited for it
    /// are dropped like lost ones: by the time of the next write they would be outdated. Returns whether the write was a
    /// compaction, which needs more room than an append.
    pub fn refuse(&mut self) -> bool {
        self.waiting.clear();
        self.waiting_next.clear();
        let Some(InFlight { mut write, .. }) = self.in_flight.take() else {
            return false;
        };
        let is_compaction = write.has_snapshot && !write.needs_restore;
        if is_compaction {
            // The log on the disk still has what the snapshot covers. The hard state makes sure that something is written,
            // which shows whether the disk accepts appends.
            write.has_snapshot = false;
            write.has_hard_state = true;
        }
        self.next.add_refused(&write);
        is_compaction
    }

    /// Completes the write in flight, which has succeeded.
    pub fn finish(&mut self) -> Option<Finished<C>> {
        let InFlight { last, hard, write } = self.in_flight.take()?;
        Some(Finished {
            input: Input::Synced { last, hard },
            send: std::mem::take(&mut self.waiting),
            // A newer snapshot is restored after its own write.
            needs_restore: write.needs_restore && !self.next.needs_restore,
            has_snapshot: write.has_snapshot,
        })
    }
}
