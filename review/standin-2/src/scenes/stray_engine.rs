//! An engine of another deployment, whose service is not named here, pings this core while the whole system starts.

use std::{thread, time::Duration};

use super::{DOCUMENT, request};
use crate::{Stage, Verdict, engine::Engine, http::call_core, names::name, site::Site};

/// Interval of pings.
const PERIOD: Duration = Duration::from_millis(1200);

/// Requests that are sent to each entry instance.
const REQUESTS: usize = 10;

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let mut site = Site::start(&stage.program, &stage.folder, 4, 2, record)
        .ok_or("the processes did not start")?;
    if stage.has_trouble {
        let (controls, record) = (site.controls(), record.clone());
        thread::spawn(move || {
            let cold = name("cold");
            for sequence in 1..8_u64 {
                // The address has no listener.
                let body = format!(
                    r#"{{"service":"fremdhalle","addr":"127.0.0.1:9","zone":"muc-nord","version":"v1","slots":6,"state":"ready","{cold}":0,"born":1796545000000,"seq":{sequence}}}"#
                );
                let control = &controls[sequence as usize % controls.len()];
                let answer = call_core(control, "PUT", "/instances/i-fremd", &body);
                record.line(format!(
                    "engine of another deployment: PUT {body} at {control}: {}",
                    answer.map_or(0, |answer| answer.status())
                ));
                thread::sleep(PERIOD);
            }
        });
    }
    // The engines of this deployment start a second after the core.
    thread::sleep(Duration::from_secs(1));
    let engines: Vec<Engine> = (1..=3)
        .map(|number| {
            Engine::start(
                &format!("i-{number}"),
                "bestellkern",
                6,
                site.controls(),
                record,
            )
        })
        .collect();
    // They ping before the operator sends the first document.
    thread::sleep(Duration::from_secs(3));
    site.publish(DOCUMENT)
        .ok_or("the routes were not acknowledged")?;
    thread::sleep(Duration::from_secs(10));
    let mut served = 0;
    for number in 0..2 * REQUESTS {
        let answer = request(
            stage,
            &site.callers(number % 2),
            "POST",
            "/confirm/1",
            &format!("r-{number}"),
        );
        served += usize::from(answer.is_some_and(|answer| answer.status() == 200));
    }
    for engine in &engines {
        record.line(format!(
            "{}: pings acknowledged {}, requests run {}",
            engine.id,
            engine.acknowledged(),
            engine.runs().len()
        ));
    }
    let running = (0..site.nodes.len())
        .filter(|number| !site.has_ended(*number))
        .count();
    record.line(format!(
        "{served} of {} requests served; {running} processes run",
        2 * REQUESTS
    ));
    Ok(served > 0)
}
