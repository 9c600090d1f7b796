//! The cases.

mod brittle;
mod first_start;
mod foreign_ping;
mod stray_engine;
mod unframed;

use std::{thread, time::Duration};

use crate::{
    Stage, Verdict,
    engine::Engine,
    http::{Client, Message},
    names::name,
    site::Site,
};

pub fn play(scene: &str, stage: &Stage) -> Verdict {
    match scene {
        "first_start" => first_start::play(stage),
        "foreign_ping" => foreign_ping::play(stage),
        "stray_engine" => stray_engine::play(stage),
        "unframed" => unframed::play(stage),
        "brittle" => brittle::play(stage),
        _ => Err(format!("no case {scene}")),
    }
}

/// Routes of one plain service.
pub const DOCUMENT: &str = include_str!("../document.json");

/// Starts a deployment with engines, and waits until all entry instances are ready and know the engines.
pub fn start(stage: &Stage, entries: usize, engines: usize) -> Result<(Site, Vec<Engine>), String> {
    let site = Site::start(&stage.program, &stage.folder, 4, entries, &stage.record)
        .ok_or("the processes did not start")?;
    site.publish(DOCUMENT)
        .ok_or("the routes were not acknowledged")?;
    let engines: Vec<Engine> = (1..=engines)
        .map(|number| {
            Engine::start(
                &format!("i-{number}"),
                "bestellkern",
                6,
                site.controls(),
                &stage.record,
            )
        })
        .collect();
    let is_ready = site.wait(15, |site| {
        (0..entries).all(|entry| site.is_ready(entry)).then_some(())
    });
    is_ready.ok_or("the entry instances are not ready")?;
    thread::sleep(Duration::from_millis(3000));
    Ok((site, engines))
}

/// Returns the head of a request of a route.
pub fn head(method: &str, path: &str, id: &str, left_ms: u32) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: {left_ms}",
        name("id"),
        name("left")
    )
}

/// Sends a request on a channel of its own, as a client that waits for three seconds.
pub fn request(
    stage: &Stage,
    address: &str,
    method: &str,
    path: &str,
    id: &str,
) -> Option<Message> {
    let answer = Client::connect(address, Duration::from_millis(4000)).and_then(|mut client| {
        client.call(
            &head(method, path, id, 3000),
            if method == "POST" {
                b"{\"tub\":7}"
            } else {
                b""
            },
        )
    });
    match &answer {
        Ok(answer) => stage.record.line(format!(
            "{id} at {address}: {} complete {}",
            answer.status(),
            answer.is_complete
        )),
        Err(error) => stage
            .record
            .line(format!("{id} at {address}: no answer, {error}")),
    }
    answer.ok()
}
