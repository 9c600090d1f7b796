//! Controller lease of a failure domain. The candidate that holds it is the controller of the domain.
//!
//! The replicated log records grants of `(domain, holder, token)`; renewals are volatile. The [`grantor::Grantor`] runs
//! at the leader of the log and decides when another candidate may be granted the lease. The
//! [`holder::Holder`] runs at every candidate and knows whether its own lease is valid.
//!
//! While the quorum is unreachable, a holder renews by promises of all other candidates of its domain.
//! At most one candidate has a valid lease at any time, for these reasons:
//!
//! - The grantor waits a full duration after the last renewal that it answered, or after it became leader.
//! - The holder counts from the time at which it sent the renewal, less the drift between two clocks.
//! - A candidate that promised neither requests the lease nor accepts a grant that it requested earlier.
//! - A restarted candidate has lost its promises and its lease, and waits until they have expired.

pub mod grantor;
pub mod holder;

use std::time::Duration;

/// Duration of a lease as the grantor and the promising candidates count it.
pub const DURATION: Duration = Duration::from_secs(2);

/// Share of the duration that the holder leaves unused, in percent.
///
/// The monotonic clocks of two machines are assumed to differ in rate by less than this.
pub const DRIFT_PERCENT: u32 = 10;

/// Names that most users of this crate import together.
pub mod prelude {
    pub use crate::{
        DRIFT_PERCENT, DURATION,
        grantor::{Grantor, Renewal, Verdict},
        holder::{Acquisition, Config, Effect, Holder, Lease},
    };
}
