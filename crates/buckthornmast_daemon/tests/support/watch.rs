//! Helpers that read the state of a cluster, change its settings and send chat requests.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
};

use buckthornmast_trial::prelude::*;
use buckthornmast_types::id;
use serde_json::Value;

/// Returns the holders of the controller lease of a domain, as shown by the status of an instance.
pub(crate) fn holders(cluster: &Cluster, through: usize, domain: &str) -> Vec<(String, u64)> {
    let status = cluster.status(through);
    let rows = status["instances"].as_array().cloned().unwrap_or_default();
    rows.iter()
        .filter(|row| row["domain"] == domain)
        .filter_map(|row| {
            let token = row["controller"].as_u64()?;
            Some((row["instance"].as_str()?.to_owned(), token))
        })
        .collect()
}

/// Waits for a holder with a token above `above` and returns its position and its token.
pub(crate) fn wait_for_holder(
    cluster: &Cluster,
    through: usize,
    domain: &str,
    above: u64,
) -> (usize, u64) {
    wait_for("a holder of the controller lease", || {
        let holders = holders(cluster, through, domain);
        assert!(holders.len() <= 1, "two holders: {holders:?}");
        let (name, token) = holders.into_iter().find(|(_, token)| *token > above)?;
        let mut instances = cluster.instances.iter();
        let index = instances.position(|instance| instance.config.name == name)?;
        Some((index, token))
    })
}

/// Returns the counters of an engine.
pub(crate) fn engine(cluster: &Cluster, target: usize) -> Value {
    caller::counters(cluster.targets[target].address)
}

/// Returns the targets with a ready copy of an artifact, as shown by the status of an instance.
pub(crate) fn ready_at(cluster: &Cluster, through: usize, artifact: &str) -> BTreeSet<String> {
    let status = cluster.status(through);
    let rows = status["targets"].as_array().cloned().unwrap_or_default();
    let is_ready = |copy: &Value| copy["artifact"] == artifact && copy["phase"] == "ready";
    rows.iter()
        .filter(|row| {
            let copies = row["copies"].as_array();
            copies.is_some_and(|copies| copies.iter().any(is_ready))
        })
        .filter_map(|row| row["target"].as_str().map(str::to_owned))
        .collect()
}

/// Writes one value on the newest revision of a scope.
pub(crate) fn set(cluster: &Cluster, through: usize, scope: &str, path: &str, value: &str) {
    let port = cluster.instances[through].ports.operators;
    wait_for("an accepted write", || {
        let body = caller::operator_get(port, &format!("/v1/settings/{scope}")).json();
        let base = body["scopes"][scope]["revision"].as_u64()?;
        let changes = [(path, Some(value))];
        let answer = caller::write_settings(port, scope, id::Write::generate(), base, &changes);
        (answer.status == 200).then_some(())
    });
}

/// Sets the policy of the team and waits until it is in force at all instances.
///
/// Only `static` loads the two declared copies of `proof-reader`. `marginal`, the policy of the declarations, keeps
/// one copy until demand pays for another.
pub(crate) fn set_policy(cluster: &Cluster, policy: &str) {
    let revision = wait_for("the revision of the settings", || cluster.revision(0));
    set(cluster, 0, "team/press", "policy/name", policy);
    for index in 0..cluster.instances.len() {
        wait_for("the policy at all instances", || {
            (cluster.revision(index)? > revision).then_some(())
        });
    }
}

/// Client that sends chat requests one after the other until it is stopped.
pub(crate) struct ChatClient {
    answered: Arc<AtomicU64>,
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<(u64, Vec<String>)>,
}

impl ChatClient {
    pub(crate) fn start(address: SocketAddr, model: &'static str) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let stop = Arc::clone(&is_stopped);
        let answered = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&answered);
        let thread = thread::spawn(move || {
            let (mut sent, mut failures) = (0, Vec::new());
            while !stop.load(Ordering::Relaxed) {
                sent += 1;
                let answer = caller::chat(address, model, "one two three", 3);
                count.fetch_add(1, Ordering::Relaxed);
                let content = answer.json()["choices"][0]["message"]["content"].clone();
                if answer.status != 200
                    || content != stream::expected_tokens("one two three", 3).concat()
                {
                    failures.push(format!("request {sent}: {} {}", answer.status, answer.text));
                }
            }
            (sent, failures)
        });
        Self {
            answered,
            is_stopped,
            thread,
        }
    }

    /// Waits for the answer to a request that is sent after this call.
    pub(crate) fn wait_for_new_request(&self) {
        let before = self.answered.load(Ordering::Relaxed);
        wait_for("the answer to a new request", || {
            (self.answered.load(Ordering::Relaxed) > before + 1).then_some(())
        });
    }

    /// Stops the client and panics if any of its requests was not answered completely.
    pub(crate) fn stop(self) -> u64 {
        self.is_stopped.store(true, Ordering::Relaxed);
        let (sent, failures) = self.thread.join().unwrap_or_default();
        assert!(failures.is_empty(), "of {sent} requests: {failures:?}");
        sent
    }
}
