//! Simulated network of membership tables in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use buckthornmast_membership::prelude::*;
use buckthornmast_membership::{core::Outgoing, message::Heartbeat};
use buckthornmast_types::{id, time::Point};
use buckthornmast_wire::{datagram, key::Key};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Bytes of the IPv4 and UDP headers of a datagram.
pub(crate) const HEADER_BYTES: u64 = 28;

const STEP: Duration = Duration::from_millis(10);

/// Faults that the network injects into the delivery of datagrams.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Faults {
    /// Share of lost datagrams.
    pub(crate) loss: f64,
    /// Share of datagrams that arrive twice, the second time up to 5 s late.
    pub(crate) duplicates: f64,
    /// Largest additional delay, which reorders datagrams.
    pub(crate) jitter_millis: u64,
}

struct Node {
    table: Table,
    /// Step of the heartbeat interval in which the instance sends.
    phase: u64,
    is_up: bool,
    /// Datagrams that arrived while the instance was frozen.
    frozen: Option<Vec<Heartbeat>>,
}

/// Datagrams sent, and bytes sent and received, of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Traffic {
    pub(crate) datagrams: u64,
    pub(crate) sent_bytes: u64,
    pub(crate) received_bytes: u64,
}

pub(crate) struct Network {
    pub(crate) now: Point,
    pub(crate) faults: Faults,
    pub(crate) progress: Vec<Progress>,
    pub(crate) traffic: Vec<Traffic>,
    /// Whether datagrams from one instance reach another one.
    pub(crate) passes: Box<dyn Fn(usize, usize) -> bool>,
    members: Vec<Member>,
    nodes: Vec<Node>,
    /// Arrival time, serial number and receiver of each datagram on its way.
    in_flight: BinaryHeap<Reverse<(Point, u64, usize)>>,
    /// Content of the datagrams on their way, by serial number.
    content: std::collections::HashMap<u64, Heartbeat>,
    last_serial: u64,
    random: SmallRng,
    key: Key,
}

pub(crate) fn members(count: usize, domains: usize) -> Vec<Member> {
    let member = |index: usize| Member {
        instance: format!("node-{index:03}").parse().unwrap(),
        domain: format!("zone-{}", index % domains).parse().unwrap(),
        address: "127.0.0.1:9".parse().unwrap(),
    };
    (0..count).map(member).collect()
}

impl Network {
    pub(crate) fn new(count: usize, domains: usize, seed: u64) -> Self {
        let mut network = Self {
            now: Point::from_millis(60_000),
            faults: Faults::default(),
            progress: vec![Progress::default(); count],
            traffic: vec![Traffic::default(); count],
            passes: Box::new(|_, _| true),
            members: members(count, domains),
            nodes: Vec::new(),
            in_flight: BinaryHeap::new(),
            content: Default::default(),
            last_serial: 0,
            random: SmallRng::seed_from_u64(seed),
            key: Key::new([7; 32]),
        };
        for index in 0..count {
            let node = network.node(index, 1000);
            network.nodes.push(node);
        }
        network
    }

    fn node(&mut self, index: usize, incarnation: u64) -> Node {
        let (me, timing) = (&self.members[index].instance, Timing::default());
        let incarnation = id::Incarnation(incarnation);
        let table = Table::new(me, self.members.clone(), incarnation, timing, self.now);
        Node {
            table: table.unwrap(),
            phase: self.random.random_range(0..20),
            is_up: true,
            frozen: None,
        }
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].is_up = false;
    }

    pub(crate) fn restart(&mut self, index: usize, incarnation: u64) {
        self.nodes[index] = self.node(index, incarnation);
    }

    pub(crate) fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = Some(Vec::new());
    }

    pub(crate) fn thaw(&mut self, index: usize) {
        let (now, progress) = (self.now, self.progress[index]);
        let node = &mut self.nodes[index];
        // Like a full socket buffer, the queue keeps the oldest datagrams.
        for heartbeat in node.frozen.take().unwrap().into_iter().take(30) {
            node.table.receive(now, heartbeat);
        }
        // Like the driver, the instance sends before its view is read.
        for outgoing in node.table.tick(now, progress) {
            self.send(index, outgoing);
        }
    }

    pub(crate) fn is_running(&self, index: usize) -> bool {
        self.nodes[index].is_up && self.nodes[index].frozen.is_none()
    }

    pub(crate) fn state(&self, at: usize, of: usize) -> State {
        self.peer(at, of).state
    }

    pub(crate) fn peer(&self, at: usize, of: usize) -> Peer {
        let view = self.nodes[at].table.view(self.now);
        view.get(&self.members[of].instance).unwrap().clone()
    }

    fn deliver_at(&mut self, at: Point, to: usize, heartbeat: Heartbeat) {
        self.last_serial += 1;
        self.in_flight.push(Reverse((at, self.last_serial, to)));
        self.content.insert(self.last_serial, heartbeat);
    }

    fn send(&mut self, from: usize, outgoing: Outgoing) {
        let len = datagram::encode(&self.key, &outgoing.heartbeat)
            .unwrap()
            .len() as u64;
        for to in outgoing.to {
            let traffic = &mut self.traffic[from];
            traffic.datagrams += 1;
            traffic.sent_bytes += len + HEADER_BYTES;
            self.traffic[to].received_bytes += len + HEADER_BYTES;
            if !(self.passes)(from, to) || self.random.random_bool(self.faults.loss) {
                continue;
            }
            let jitter = self.random.random_range(0..=self.faults.jitter_millis);
            let at = self.now + Duration::from_millis(1 + jitter);
            self.deliver_at(at, to, outgoing.heartbeat.clone());
            if self.random.random_bool(self.faults.duplicates) {
                let late = Duration::from_millis(self.random.random_range(0..5000));
                self.deliver_at(at + late, to, outgoing.heartbeat.clone());
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(Reverse((at, serial, to))) = self.in_flight.peek().copied() {
            if at > self.now {
                break;
            }
            self.in_flight.pop();
            let heartbeat = self.content.remove(&serial).unwrap();
            let node = &mut self.nodes[to];
            match &mut node.frozen {
                Some(queue) => queue.push(heartbeat),
                None if node.is_up => {
                    node.table.receive(at, heartbeat);
                }
                None => {}
            }
        }
        let phase = self.now.0 / 10_000 % 20;
        for index in 0..self.nodes.len() {
            if self.nodes[index].phase == phase && self.is_running(index) {
                let progress = self.progress[index];
                for outgoing in self.nodes[index].table.tick(self.now, progress) {
                    self.send(index, outgoing);
                }
            }
        }
    }

    pub(crate) fn run(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.step();
        }
    }

    /// Runs the network and calls `check` every 50 ms.
    pub(crate) fn watch(&mut self, millis: u64, mut check: impl FnMut(&Self)) {
        for _ in 0..millis / 50 {
            self.run(50);
            check(self);
        }
    }

    /// Returns the pairs of running instances of which the first doesn't consider the second alive.
    pub(crate) fn suspicions(&self) -> Vec<(usize, usize, State)> {
        let mut suspicions = Vec::new();
        for at in 0..self.nodes.len() {
            if !self.is_running(at) {
                continue;
            }
            let view = self.nodes[at].table.view(self.now);
            for (of, peer) in view.peers.iter().enumerate() {
                if self.is_running(of) && peer.state != State::Alive {
                    suspicions.push((at, of, peer.state));
                }
            }
        }
        suspicions
    }
}
