//! Model check of orders; `support/spec.rs` specifies what is modelled.

#[path = "support/spec.rs"]
mod spec;

use spec::{Mutation, Scope};

/// One target with memory for one of two artifacts.
const MEMORY: Scope = Scope {
    mutation: Mutation::None,
    honours_tokens: &[false],
    memory: 1,
    ready: &[],
    artifacts: &["a", "b"],
    guarded: &[],
    orders: 3,
    attempts: 3,
    reports: 3,
    failovers: 1,
    target_restarts: 0,
    quorum_losses: 0,
    candidate_restarts: 0,
    is_alone: false,
};

/// A target that honours tokens, and a single candidate that loses the quorum and its journal.
const ALONE: Scope = Scope {
    honours_tokens: &[true],
    orders: 2,
    attempts: 2,
    reports: 2,
    quorum_losses: 1,
    is_alone: true,
    ..MEMORY
};

/// [`MEMORY`] with a loss of the quorum and a restart of the other candidate.
const QUORUM: Scope = Scope {
    orders: 2,
    attempts: 2,
    reports: 2,
    quorum_losses: 1,
    candidate_restarts: 1,
    ..MEMORY
};

/// Guards against an overcommitted target after lost and late orders and a failover.
#[test]
fn memory_after_failover() {
    let ignoring = Scope {
        orders: 2,
        ..MEMORY
    };
    ignoring.check("failover, target ignores tokens");
    let honouring = Scope {
        honours_tokens: &[true],
        reports: 2,
        ..ignoring
    };
    honouring.check("failover, target honours tokens");
}

/// Guards against orders of a target's earlier incarnation that charge or credit its current one.
#[test]
fn memory_after_target_restart() {
    for honours_tokens in [&[false], &[true]] {
        let scope = Scope {
            honours_tokens,
            reports: 2,
            failovers: 0,
            target_restarts: 1,
            ..MEMORY
        };
        scope.check(&format!("target restart, honours {honours_tokens:?}"));
    }
}

/// Guards against orders recorded without the quorum that a successor does not learn of.
#[test]
fn memory_without_quorum() {
    QUORUM.check("no quorum");
}

/// Guards against a single candidate that overcommits a target after it lost its journal.
#[test]
fn memory_without_quorum_alone() {
    ALONE.check("no quorum, alone, target honours tokens");
    let ignoring = Scope {
        honours_tokens: &[false],
        ..ALONE
    };
    ignoring.check("no quorum, alone, target ignores tokens");
}

/// Guards against unloads that together remove the last ready copy.
#[test]
fn last_copy_is_kept() {
    let scope = Scope {
        honours_tokens: &[false, true],
        ready: &["a"],
        artifacts: &["a"],
        guarded: &["a"],
        reports: 2,
        ..MEMORY
    };
    scope.check("last copy");
}

fn find(scope: &Scope, mutations: &[Mutation]) {
    for mutation in mutations {
        let scope = Scope {
            mutation: *mutation,
            ..scope.clone()
        };
        scope.find();
    }
}

/// Guards against a search that cannot find an overcommitted target.
#[test]
fn planted_memory_faults_are_found() {
    let mutations = [
        Mutation::ForgetIntents,
        Mutation::UnloadIsDone,
        Mutation::SkipPositions,
    ];
    find(&MEMORY, &mutations);
}

/// Guards against a search that cannot find intents that are lost without the quorum.
#[test]
fn planted_quorum_faults_are_found() {
    let mutations = [Mutation::AnsweredIsComplete, Mutation::CleanBeforeResolved];
    find(&QUORUM, &mutations);
}

/// Guards against a search that cannot find what a single candidate must not do.
#[test]
fn planted_alone_faults_are_found() {
    find(&ALONE, &[Mutation::AloneIsComplete]);
    let ignoring = Scope {
        honours_tokens: &[false],
        ..ALONE
    };
    find(&ignoring, &[Mutation::AloneOrdersAll]);
}

/// Guards against a search that cannot find the loss of the last copy.
#[test]
fn planted_guard_fault_is_found() {
    let guarded = Scope {
        honours_tokens: &[false, true],
        ready: &["a"],
        artifacts: &["a"],
        guarded: &["a"],
        ..MEMORY
    };
    find(&guarded, &[Mutation::NoGuard]);
}
