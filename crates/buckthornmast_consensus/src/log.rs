//! In-memory log: the entries after a base.

use std::collections::VecDeque;

use buckthornmast_types::id;

use crate::{
    machine::LogTime,
    message::{Entry, Position},
};

/// Log of a replica. The entries up to its base have been compacted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Log<C> {
    base: Position,
    base_time: LogTime,
    entries: VecDeque<Entry<C>>,
}

impl<C> Default for Log<C> {
    fn default() -> Self {
        Self::after(Position::default(), LogTime::default())
    }
}

impl<C> Log<C> {
    /// Returns an empty log that starts after a position.
    pub fn after(base: Position, base_time: LogTime) -> Self {
        Self {
            base,
            base_time,
            entries: VecDeque::new(),
        }
    }

    /// Returns the position before the first entry.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the last position.
    pub fn last(&self) -> Position {
        self.entries
            .back()
            .map_or(self.base, |entry| entry.position)
    }

    /// Returns the log time of the last entry.
    pub fn last_time(&self) -> LogTime {
        self.entries.back().map_or(self.base_time, |entry| entry.at)
    }

    // Returns the position of an index in `entries`, or `None` if it is at or before the base.
    fn offset(&self, index: id::Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        usize::try_from(offset).ok()
    }

    /// Returns the entry at an index, unless it was compacted or the log ends before it.
    pub fn get(&self, index: id::Index) -> Option<&Entry<C>> {
        self.entries.get(self.offset(index)?)
    }

    /// Returns the term at an index, unless it was compacted or the log ends before it.
    pub fn term_at(&self, index: id::Index) -> Option<id::Term> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|entry| entry.position.term)
    }

    /// Returns the entries from an index on.
    pub fn entries_from(&self, index: id::Index) -> impl Iterator<Item = &Entry<C>> {
        let start = self.offset(index).unwrap_or(0).min(self.entries.len());
        self.entries.range(start..)
    }

    /// Appends an entry.
    pub fn push(&mut self, entry: Entry<C>) {
        self.entries.push_back(entry);
    }

    /// Removes the entries from an index on.
    pub fn truncate(&mut self, from: id::Index) {
        self.entries.truncate(self.offset(from).unwrap_or(0));
    }

    /// Returns how many entries up to an index are within a number of entries and a total size of their commands.
    pub fn tail_before(&self, index: id::Index, (entries, bytes): (u64, u64)) -> u64 {
        let end = self.offset(index.next()).unwrap_or(0);
        let newest_first = self.entries.range(..end.min(self.entries.len())).rev();
        let mut total = 0;
        let fits = newest_first.take_while(|entry| {
            total += u64::from(entry.size);
            total <= bytes
        });
        entries.min(fits.count() as u64)
    }

    /// Removes the entries up to an index.
    pub fn compact(&mut self, through: id::Index) {
        while let Some(first) = self.entries.front()
            && first.position.index <= through
        {
            self.base = first.position;
            self.base_time = first.at;
            self.entries.pop_front();
        }
    }
}
