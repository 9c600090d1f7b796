//! Sizes of the messages about crashes and quarantines.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::time::Duration;

use buckthornmast_node::message::{Downstream, Upstream};
use buckthornmast_quarantine::prelude::*;
use buckthornmast_types::id;

/// Largest encoded part: a variable-length number.
const MAX_PART_BYTES: usize = 10;

fn parts(count: u64) -> Set {
    let service = "engines".parse().unwrap();
    (0..count).map(|id| Part::new(&service, id)).collect()
}

/// Guards against messages about crashes that outgrow what the documentation states.
#[test]
fn encode_bounded() {
    for count in [1, 2, 4, 8] {
        let parts = parts(count);
        let part_bytes = MAX_PART_BYTES * parts.len();
        let evidence = Evidence {
            crash: Crash {
                target: "i-7f3a91c2".parse().unwrap(),
                incarnation: id::Incarnation(u64::MAX),
            },
            parts: parts.clone(),
            is_stale: false,
        };
        let crash = postcard::to_stdvec(&Upstream::Crash(evidence)).unwrap();
        let progress = postcard::to_stdvec(&Downstream::Progress(parts.clone())).unwrap();
        let trial = postcard::to_stdvec(&Downstream::Trial(parts.clone())).unwrap();
        let notice = Notice {
            parts,
            is_stale: false,
            age: Duration::new(20 * 86400, 999_999_999),
            idle: Duration::new(2 * 3600, 999_999_999),
            remaining: Duration::new(3600, 999_999_999),
            length: Duration::new(3600, 999_999_999),
        };
        let one = postcard::to_stdvec(&Downstream::Quarantines(vec![notice.clone()])).unwrap();
        let all = postcard::to_stdvec(&Downstream::Quarantines(vec![notice; 64])).unwrap();
        let sizes = [&crash, &progress, &trial, &one, &all].map(Vec::len);
        println!(
            "{count} parts: crash, progress, trial, quarantine, 64 quarantines: {sizes:?} bytes"
        );
        assert!(crash.len() <= 24 + part_bytes, "{}", crash.len());
        assert!(progress.len() <= 2 + part_bytes, "{}", progress.len());
        assert!(trial.len() <= 2 + part_bytes, "{}", trial.len());
        assert!(one.len() <= 2 + 31 + part_bytes, "{}", one.len());
        assert!(all.len() <= 2 + 64 * (31 + part_bytes), "{}", all.len());
    }
}
