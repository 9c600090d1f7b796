//! A machine of the core is lost for good in the first second of a new deployment, and an empty one takes its place.

use std::{
    path::Path,
    thread::sleep,
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    lab::{Lab, Record, Role, config, route},
};

/// Time after the start at which the machine is lost.
const LOST_AT: Duration = Duration::from_millis(200);

/// Pause until the empty machine starts.
const REPLACED_AFTER: Duration = Duration::from_secs(1);

/// Time after which the operator gives up.
const GIVE_UP: Duration = Duration::from_secs(45);

pub fn run(root: &Path, record: &Record, has_trouble: bool) -> Result<Verdict, Box<dyn std::error::Error>> {
    let document = config(&[route("r", "idempotent", 1500, false)]);
    let mut lab = Lab::new(root)?;
    let zones = ["z1", "z2", "z3", "z4"];
    let cores: Vec<usize> = zones.iter().map(|zone| lab.add(Role::Core, zone, true)).collect();
    lab.set_seeds(&cores[..3]);
    let started = Instant::now();
    for core in &cores {
        lab.start(*core)?;
    }
    record.line("all four machines of the core are started");
    if has_trouble {
        sleep(LOST_AT.saturating_sub(started.elapsed()));
        lab.nodes[cores[2]].kill();
        record.line(&format!("{} is lost for good", lab.nodes[cores[2]].name));
        sleep(REPLACED_AFTER);
        let empty = lab.add(Role::Core, zones[2], false);
        lab.set_seeds(&[cores[0], cores[1], empty]);
        lab.start(empty)?;
        record.line(&format!(
            "{} takes its place, with an empty disk",
            lab.nodes[empty].name
        ));
    }
    let mut acknowledged = None;
    let mut last = String::new();
    'calls: while started.elapsed() < GIVE_UP {
        for control in lab.controls() {
            let answer = http::call(&control, "PUT", "/config", &document);
            let text = match &answer {
                Ok(answer) => format!(
                    "{} {}",
                    answer.status,
                    String::from_utf8_lossy(&answer.body).trim()
                ),
                Err(error) => error.to_string(),
            };
            if text != last {
                record.line(&format!("PUT /config at {control}: {text}"));
                last = text;
            }
            if answer.is_ok_and(|answer| answer.status == 200) {
                acknowledged = Some(started.elapsed());
                break 'calls;
            }
        }
        sleep(Duration::from_millis(200));
    }
    let read = lab.controls().into_iter().find_map(|control| {
        let answer = http::call(&control, "GET", "/config", "").ok()?;
        record.line(&format!("GET /config at {control}: {}", answer.status));
        (answer.status == 200).then_some(answer.body)
    });
    for node in &mut lab.nodes {
        if node.has_ended() {
            return Err(format!("{} has ended by itself", node.name).into());
        }
    }
    match (acknowledged, read) {
        (Some(after), Some(body)) if body == document.as_bytes() => {
            record.say(&format!(
                "held: the first config was acknowledged after {:.1} s and is read back",
                after.as_secs_f64()
            ));
            Ok(Verdict::Held)
        }
        (acknowledged, read) => {
            record.say(&format!(
                "broken: {} s after the start the config is acknowledged: {}, read back: {}",
                started.elapsed().as_secs(),
                acknowledged.is_some(),
                read.is_some()
            ));
            Ok(Verdict::Broken)
        }
    }
}
