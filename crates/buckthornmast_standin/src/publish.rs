//! Publication of cache events to the instances, late and with losses as told by the flags.

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

/// Time between two looks for events.
const PERIOD: Duration = Duration::from_millis(100);

/// Instances that get each event, so that one of them may fail unnoticed.
const RECEIVERS: usize = 2;

/// What is published where.
#[derive(Debug, Clone)]
pub struct Config {
    /// Engine.
    pub target: id::Target,
    /// Start of the engine.
    pub incarnation: id::Incarnation,
    /// Instances; the first ones that answer get the events.
    pub instances: Vec<SocketAddr>,
    /// Share of events that get lost.
    pub lost: f64,
    /// Seed of the losses.
    pub seed: u64,
}

/// Thread that publishes.
#[derive(Debug)]
pub struct Publisher {
    stop: Option<Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl Publisher {
    /// Joins the thread.
    pub fn stop(&mut self) {
        self.stop = None;
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Starts to publish the events that `take` returns, at most as many as it is asked for.
pub fn start<F>(config: Config, take: F) -> std::io::Result<Publisher>
where
    F: Fn(usize) -> Vec<Event> + Send + 'static,
{
    let (stop, stopped) = flume::bounded(0);
    let thread = thread::Builder::new()
        .name("cache-events".to_owned())
        .spawn(move || run(&config, &stopped, &take))?;
    Ok(Publisher {
        stop: Some(stop),
        thread: Some(thread),
    })
}

fn run(config: &Config, stopped: &Receiver<()>, take: &impl Fn(usize) -> Vec<Event>) {
    let mut rng = SmallRng::seed_from_u64(config.seed);
    while stopped.recv_timeout(PERIOD) == Err(RecvTimeoutError::Timeout) {
        loop {
            let mut events = take(MAX_EVENTS);
            let is_last = events.len() < MAX_EVENTS;
            events.retain(|_| !rng.random_bool(config.lost.clamp(0.0, 1.0)));
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
    let mut reached = 0;
    for instance in &config.instances {
        if reached < RECEIVERS && send(*instance, body.as_bytes(), reached > 0) {
            reached += 1;
        }
    }
}

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
