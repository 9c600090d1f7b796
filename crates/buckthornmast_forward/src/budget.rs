//! Division of an instance's memory among what callers can make it hold.

/// Memory in bytes that an instance takes without callers, such as for routes and targets. Measured at under 10 MiB for 300
/// instances.
const BASE_BYTES: usize = 16 << 20;

/// Part of the memory beyond [`BASE_BYTES`] that is given away. The rest is for fragments of the allocator, connections to
/// targets and bytes that have arrived but have not been read.
const GIVEN_PART: (usize, usize) = (2, 3);

/// Least memory that is given away, so that a body of common size fits.
const MIN_GIVEN_BYTES: usize = 16 << 20;

/// Memory in bytes that an open connection takes: the first read buffer of the HTTP library, and the state of the
/// connection and its request.
const CONNECTION_BYTES: usize = 16 << 10;

/// Memory of an instance whose settings don't state any, in bytes.
pub const DEFAULT_MEMORY_BYTES: usize = 256 << 20;

/// What callers may make an instance hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Number of open connections.
    pub connections: usize,
    /// Memory for bodies and answers, in bytes.
    pub bytes: usize,
}

impl Budget {
    /// Divides the memory of an instance. Connections get at most half of what is given away.
    pub fn new(memory: usize, max_connections: usize) -> Self {
        let (numerator, denominator) = GIVEN_PART;
        let given = memory.saturating_sub(BASE_BYTES) / denominator * numerator;
        let given = given.max(MIN_GIVEN_BYTES);
        let connections = max_connections.min(given / 2 / CONNECTION_BYTES);
        Self {
            connections,
            bytes: given - connections * CONNECTION_BYTES,
        }
    }
}
