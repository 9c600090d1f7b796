//! Digests between failure domains: choice of their senders, content and relaying.

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

/// Largest age that four bits hold; it means at least that long, or not heard from yet.
const MAX_AGE_UNITS: u8 = 15;

/// Time per unit of a digest's own age.
const DIGEST_AGE_UNIT: Duration = Duration::from_millis(10);

/// Maximum number of rows of changed members in a digest.
const MAX_CHANGED_ROWS: usize = 3;

/// Number of digests that carry a changed row. With 5 % loss on the way and at the relay, one member in a
/// thousand misses all three and waits for the rotation.
const CHANGE_REPEATS: u8 = 3;

/// Age of a domain's last echo at which backup senders start to send to it.
///
/// Their digests must arrive before 2 s have passed, or live members are considered dead.
const MAX_ECHO_AGE: Duration = Duration::from_millis(900);

/// Time for which backup senders continue after they were last needed.
///
/// Without it they would stop as soon as their digests arrived, and the members would become suspect repeatedly.
const BACKUP_DURATION: Duration = Duration::from_secs(30);

/// Number of senders while the other domain does not echo digests of this one.
///
/// A network fault may separate one sender from the other domain but not the other members of its domain.
const BACKUP_SENDERS: usize = 3;

/// Maximum number of bytes of digests in a heartbeat, which leaves room for its other fields and the frame.
const MAX_DIGEST_BYTES: usize = 1100;

/// Maximum number of digests queued for the next heartbeat; further ones are not relayed. More arrive only when a
/// delayed queue drains at once.
const MAX_QUEUED_RELAYS: usize = 64;

/// State of the digest exchange with another failure domain.
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Number of further digests that carry the row of each member of the own domain.
    row_repeats: Vec<u8>,
    /// Position of the next row in rotation.
    next_row: usize,
    /// Position of the next receiver in the other domain.
    next_receiver: usize,
    /// Creation time of the newest digest of the other domain.
    newest_digest: Option<Point>,
    /// Creation time of the newest digest of the own domain that the other domain is known to have received.
    last_echo: Option<Point>,
    /// Time until which backup senders continue.
    backup_until: Point,
}

impl Exchange {
    pub(crate) fn new(own_len: usize) -> Self {
        Self {
            row_repeats: vec![0; own_len],
            next_row: 0,
            next_receiver: 0,
            newest_digest: None,
            last_echo: None,
            backup_until: Point::ZERO,
        }
    }
}

/// Digest of another domain that is queued to be relayed within the own one.
#[derive(Debug)]
pub(crate) struct Relay {
    digest: Digest,
    created: Point,
}

/// Returns the number of whole units in a time span, at most `max`.
fn units(span: Duration, unit: Duration, max: u64) -> u64 {
    let count = span.as_micros() / unit.as_micros();
    u64::try_from(count).unwrap_or(u64::MAX).min(max)
}

/// Returns an upper bound on the encoded size of a digest.
fn size_bound(digest: &Digest) -> usize {
    // Varints take up to 10 bytes for 64 bits, 5 for 32 and 3 for 16.
    const FIXED_BYTES: usize = 4 + 4 + 3 + 1 + 3 + 1;
    const ROW_BYTES: usize = 3 + 10 + 5 + 10 + 10 + 1;
    FIXED_BYTES + digest.ages.len() + digest.rows.len() * ROW_BYTES
}

impl Table {
    /// Schedules the row of a member of the own domain for the next digests to the other domains.
    pub(crate) fn mark_changed(&mut self, member: usize) {
        let (domain, position) = self.roster.positions[member];
        if domain == self.roster.own_domain() {
            for exchange in &mut self.exchanges {
                exchange.row_repeats[position] = CHANGE_REPEATS;
            }
        }
    }

    /// Applies a digest received in a heartbeat.
    pub(crate) fn apply(&mut self, now: Point, from: usize, delay: Duration, digest: Digest) {
        let Some(remote) = self.roster.find_domain(digest.domain) else {
            return;
        };
        let own_domain = self.roster.own_domain();
        let entry = &self.roster.domains[remote];
        if remote == own_domain || digest.list_hash != entry.list_hash {
            return;
        }
        let age = DIGEST_AGE_UNIT * u32::from(digest.age) + delay;
        if age >= self.timing.dead_after {
            return;
        }
        let members = entry.members.clone();
        for (position, member) in members.iter().enumerate() {
            let Some(byte) = digest.ages.get(position / 2) else {
                break;
            };
            let units = byte >> (position % 2 * 4) & 15;
            if units < MAX_AGE_UNITS {
                self.record_alive(*member, now, age + AGE_UNIT * u32::from(units));
            }
        }
        for row in &digest.rows {
            if let Some(member) = members.get(usize::from(row.position)) {
                self.apply_progress(*member, row.incarnation, row.sequence, row.progress);
            }
        }
        let created = now - age;
        let exchange = &mut self.exchanges[remote];
        exchange.newest_digest = exchange.newest_digest.max(Some(created));
        if digest.echo < u8::MAX {
            let last_echo = created - AGE_UNIT * u32::from(digest.echo);
            exchange.last_echo = exchange.last_echo.max(Some(last_echo));
        }
        let is_direct = self.roster.domain_of(from) == remote;
        if is_direct && self.relays.len() < MAX_QUEUED_RELAYS {
            self.relays.push(Relay { digest, created });
        }
    }

    /// Removes as many digests from the relay queue as fit a heartbeat.
    pub(crate) fn take_relays(&mut self, now: Point) -> SmallVec<[Digest; 1]> {
        let mut free_bytes = MAX_DIGEST_BYTES;
        let mut digests = SmallVec::new();
        while let Some(relay) = self.relays.pop() {
            let size = size_bound(&relay.digest);
            if size > free_bytes && !digests.is_empty() {
                self.relays.push(relay);
                break;
            }
            free_bytes = free_bytes.saturating_sub(size);
            let age = units(
                now.since(relay.created),
                DIGEST_AGE_UNIT,
                u64::from(u16::MAX),
            );
            digests.push(Digest {
                age: u16::try_from(age).unwrap_or(u16::MAX),
                ..relay.digest
            });
        }
        digests
    }

    /// Adds the digests to the domains for which this instance is a designated sender.
    pub(crate) fn push_digests(&mut self, now: Point, out: &mut Vec<Outgoing>) {
        let own_domain = self.roster.own_domain();
        for remote in 0..self.roster.domains.len() {
            if remote == own_domain || !self.is_sender(remote, now) {
                continue;
            }
            let receiver = self.next_receiver(remote, now);
            let mut heartbeat = self.next_heartbeat(now);
            let digest = self.digest_for(remote, now);
            heartbeat.digests = SmallVec::from_iter([digest]);
            let to = vec![receiver];
            out.push(Outgoing { to, heartbeat });
        }
    }

    /// Returns whether this instance ranks high enough among the live members of its domain to send.
    ///
    /// Each instance considers itself live, so the highest-ranking running one always sends.
    fn is_sender(&mut self, remote: usize, now: Point) -> bool {
        let exchange = &mut self.exchanges[remote];
        let is_echoed = match exchange.last_echo {
            Some(last_echo) if now.since(last_echo) >= MAX_ECHO_AGE => {
                exchange.backup_until = now + BACKUP_DURATION;
                false
            }
            Some(_) => now >= exchange.backup_until,
            None => false,
        };
        let roster = &self.roster;
        let own_weight = roster.weight(roster.me, remote);
        let outranking = roster.domains[roster.own_domain()]
            .members
            .iter()
            .filter(|member| **member != roster.me && roster.weight(**member, remote) > own_weight)
            .filter(|member| self.state(**member, now) == State::Alive)
            .count();
        outranking < if is_echoed { 1 } else { BACKUP_SENDERS }
    }

    /// Returns the next live member of another domain in rotation, or the next member if none is live.
    fn next_receiver(&mut self, remote: usize, now: Point) -> usize {
        let members = &self.roster.domains[remote].members;
        let first = self.exchanges[remote].next_receiver;
        let order = (0..members.len()).map(|step| (first + step) % members.len());
        let live = order
            .clone()
            .find(|position| self.state(members[*position], now) == State::Alive);
        let position = live.unwrap_or(first % members.len());
        self.exchanges[remote].next_receiver = position + 1;
        members[position]
    }

    fn row(&self, position: usize) -> Row {
        let domain = &self.roster.domains[self.roster.own_domain()];
        let row = &self.rows[domain.members[position]];
        Row {
            position: u16::try_from(position).unwrap_or(u16::MAX),
            incarnation: row.incarnation,
            sequence: row.progress_sequence,
            progress: row.progress,
        }
    }

    /// Returns the next digest of the own domain for another one.
    fn digest_for(&mut self, remote: usize, now: Point) -> Digest {
        let own = &self.roster.domains[self.roster.own_domain()];
        let len = own.members.len();
        let mut ages: SmallVec<[u8; 32]> = SmallVec::from_elem(0, len.div_ceil(2));
        for (position, member) in own.members.iter().enumerate() {
            let units = match self.rows[*member].last_alive {
                Some(_) => units(self.age(*member, now), AGE_UNIT, u64::from(MAX_AGE_UNITS)),
                None => u64::from(MAX_AGE_UNITS),
            };
            let units = u8::try_from(units).unwrap_or(MAX_AGE_UNITS);
            ages[position / 2] |= units << (position % 2 * 4);
        }
        let (domain, list_hash) = (own.short_id, own.list_hash);
        let exchange = &mut self.exchanges[remote];
        let echo = exchange
            .newest_digest
            .map_or(u64::from(u8::MAX), |created| {
                units(now.since(created), AGE_UNIT, u64::from(u8::MAX))
            });
        let first = exchange.next_row % len;
        exchange.next_row = first + 1;
        let mut chosen: SmallVec<[usize; 4]> = SmallVec::from_iter([first]);
        let order = (0..len).map(|step| (first + step) % len);
        for position in order {
            if chosen.len() > MAX_CHANGED_ROWS {
                break;
            }
            if exchange.row_repeats[position] > 0 {
                exchange.row_repeats[position] -= 1;
                if position != first {
                    chosen.push(position);
                }
            }
        }
        Digest {
            domain,
            list_hash,
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
