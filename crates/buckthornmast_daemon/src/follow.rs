//! Thread that keeps the settings in force up to date.
//!
//! A voter copies the settings that its replica has applied. Any other instance learns from the heartbeats
//! which peers have a higher revision and pulls the difference from one of them. Peers of its own failure
//! domain come first, which limits the load on the voters.

use std::{
    sync::Arc,
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_membership::view::{Peer, View};
use buckthornmast_types::id;
use flume::{Receiver, RecvTimeoutError, Sender};

use crate::{
    confirm::{self, Confirmed},
    current::Current,
    message::{Request, Response},
    peers::{Peers, Replica},
};

/// Interval between two polls; a change passes through two instances within the target of 1 s.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Polls between two confirmations, which make two seconds.
const CONFIRM_ROUNDS: u32 = 40;

/// Time limit for a peer to answer; beyond it, the next poll pulls again.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Function that returns the current membership view.
pub type Views = Arc<dyn Fn() -> Arc<View> + Send + Sync>;

/// Components that the thread depends on.
pub struct Dependencies {
    /// Failure domain of this instance.
    pub domain: id::Domain,
    /// Settings in force.
    pub current: Current,
    /// Local replica.
    pub replica: Option<Arc<Replica>>,
    /// Client to the other instances.
    pub peers: Peers,
    /// Current membership view.
    pub views: Views,
    /// This instance.
    pub me: id::Instance,
    /// Voters.
    pub voters: Vec<id::Instance>,
    /// Confirmation of the settings.
    pub confirmed: Confirmed,
}

/// Handle of the thread.
pub struct Follower {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Follower {
    /// Stops the thread and joins it.
    pub fn stop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts the thread.
pub fn start(dependencies: Dependencies) -> std::io::Result<Follower> {
    let (stop, stopped) = flume::bounded(1);
    let thread = thread::Builder::new()
        .name("follow".to_owned())
        .spawn(move || run(&dependencies, &stopped))?;
    Ok(Follower {
        stop: Some(stop),
        thread: Some(thread),
    })
}

fn run(dependencies: &Dependencies, stopped: &Receiver<()>) {
    let mut round = 0_u32;
    while stopped.recv_timeout(POLL_INTERVAL) == Err(RecvTimeoutError::Timeout) {
        if round.is_multiple_of(CONFIRM_ROUNDS) {
            let confirmation = confirm::Dependencies {
                me: &dependencies.me,
                domain: &dependencies.domain,
                voters: &dependencies.voters,
                replica: dependencies.replica.as_deref(),
                peers: &dependencies.peers,
            };
            confirm::confirm(
                &dependencies.confirmed,
                &confirmation,
                &(dependencies.views)(),
            );
        }
        round = round.wrapping_add(1);
        if let Some(replica) = &dependencies.replica {
            follow_replica(&dependencies.current, replica);
        }
        follow_peers(dependencies);
    }
}

fn follow_replica(current: &Current, replica: &Replica) {
    let revision = current.get().revision;
    let newer = replica.read(|state| {
        let tree = state.tree();
        (tree.revision() > revision).then(|| tree.clone())
    });
    if let Some(tree) = newer {
        current.advance(&tree);
    }
}

/// Returns the peers with a higher revision: those of this failure domain first, then by highest revision.
fn sources<'a>(view: &'a View, domain: &id::Domain, revision: id::Revision) -> Vec<&'a Peer> {
    let mut peers: Vec<&Peer> = view
        .alive()
        .filter(|peer| peer.progress.revision > revision)
        .collect();
    peers.sort_by_key(|peer| {
        (
            peer.domain != *domain,
            std::cmp::Reverse(peer.progress.revision),
        )
    });
    peers
}

fn follow_peers(dependencies: &Dependencies) {
    let snapshot = dependencies.current.get();
    let view = (dependencies.views)();
    for peer in sources(&view, &dependencies.domain, snapshot.revision) {
        let request = Request::Follow {
            revision: snapshot.revision,
        };
        match dependencies
            .peers
            .call(&peer.instance, request, PULL_TIMEOUT)
        {
            Ok(Response::Followed(Some(update))) => {
                let mut tree = snapshot.tree.clone();
                if tree.apply_update(update) && dependencies.current.advance(&tree) {
                    return;
                }
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(step = "follow", peer = peer.instance.as_str(); "pulling settings failed: {error}")
            }
        }
    }
}
