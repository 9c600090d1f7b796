//! Digests between failure domains: who sends them, what they hold, and how they are relayed.

use std::time::Duration;

use buckthornmast_types::time::Point;
use smallvec::SmallVec;

use crate::{
    core::{Outgoing, Table},
    message::{Digest, Row},
    view::State,
};

/// Time per unit of the ages in a digest.
const AGE_UNIT: Duration = Duration::from_millis(125);

/// Largest age that four bits hold; it says only that the member was not heard for that long.
const MAX_AGE: u8 = 15;

/// Time per unit of a digest's own age.
const DIGEST_UNIT: Duration = Duration::from_millis(10);

/// Rows of changed members in a digest.
const MAX_HOT_ROWS: usize = 3;

/// Digests that carry a changed row. With 5 % loss on the way and at the relay, one member in a
/// thousand misses all three and waits for the rotation.
const HOT_REPEATS: u8 = 3;

/// Time after which a domain that shows no sign of having heard this one gets more senders.
///
/// The backup senders must be heard before 2 s have passed, or live members count as dead.
const ECHO_LIMIT: Duration = Duration::from_millis(900);

/// Time for which backup senders go on after they were needed.
///
/// Without it they would stop as soon as they were heard, and the members would turn suspect again
/// and again.
const BACKUP_HOLD: Duration = Duration::from_secs(30);

/// Senders while the other domain shows no sign of having heard this one.
///
/// A cut may separate one sender from the other domain but not its neighbours.
const BACKUP_SENDERS: usize = 3;

/// Bytes of digests that a heartbeat carries, which leaves room for its other fields and the frame.
const MAX_DIGEST_BYTES: usize = 1100;

/// Digests that wait for the next heartbeat; more only arrive when a queue is emptied at once.
const MAX_RELAYS: usize = 64;

/// State of the exchange with another failure domain.
#[derive(Debug)]
pub(crate) struct Far {
    /// Digests that have yet to carry the row of each member of the own domain.
    hot: Vec<u8>,
    /// Position of the next row in rotation.
    next_row: usize,
    /// Position of the next receiver in the other domain.
    next_receiver: usize,
    /// When the newest digest of the other domain was made.
    heard: Option<Point>,
    /// When the other domain heard from this one.
    echoed: Option<Point>,
    /// Until when backup senders go on.
    backup_until: Point,
}

impl Far {
    pub(crate) fn new(own: usize) -> Self {
        Self {
            hot: vec![0; own],
            next_row: 0,
            next_receiver: 0,
            heard: None,
            echoed: None,
            backup_until: Point::ZERO,
        }
    }
}

/// Digest of another domain that waits to be relayed within the own one.
#[derive(Debug)]
pub(crate) struct Pending {
    digest: Digest,
    made: Point,
}

/// Returns whole units, at most `max`.
fn units(span: Duration, unit: Duration, max: u64) -> u64 {
    let count = span.as_micros() / unit.as_micros();
    u64::try_from(count).unwrap_or(u64::MAX).min(max)
}

/// Returns an upper bound on the encoded size of a digest.
fn size_bound(digest: &Digest) -> usize {
    // Varints take up to 10 bytes for 64 bits, 5 for 32 and 3 for 16.
    const FIXED: usize = 4 + 4 + 3 + 1 + 3 + 1;
    const ROW: usize = 3 + 10 + 5 + 10 + 10 + 1;
    FIXED + digest.ages.len() + digest.rows.len() * ROW
}

impl Table {
    /// Has the row of a member sent to the other domains, if it belongs to the own one.
    pub(crate) fn mark_hot(&mut self, member: usize) {
        let (zone, position) = self.roster.places[member];
        if zone == self.roster.own_zone() {
            for far in &mut self.far {
                far.hot[position] = HOT_REPEATS;
            }
        }
    }

    /// Applies a digest that arrived in a heartbeat.
    pub(crate) fn apply(&mut self, now: Point, from: usize, delay: Duration, digest: Digest) {
        let Some(zone) = self.roster.find_zone(digest.domain) else {
            return;
        };
        let own = self.roster.own_zone();
        let entry = &self.roster.zones[zone];
        if zone == own || digest.list != entry.list {
            return;
        }
        let age = DIGEST_UNIT * u32::from(digest.age) + delay;
        if age >= self.timing.dead {
            return;
        }
        let members = entry.members.clone();
        for (position, member) in members.iter().enumerate() {
            let Some(byte) = digest.ages.get(position / 2) else {
                break;
            };
            let units = byte >> (position % 2 * 4) & 15;
            if units < MAX_AGE {
                self.vouch(*member, now, age + AGE_UNIT * u32::from(units));
            }
        }
        for row in &digest.rows {
            if let Some(member) = members.get(usize::from(row.position)) {
                self.learn(*member, row.incarnation, row.beat, row.progress);
            }
        }
        let made = now - age;
        let far = &mut self.far[zone];
        far.heard = far.heard.max(Some(made));
        if digest.echo < u8::MAX {
            let echoed = made - AGE_UNIT * u32::from(digest.echo);
            far.echoed = far.echoed.max(Some(echoed));
        }
        let is_direct = self.roster.zone_of(from) == zone;
        if is_direct && self.relays.len() < MAX_RELAYS {
            self.relays.push(Pending { digest, made });
        }
    }

    /// Takes as many waiting digests as fit a heartbeat.
    pub(crate) fn take_relays(&mut self, now: Point) -> SmallVec<[Digest; 1]> {
        let mut room = MAX_DIGEST_BYTES;
        let mut taken = SmallVec::new();
        while let Some(pending) = self.relays.pop() {
            let size = size_bound(&pending.digest);
            if size > room && !taken.is_empty() {
                self.relays.push(pending);
                break;
            }
            room = room.saturating_sub(size);
            let age = units(now.since(pending.made), DIGEST_UNIT, u64::from(u16::MAX));
            taken.push(Digest {
                age: u16::try_from(age).unwrap_or(u16::MAX),
                ..pending.digest
            });
        }
        taken
    }

    /// Sends digests to the domains for which this instance is a designated sender.
    pub(crate) fn beat_far_domains(&mut self, now: Point, out: &mut Vec<Outgoing>) {
        let own = self.roster.own_zone();
        for zone in 0..self.roster.zones.len() {
            if zone == own || !self.is_sender(zone, now) {
                continue;
            }
            let receiver = self.next_receiver(zone, now);
            let mut beat = self.next_beat(now);
            let digest = self.digest_for(zone, now);
            beat.digests = SmallVec::from_iter([digest]);
            let to = vec![receiver];
            out.push(Outgoing { to, beat });
        }
    }

    /// Returns whether few enough live members of the own domain outrank this instance.
    ///
    /// Each instance counts itself as live, so the highest of those that run always sends.
    fn is_sender(&mut self, zone: usize, now: Point) -> bool {
        let far = &mut self.far[zone];
        let is_heard = match far.echoed {
            Some(echoed) if now.since(echoed) >= ECHO_LIMIT => {
                far.backup_until = now + BACKUP_HOLD;
                false
            }
            Some(_) => now >= far.backup_until,
            None => false,
        };
        let roster = &self.roster;
        let own = roster.weight(roster.me, zone);
        let outranking = roster.zones[roster.own_zone()]
            .members
            .iter()
            .filter(|member| **member != roster.me && roster.weight(**member, zone) > own)
            .filter(|member| self.state(**member, now) == State::Alive)
            .count();
        outranking < if is_heard { 1 } else { BACKUP_SENDERS }
    }

    /// Returns the next live member of another domain, or the next one if none is live.
    fn next_receiver(&mut self, zone: usize, now: Point) -> usize {
        let members = &self.roster.zones[zone].members;
        let first = self.far[zone].next_receiver;
        let order = (0..members.len()).map(|step| (first + step) % members.len());
        let live = order
            .clone()
            .find(|position| self.state(members[*position], now) == State::Alive);
        let position = live.unwrap_or(first % members.len());
        self.far[zone].next_receiver = position + 1;
        members[position]
    }

    fn row(&self, position: usize) -> Row {
        let zone = &self.roster.zones[self.roster.own_zone()];
        let row = &self.rows[zone.members[position]];
        Row {
            position: u16::try_from(position).unwrap_or(u16::MAX),
            incarnation: row.incarnation,
            beat: row.progress_beat,
            progress: row.progress,
        }
    }

    fn digest_for(&mut self, zone: usize, now: Point) -> Digest {
        let own = &self.roster.zones[self.roster.own_zone()];
        let len = own.members.len();
        let mut ages: SmallVec<[u8; 32]> = SmallVec::from_elem(0, len.div_ceil(2));
        for (position, member) in own.members.iter().enumerate() {
            let units = match self.rows[*member].heard {
                Some(_) => units(self.age(*member, now), AGE_UNIT, u64::from(MAX_AGE)),
                None => u64::from(MAX_AGE),
            };
            let units = u8::try_from(units).unwrap_or(MAX_AGE);
            ages[position / 2] |= units << (position % 2 * 4);
        }
        let (domain, list) = (own.short, own.list);
        let far = &mut self.far[zone];
        let echo = far.heard.map_or(u64::from(u8::MAX), |heard| {
            units(now.since(heard), AGE_UNIT, u64::from(u8::MAX))
        });
        let first = far.next_row % len;
        far.next_row = first + 1;
        let mut chosen: SmallVec<[usize; 4]> = SmallVec::from_iter([first]);
        let order = (0..len).map(|step| (first + step) % len);
        for position in order {
            if chosen.len() > MAX_HOT_ROWS {
                break;
            }
            if far.hot[position] > 0 {
                far.hot[position] -= 1;
                if position != first {
                    chosen.push(position);
                }
            }
        }
        Digest {
            domain,
            list,
            age: 0,
            echo: u8::try_from(echo).unwrap_or(u8::MAX),
            ages,
            rows: chosen
                .into_iter()
                .map(|position| self.row(position))
                .collect(),
        }
    }
}
