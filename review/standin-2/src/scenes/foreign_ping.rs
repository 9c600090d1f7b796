//! An engine leaves after another writer has sent a ping in its name that lacks fields.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use super::{request, start};
use crate::{Stage, Verdict, http::call_core};

/// Bound of the rule, from the sheet of the installation.
const DRAIN_S: f64 = 2.0;

/// Time for which the engine goes on serving after its notice was acknowledged, which the pages allow.
const LINGER: Duration = Duration::from_secs(8);

pub fn play(stage: &Stage) -> Verdict {
    let (site, engines) = start(stage, 2, 3)?;
    let leaving = engines[0].clone();
    if stage.has_trouble {
        // A whole ping states the version and the time until the engine is warm, too. The other writer goes from instance to instance, as engines do.
        for control in site.controls() {
            let body = format!(
                r#"{{"service":"bestellkern","addr":"{}","zone":"muc-nord","slots":6,"state":"ready","seq":100000}}"#,
                leaving.address
            );
            let status = call_core(
                &control,
                "PUT",
                &format!("/instances/{}", leaving.id),
                &body,
            )
            .map_or(0, |answer| answer.status());
            stage
                .record
                .line(format!("another writer: PUT {body} at {control}: {status}"));
            thread::sleep(Duration::from_millis(300));
        }
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4)
        .map(|client| {
            let (stage, is_over) = (stage.clone(), Arc::clone(&is_over));
            let address = site.callers(client % 2);
            thread::spawn(move || {
                let mut sent = Vec::new();
                let mut number = 0;
                while !is_over.load(Ordering::SeqCst) {
                    let id = format!("c{client}-{number}");
                    sent.push((id.clone(), stage.record.now()));
                    request(&stage, &address, "POST", "/confirm/1", &id);
                    number += 1;
                    thread::sleep(Duration::from_millis(50));
                }
                sent
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let acknowledged = leaving.leave(&site.controls(), "PUT");
    let Some(acknowledged) = acknowledged else {
        is_over.store(true, Ordering::SeqCst);
        return Err("the notice was not acknowledged".to_owned());
    };
    thread::sleep(LINGER);
    is_over.store(true, Ordering::SeqCst);
    let mut late_sent = HashSet::new();
    for client in clients {
        let sent = client.join().map_err(|_| "a client failed")?;
        late_sent.extend(
            sent.into_iter()
                .filter(|(_, at)| *at > acknowledged + DRAIN_S)
                .map(|(id, _)| id),
        );
    }
    let runs = leaving.runs();
    let late = runs
        .iter()
        .filter(|(at, id)| *at > acknowledged + DRAIN_S && late_sent.contains(id))
        .count();
    stage.record.line(format!(
        "notice acknowledged at {acknowledged:.3}; {} requests run before, {late} requests sent and run later than {DRAIN_S} s after it",
        runs.iter().filter(|(at, _)| *at <= acknowledged).count()
    ));
    drop(site);
    Ok(late == 0)
}
