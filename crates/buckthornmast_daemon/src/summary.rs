//! State of an instance, which the others query for status and reports.

use std::{sync::Arc, thread, time::Duration};

use buckthornmast_consensus::status::{Role, Status};
use buckthornmast_controller::counter::Counters;
use buckthornmast_report::extract::Extract;
use buckthornmast_state::claims::Usage;
use buckthornmast_types::id;
use serde::{Deserialize, Serialize};

use crate::{
    message::{Request, Response},
    peers::Peers,
};

/// Time for an instance to answer; one that takes longer is listed as missing.
const SUMMARY_TIMEOUT: Duration = Duration::from_secs(1);

/// State of an instance.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Revision of the settings in force.
    pub revision: id::Revision,
    /// Whether the instance is ready for callers.
    pub ready: bool,
    /// Milliseconds since the settings in force were confirmed.
    #[serde(default)]
    pub confirmed_ms: u64,
    /// State of the replica, if the instance has one.
    pub replica: Option<Replicated>,
    /// Token of the controller lease, if the instance holds one.
    pub controller: Option<id::Token>,
    /// Moves per team since the controller started.
    pub moves: Counters,
    /// Finished requests for reports; empty from an instance that has no collector.
    #[serde(default)]
    pub extract: Extract,
}

/// State of a replica.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Replicated {
    /// Role.
    pub role: Role,
    /// Whether its voter set is durably known to be committed, so that another disk may fail.
    pub settled: bool,
    /// Term.
    pub term: id::Term,
    /// Highest committed index.
    pub commit: id::Index,
    /// Highest applied index.
    pub applied: id::Index,
    /// Leader, if known.
    pub leader: Option<id::Instance>,
    /// Fault because of which the replica neither votes nor acknowledges.
    pub fault: Option<String>,
    /// Fill level of the claims.
    #[serde(default)]
    pub claims: Usage,
}

impl Replicated {
    /// Returns the state of a replica.
    pub fn new(status: Status, claims: Usage) -> Self {
        Self {
            claims,
            role: status.role,
            settled: status.settled,
            term: status.term,
            commit: status.commit,
            applied: status.applied,
            leader: status.leader,
            fault: status.fault.or(status.refusal),
        }
    }
}

/// Summaries of all instances that answered.
#[derive(Debug, Default)]
pub struct Gathered {
    /// Summaries, in the order of the instances' names.
    pub summaries: Vec<(id::Instance, Summary)>,
    /// Instances that did not answer.
    pub missing: Vec<id::Instance>,
}

/// Queries all instances concurrently.
pub fn gather(peers: &Peers, others: &[id::Instance], local: (id::Instance, Summary)) -> Gathered {
    let calls: Vec<_> = others
        .iter()
        .map(|other| {
            let (peers, to) = (peers.clone(), other.clone());
            let call = move || peers.call(&to, Request::Summary, SUMMARY_TIMEOUT);
            (
                other.clone(),
                thread::Builder::new().name("gather".to_owned()).spawn(call),
            )
        })
        .collect();
    let mut gathered = Gathered {
        summaries: vec![local],
        missing: Vec::new(),
    };
    for (instance, thread) in calls {
        let answer = thread.ok().and_then(|thread| thread.join().ok());
        match answer {
            Some(Ok(Response::Summary(summary))) => gathered.summaries.push((instance, *summary)),
            _ => gathered.missing.push(instance),
        }
    }
    gathered.summaries.sort_by(|a, b| a.0.cmp(&b.0));
    gathered
}

/// Function that returns the summary of this instance.
pub type Source = Arc<dyn Fn() -> Summary + Send + Sync>;
