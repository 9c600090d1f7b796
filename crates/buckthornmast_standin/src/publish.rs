//! Publication of cache events to the instances, with configurable losses. The source of the events delays them.

use std::{
    net::SocketAddr,
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_http::client;
use buckthornmast_target::cache::{self, MAX_EVENTS};
use buckthornmast_types::{
    cache::{Batch, Event},
    id,
};
use flume::{Receiver, RecvTimeoutError, Sender};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Time between two polls for events.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of instances that receive each event. The second one covers an unnoticed failure of the first.
const MAX_RECEIVERS: usize = 2;

/// Configuration of the publication.
#[derive(Debug, Clone)]
pub struct Config {
    /// Engine.
    pub target: id::Target,
    /// Incarnation of the engine.
    pub incarnation: id::Incarnation,
    /// Instances, of which the first that answer receive the events.
    pub instances: Vec<SocketAddr>,
    /// Share of events that are lost, from 0 to 1.
    pub loss_ratio: f64,
    /// Seed of the losses.
    pub seed: u64,
}

/// Thread that publishes cache events.
#[derive(Debug)]
pub struct Publisher {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Publisher {
    /// Stops and joins the thread.
    pub fn stop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts to publish the events that `take_events` returns. Its argument is the maximum number of events.
pub fn start<F>(config: Config, take_events: F) -> std::io::Result<Publisher>
where
    F: Fn(usize) -> Vec<Event> + Send + 'static,
{
    let (stop, stopped) = flume::bounded(0);
    let thread = thread::Builder::new()
        .name("cache-events".to_owned())
        .spawn(move || run(&config, &stopped, &take_events))?;
    Ok(Publisher {
        stop: Some(stop),
        thread: Some(thread),
    })
}

fn run(config: &Config, stopped: &Receiver<()>, take_events: &impl Fn(usize) -> Vec<Event>) {
    let mut rng = SmallRng::seed_from_u64(config.seed);
    while stopped.recv_timeout(POLL_INTERVAL) == Err(RecvTimeoutError::Timeout) {
        loop {
            let mut events = take_events(MAX_EVENTS);
            let is_last = events.len() < MAX_EVENTS;
            events.retain(|_| !rng.random_bool(config.loss_ratio.clamp(0.0, 1.0)));
            if !events.is_empty() {
                publish(config, events);
            }
            if is_last {
                break;
            }
        }
    }
}

fn publish(config: &Config, events: Vec<Event>) {
    let body = cache::write(&Batch {
        target: config.target.clone(),
        incarnation: config.incarnation,
        events,
    });
    let mut receivers = 0;
    for instance in &config.instances {
        if receivers < MAX_RECEIVERS && send(*instance, body.as_bytes(), receivers > 0) {
            receivers += 1;
        }
    }
}

/// Returns whether the instance accepted the events.
fn send(instance: SocketAddr, body: &[u8], is_backup: bool) -> bool {
    let query = if is_backup { "?backup=yes" } else { "" };
    let request = client::Request {
        method: "POST",
        target: &format!("{}{query}", cache::EVENTS_PATH),
        headers: &[("Content-Type", "application/json")],
        body,
    };
    let timeouts = client::Timeouts::all(Duration::from_millis(500));
    client::send(instance, &request, &timeouts).is_ok_and(|response| response.status == 200)
}
