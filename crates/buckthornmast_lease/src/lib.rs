//! Controller lease of a failure domain.
//!
//! The replicated log grants `(domain, holder, token)`; renewal is volatile. The [`grantor::Grantor`] runs
//! at the leader of the log and decides when another candidate may be granted the lease. The
//! [`holder::Holder`] runs at every candidate and knows whether its own lease is valid.
//!
//! While the quorum is out of reach, a holder renews by promises of all other candidates of its domain.
//! At most one candidate has a valid lease at any time, for these reasons:
//!
//! - The grantor waits a full duration after the last renewal that it answered, or after it became leader.
//! - The holder counts from the time at which it sent the renewal, less the drift between two clocks.
//! - A candidate that promised neither asks for the lease nor accepts a grant that it asked for earlier.
//! - A restarted candidate has forgotten its promises and its lease, and waits until they have ended.

pub mod grantor;
pub mod holder;

use std::time::Duration;

/// Duration of a lease as the grantor and the promising candidates count it.
pub const DURATION: Duration = Duration::from_secs(2);

/// Part of the duration that the holder gives away, in percent.
///
/// Monotonic clocks of two machines are assumed to differ in rate by less than this.
pub const DRIFT_PERCENT: u32 = 10;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        DRIFT_PERCENT, DURATION,
        grantor::{Grantor, Renewal, Verdict},
        holder::{Config, Effect, Granted, Holder, Valid},
    };
}
