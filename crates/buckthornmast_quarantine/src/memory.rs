//! Memory of the parts on which targets have answered.
//!
//! Bounded, also if each request brings a new part: two generations of a fixed size, of which the older one is dropped when
//! the younger one is full. Parts that are in use are recorded again and again and stay.

use std::collections::HashMap;

use buckthornmast_types::time::Point;

use crate::part::Part;

/// Number of parts in one generation. With its overhead, a part takes about 40 bytes.
pub const MAX_GENERATION_PARTS: usize = 8192;

/// Times at which targets last answered on parts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Memory {
    young: HashMap<Part, Point>,
    old: HashMap<Part, Point>,
}

impl Memory {
    /// Records that a target answered on a part.
    pub fn record(&mut self, part: Part, now: Point) {
        if self.young.len() >= MAX_GENERATION_PARTS && !self.young.contains_key(&part) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(part, now);
    }

    /// Returns when a target last answered on a part, if that is remembered.
    pub fn last(&self, part: Part) -> Option<Point> {
        let young = self.young.get(&part);
        young.or_else(|| self.old.get(&part)).copied()
    }

    /// Returns the number of parts that are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Returns whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }
}
