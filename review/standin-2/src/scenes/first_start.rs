//! One machine of the core is lost for good as the whole system starts for the first time, and is replaced.

use std::{thread, time::Duration};

use super::{DOCUMENT, request};
use crate::{Stage, Verdict, engine::Engine, http::call_core, site::Site};

/// Bounds of the rule, from the sheet of the installation.
const CONTACT_S: f64 = 3.0;
const ACK_S: f64 = 4.0;

/// When the machine is lost, after the last process has been started. The page lets all start within 0.3 s.
const LOSS: Duration = Duration::from_millis(150);

/// When its successor starts, as `replace_core` does at most.
const SUCCESSOR: Duration = Duration::from_secs(2);

/// Time for which the operator sends the first document.
const PATIENCE_S: f64 = 40.0;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let mut site = Site::launch(&stage.program, &stage.folder, 4, 2, record)
        .ok_or("the processes did not start")?;
    if stage.has_trouble {
        thread::sleep(LOSS);
        site.kill(1);
        thread::sleep(SUCCESSOR);
        site.replace_core(1).ok_or("the successor did not start")?;
    }
    let last_event = record.now();
    let engine = Engine::start("i-1", "bestellkern", 6, site.controls(), record);
    let mut acknowledged = None;
    let mut last_answer = String::new();
    while acknowledged.is_none() && record.now() < last_event + PATIENCE_S {
        for control in site.controls() {
            let answer = call_core(&control, "PUT", "/config", DOCUMENT);
            let text = answer.map_or_else(
                |error| error.to_string(),
                |answer| format!("{} {}", answer.status(), answer.text().trim()),
            );
            if text != last_answer {
                record.line(format!("operator: PUT /config at {control}: {text}"));
            }
            if text.starts_with("200") {
                acknowledged = Some(record.now());
                break;
            }
            last_answer = text;
        }
        thread::sleep(Duration::from_millis(500));
    }
    thread::sleep(Duration::from_secs(3));
    let statuses = (0..10).map(|number| {
        let answer = request(
            stage,
            &site.callers(number % 2),
            "POST",
            "/confirm/1",
            &format!("f-{number}"),
        );
        answer.map_or(0, |answer| answer.status())
    });
    let served = statuses.filter(|status| *status == 200).count();
    let running = (0..site.nodes.len())
        .filter(|number| !site.has_ended(*number))
        .count();
    record.line(format!(
        "core: 4 machines, one of them lost {} ms after the start; last event at {last_event:.3}; document acknowledged: {acknowledged:?}; {served} of 10 requests served; {} run at the engine; {running} processes run",
        LOSS.as_millis(),
        engine.runs().len()
    ));
    let is_late = acknowledged.is_none_or(|at| at > last_event + CONTACT_S + ACK_S);
    Ok(!is_late && served > 0)
}
