//! Samples of finished requests for reports and metrics.

use std::time::Duration;

use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Answered in full.
    Answered,
    /// Refused at admission and not run.
    Refused,
    /// Failed.
    Failed,
    /// The caller disconnected.
    Abandoned,
}

/// Finished request.
#[derive(Debug, Clone, PartialEq)]
pub struct Sample<'a> {
    /// Team that declared the model or adapter.
    pub team: &'a id::Team,
    /// Model or adapter as the caller named it.
    pub model: &'a str,
    /// Name of the objective.
    pub objective: &'a str,
    /// Target that was chosen last, if any.
    pub target: Option<&'a id::Target>,
    /// How the request ended.
    pub end: End,
    /// Whether the request was answered within the time limits of its objective.
    pub is_in_time: bool,
    /// Time to the first token, or `None` if none was received.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub total: Duration,
    /// Number of tokens in the answer.
    pub tokens: u32,
}

/// Receiver of samples.
pub trait Observer {
    /// Records a sample.
    fn observe(&self, sample: &Sample<'_>);
}
