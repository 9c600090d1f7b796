//! Engines say that they are brittle, and fall over if they have to turn too many requests away.

use std::{thread, time::Duration};

use super::{request, start};
use crate::{Stage, Verdict, engine::Engine};

const ENTRIES: usize = 6;
const ENGINES: usize = 4;

/// Refusals in a second that an engine bears.
const BORNE: usize = 3;

/// Requests that each entry instance gets at once, each second.
const WAVE: usize = 7;

/// Seconds for which the engines of the service are brittle.
const BRITTLE_S: f64 = 30.0;

/// Time after which an engine that fell over is back.
const BACK: Duration = Duration::from_secs(3);

pub fn play(stage: &Stage) -> Verdict {
    let record = &stage.record;
    let (site, engines) = start(stage, ENTRIES, ENGINES)?;
    let wave = |number: usize| {
        for entry in 0..ENTRIES {
            for call in 0..WAVE {
                let (stage, address) = (stage.clone(), site.callers(entry));
                let id = format!("w{number}-{entry}-{call}");
                thread::spawn(move || request(&stage, &address, "POST", "/confirm/1", &id));
            }
        }
        thread::sleep(Duration::from_secs(1));
    };
    // All entry instances know all engines from now on.
    (0..3).for_each(&wave);
    let began = record.now();
    let mut alive: Vec<Engine> = engines;
    let mut falls = Vec::new();
    if stage.has_trouble {
        for engine in &alive {
            engine.state.lock().unwrap().brittle = Some((began, BORNE));
        }
        record.line(format!(
            "all engines say that they are brittle and bear {BORNE} refusals a second"
        ));
    }
    let mut number = 3;
    let mut back_at: Vec<(f64, Engine)> = Vec::new();
    while record.now() < began + BRITTLE_S {
        wave(number);
        number += 1;
        let now = record.now();
        let (fallen, standing): (Vec<Engine>, Vec<Engine>) =
            alive.into_iter().partition(Engine::is_gone);
        alive = standing;
        for engine in fallen {
            falls.push(engine.id.clone());
            back_at.push((now + BACK.as_secs_f64(), engine));
        }
        let (due, later): (Vec<_>, Vec<_>) = back_at.into_iter().partition(|(at, _)| *at <= now);
        back_at = later;
        for (_, engine) in due {
            let Some(engine) = engine.restart(&format!("{}b", engine.id), site.controls()) else {
                return Err("an engine did not come back".to_owned());
            };
            let mut state = engine.state.lock().unwrap();
            state.brittle = Some((began, BORNE));
            drop(state);
            alive.push(engine);
        }
    }
    thread::sleep(Duration::from_secs(4));
    record.line(format!(
        "{} falls of {ENGINES} engines in one brittle time of {BRITTLE_S} s: {falls:?}",
        falls.len()
    ));
    Ok(falls.len() as f64 <= 2.0 + ENGINES as f64 / 10.0)
}
