//! Finished claims in sorted blocks of fixed-size records, and their bodies under a limit of their own.
//!
//! A record takes [`RECORD_BYTES`] and no allocation of its own. Where blocks are split depends only on the order of
//! commands, and a snapshot stores the blocks as they are, so all replicas have the same blocks.

use std::collections::BTreeMap;

use buckthornmast_types::id;
use serde::{Deserialize, Serialize, Serializer};

use crate::claims::{MAX_TOTAL_BODY_BYTES, Outcome, RETENTION_MILLIS, labels::Labels};

/// Size of a finished claim without its body.
pub const RECORD_BYTES: usize = 24;
/// Bytes counted for a kept body in addition to its length.
pub const BODY_OVERHEAD_BYTES: usize = 64;

/// Maximum number of records in a block, so that an insertion moves at most 6 KiB.
const BLOCK_RECORDS: usize = 256;
/// Number of bits of a key below its time.
const RANDOM_BITS: u32 = 80;
/// Leading bytes by which records are sorted: the milliseconds since the time of the block's lower bound, and the
/// rest of the key.
const SORT_KEY_BYTES: usize = 12;

/// Sort key, label, status and fingerprint of a claim, all big-endian.
type Record = [u8; RECORD_BYTES];

/// Decoded record of a claim, without its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) fingerprint: u64,
    pub(super) status: u16,
    pub(super) label: u16,
}

/// Finished claims, ordered by key.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Finished {
    /// Blocks by a lower bound of their keys; the times in the records are relative to that of the bound.
    blocks: BTreeMap<u128, Vec<Record>>,
    /// Kept bodies by key and label.
    bodies: BTreeMap<(u128, u16), Box<[u8]>>,
    len: usize,
    body_bytes: usize,
}

// Returns the time in a key.
fn millis_of(key: u128) -> u64 {
    u64::try_from(key >> RANDOM_BITS).unwrap_or(u64::MAX)
}

fn is_expired(key: u128, at: u64) -> bool {
    millis_of(key).saturating_add(RETENTION_MILLIS) < at
}

fn field<const N: usize>(record: &Record, start: usize) -> [u8; N] {
    let mut bytes = [0; N];
    bytes.copy_from_slice(&record[start..start + N]);
    bytes
}

// Returns the milliseconds from the time of the block's lower bound to that of the record.
fn offset_of(record: &Record) -> u16 {
    u16::from_be_bytes(field(record, 0))
}

fn entry_of(record: &Record) -> Entry {
    Entry {
        label: u16::from_be_bytes(field(record, 12)),
        status: u16::from_be_bytes(field(record, 14)),
        fingerprint: u64::from_be_bytes(field(record, 16)),
    }
}

fn key_of(low: u128, record: &Record) -> u128 {
    let mut key = [0; 16];
    key[6..].copy_from_slice(&record[2..SORT_KEY_BYTES]);
    let time = (low >> RANDOM_BITS) + u128::from(offset_of(record));
    time << RANDOM_BITS | u128::from_be_bytes(key)
}

/// Returns the sort key of a key in the block with this lower bound, or `None` if their times are too far apart.
fn sort_key_of(low: u128, key: u128) -> Option<[u8; SORT_KEY_BYTES]> {
    let offset = u16::try_from((key >> RANDOM_BITS).checked_sub(low >> RANDOM_BITS)?).ok()?;
    let mut sort_key = [0; SORT_KEY_BYTES];
    sort_key[..2].copy_from_slice(&offset.to_be_bytes());
    sort_key[2..].copy_from_slice(&key.to_be_bytes()[6..]);
    Some(sort_key)
}

/// Splits a full block near its middle, but never between records of one key.
fn split(low: u128, block: &mut Vec<Record>) -> Option<(u128, Vec<Record>)> {
    let is_boundary = |at: &usize| block[*at][..SORT_KEY_BYTES] != block[at - 1][..SORT_KEY_BYTES];
    let middle = block.len() / 2;
    let cut = (middle..block.len())
        .find(is_boundary)
        .or_else(|| (1..middle).rev().find(is_boundary))?;
    let mut right = block.split_off(cut);
    block.shrink_to_fit();
    let first = key_of(low, &right[0]);
    let shift = offset_of(&right[0]);
    for record in &mut right {
        let offset = offset_of(record) - shift;
        record[..2].copy_from_slice(&offset.to_be_bytes());
    }
    Some((first, right))
}

impl Finished {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    /// Returns the claim with this key whose label belongs to the service.
    pub(super) fn find(
        &self,
        key: id::Key,
        service: &id::Service,
        labels: &Labels,
    ) -> Option<Entry> {
        let key = key.0.as_u128();
        let (low, block) = self.blocks.range(..=key).next_back()?;
        let sort_key = sort_key_of(*low, key)?;
        let start = block.partition_point(|record| record[..SORT_KEY_BYTES] < sort_key[..]);
        block[start..]
            .iter()
            .take_while(|record| record[..SORT_KEY_BYTES] == sort_key)
            .map(entry_of)
            .find(|entry| labels.service(entry.label) == Some(service))
    }

    /// Returns the recorded outcome of a claim.
    pub(super) fn outcome(&self, key: id::Key, entry: Entry, labels: &Labels) -> Outcome {
        let (content_type, is_empty) = labels.content(entry.label);
        let body = self.bodies.get(&(key.0.as_u128(), entry.label));
        Outcome {
            status: entry.status,
            content_type: content_type.to_owned(),
            body: body
                .map(|body| body.to_vec())
                .or_else(|| is_empty.then(Vec::new)),
        }
    }

    /// Adds a claim that is not known yet. Drops the bodies of the oldest keys if the bodies exceed their limit.
    pub(super) fn insert(&mut self, key: id::Key, entry: Entry, body: Option<Vec<u8>>) {
        let key = key.0.as_u128();
        self.insert_record(key, entry);
        if let Some(body) = body.filter(|body| !body.is_empty()) {
            self.body_bytes += BODY_OVERHEAD_BYTES + body.len();
            self.bodies.insert((key, entry.label), body.into());
        }
        while self.body_bytes > MAX_TOTAL_BODY_BYTES
            && let Some((_, body)) = self.bodies.pop_first()
        {
            self.body_bytes -= BODY_OVERHEAD_BYTES + body.len();
        }
    }

    fn insert_record(&mut self, key: u128, entry: Entry) {
        let nearest = self.blocks.range(..=key).next_back();
        let nearest = nearest.and_then(|(low, _)| Some((*low, sort_key_of(*low, key)?)));
        let (low, sort_key) = nearest.unwrap_or_else(|| {
            let mut sort_key = [0; SORT_KEY_BYTES];
            sort_key[2..].copy_from_slice(&key.to_be_bytes()[6..]);
            (key, sort_key)
        });
        let mut record = [0; RECORD_BYTES];
        record[..SORT_KEY_BYTES].copy_from_slice(&sort_key);
        record[12..14].copy_from_slice(&entry.label.to_be_bytes());
        record[14..16].copy_from_slice(&entry.status.to_be_bytes());
        record[16..].copy_from_slice(&entry.fingerprint.to_be_bytes());
        let block = self.blocks.entry(low).or_default();
        let position = block.partition_point(|record| record[..SORT_KEY_BYTES] <= sort_key[..]);
        block.insert(position, record);
        let right = (block.len() > BLOCK_RECORDS)
            .then(|| split(low, block))
            .flatten();
        self.blocks.extend(right);
        self.len += 1;
    }

    /// Drops claims whose keys have expired.
    pub(super) fn purge(&mut self, at: u64, labels: &mut Labels) {
        while let Some(mut first) = self.blocks.first_entry() {
            let low = *first.key();
            let block = first.get_mut();
            let cut = block.partition_point(|record| is_expired(key_of(low, record), at));
            for record in block.drain(..cut) {
                labels.release(entry_of(&record).label);
            }
            self.len -= cut;
            if !block.is_empty() {
                break;
            }
            first.remove();
        }
        while let Some(first) = self.bodies.first_entry()
            && is_expired(first.key().0, at)
        {
            self.body_bytes -= BODY_OVERHEAD_BYTES + first.remove().len();
        }
    }

    /// Restores the claims from a snapshot and counts the uses of their labels; returns `None` if the snapshot is
    /// malformed.
    pub(super) fn restore(snapshot: Snapshot, labels: &mut Labels) -> Option<Self> {
        let mut finished = Self::default();
        let mut last = None;
        for (low, bytes) in snapshot.blocks {
            let (records, rest) = bytes.0.as_chunks::<RECORD_BYTES>();
            if records.is_empty() || !rest.is_empty() || last.is_some_and(|last| last >= low) {
                return None;
            }
            for record in records {
                let key = key_of(low, record);
                if key < low || last.is_some_and(|last| last > key) {
                    return None;
                }
                last = Some(key);
                labels.acquire(entry_of(record).label)?;
            }
            finished.len += records.len();
            finished.blocks.insert(low, records.to_vec());
        }
        for (key, label, body) in snapshot.bodies {
            let is_bounded = body.0.len() <= super::MAX_BODY_BYTES;
            labels.service(label).filter(|_| is_bounded)?;
            finished.body_bytes += BODY_OVERHEAD_BYTES + body.0.len();
            let duplicate = finished.bodies.insert((key, label), body.0.into());
            if duplicate.is_some() {
                return None;
            }
        }
        Some(finished)
    }
}

/// Bytes that are encoded and decoded as a whole instead of one by one.
#[derive(Debug)]
pub(super) struct RawBytes<T>(pub(super) T);

impl<T: AsRef<[u8]>> Serialize for RawBytes<T> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(self.0.as_ref())
    }
}

impl<'de: 'a, 'a> Deserialize<'de> for RawBytes<&'a [u8]> {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        <&[u8]>::deserialize(deserializer).map(Self)
    }
}

/// Finished claims as stored in a snapshot.
#[derive(Debug, Deserialize)]
pub(super) struct Snapshot<'a> {
    #[serde(borrow)]
    blocks: Vec<(u128, RawBytes<&'a [u8]>)>,
    #[serde(borrow)]
    bodies: Vec<(u128, u16, RawBytes<&'a [u8]>)>,
}

impl Serialize for Finished {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        #[derive(Serialize)]
        struct SnapshotView<'a> {
            blocks: Vec<(u128, RawBytes<&'a [u8]>)>,
            bodies: Vec<(u128, u16, RawBytes<&'a [u8]>)>,
        }
        let blocks = self.blocks.iter();
        let bodies = self.bodies.iter();
        let view = SnapshotView {
            blocks: blocks
                .map(|(low, block)| (*low, RawBytes(block.as_flattened())))
                .collect(),
            bodies: bodies
                .map(|((key, label), body)| (*key, *label, RawBytes(body.as_ref())))
                .collect(),
        };
        view.serialize(serializer)
    }
}
