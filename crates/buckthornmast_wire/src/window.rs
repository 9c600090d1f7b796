//! Replay window of sequence numbers.

/// Length of the window: how many sequence numbers, counted back from the highest one used, are tracked.
///
/// Requests of one session overtake each other by at most the number of calls in flight, which is far lower.
pub const WINDOW_LEN: u64 = 4096;

const WORDS: usize = (WINDOW_LEN / 64) as usize;

/// Sliding window that accepts each sequence number once.
#[derive(Debug, Clone)]
pub struct Window {
    /// One more than the highest number used; 0 if none was.
    next: u64,
    /// One bit for each tracked number, at its value modulo [`WINDOW_LEN`].
    used: Box<[u64; WORDS]>,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            next: 0,
            used: Box::new([0; WORDS]),
        }
    }
}

fn word_and_bit(sequence: u64) -> (usize, u64) {
    let bit = sequence % WINDOW_LEN;
    ((bit / 64) as usize, 1 << (bit % 64))
}

impl Window {
    /// Marks a number as used. Returns `false` if it was used before or is too old to be tracked.
    ///
    /// `u64::MAX` is always refused, since no number follows it.
    #[must_use]
    pub fn accept(&mut self, sequence: u64) -> bool {
        if sequence == u64::MAX {
            return false;
        }
        if sequence >= self.next {
            self.advance(sequence);
        } else if self.next - sequence > WINDOW_LEN {
            return false;
        }
        let (word, bit) = word_and_bit(sequence);
        let is_fresh = self.used[word] & bit == 0;
        self.used[word] |= bit;
        is_fresh
    }

    /// Moves the window up to a number and clears the bits of the numbers that enter it.
    fn advance(&mut self, sequence: u64) {
        if sequence - self.next >= WINDOW_LEN {
            self.used.fill(0);
        } else {
            for skipped in self.next..=sequence {
                let (word, bit) = word_and_bit(skipped);
                self.used[word] &= !bit;
            }
        }
        self.next = sequence + 1;
    }
}
