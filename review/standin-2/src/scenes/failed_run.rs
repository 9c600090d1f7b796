//! One of four engines fails part of its requests after it has run them.

use std::collections::HashSet;

use super::{request, start};
use crate::{Stage, Verdict, engine::Reply};

/// Orders that the clients send.
const ORDERS: usize = 80;

pub fn play(stage: &Stage) -> Verdict {
    let (site, engines) = start(stage, 2, 4)?;
    if stage.has_trouble {
        // Fewer than the 0.45 that the site allows one engine in seven, rounded up to one.
        engines[0].set_reply(Reply::FailEach(3));
    }
    let mut untrue = 0;
    let mut answered = Vec::new();
    for order in 0..ORDERS {
        // A client sends an order once more after a promise that it has not run, with an id of its own and at another instance.
        for attempt in 0..2 {
            let id = format!("order-{order}-{attempt}");
            let answer = request(
                stage,
                &site.callers((order + attempt) % 2),
                "POST",
                "/confirm/1",
                &id,
            );
            let status = answer.map_or(0, |answer| answer.status());
            answered.push((id, status));
            if !matches!(status, 408 | 421 | 429 | 503) {
                break;
            }
        }
    }
    let runs: HashSet<String> = engines
        .iter()
        .flat_map(|engine| engine.runs())
        .map(|(_, id)| id)
        .collect();
    for (id, status) in &answered {
        if matches!(status, 408 | 421 | 429 | 503) && runs.contains(id) {
            untrue += 1;
            stage.record.line(format!(
                "{id} was answered {status}, and an engine has run it"
            ));
        }
    }
    let twice = (0..ORDERS)
        .filter(|order| (0..2).all(|attempt| runs.contains(&format!("order-{order}-{attempt}"))))
        .count();
    stage.record.line(format!(
        "{untrue} of {} requests that may run once were answered with a promise that they have not run, and had run; {twice} of {ORDERS} orders were run twice by it",
        answered.len()
    ));
    Ok(untrue == 0)
}
