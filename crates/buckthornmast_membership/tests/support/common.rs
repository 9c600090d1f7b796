//! Network of tables in virtual time.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "tests")]

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use buckthornmast_membership::prelude::*;
use buckthornmast_membership::{core::Outgoing, message::Beat};
use buckthornmast_types::{id, time::Point};
use buckthornmast_wire::{datagram, key::Key};
use rand::{Rng, SeedableRng, rngs::SmallRng};

/// Bytes of the IPv4 and UDP headers of a datagram.
pub(crate) const HEADERS: u64 = 28;

const STEP: Duration = Duration::from_millis(10);

/// What the network does to datagrams.
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
    phase: u64,
    is_up: bool,
    /// Datagrams that arrived while the node was frozen.
    frozen: Option<Vec<Beat>>,
}

/// Datagrams and bytes of one instance.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Traffic {
    pub(crate) datagrams: u64,
    pub(crate) sent: u64,
    pub(crate) received: u64,
}

pub(crate) struct Net {
    pub(crate) now: Point,
    pub(crate) faults: Faults,
    pub(crate) progress: Vec<Progress>,
    pub(crate) traffic: Vec<Traffic>,
    /// Whether datagrams from one instance reach another one.
    pub(crate) passes: Box<dyn Fn(usize, usize) -> bool>,
    members: Vec<Member>,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Point, u64, usize)>>,
    content: std::collections::HashMap<u64, Beat>,
    serial: u64,
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

impl Net {
    pub(crate) fn new(count: usize, domains: usize, seed: u64) -> Self {
        let mut net = Self {
            now: Point::from_millis(60_000),
            faults: Faults::default(),
            progress: vec![Progress::default(); count],
            traffic: vec![Traffic::default(); count],
            passes: Box::new(|_, _| true),
            members: members(count, domains),
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            content: Default::default(),
            serial: 0,
            random: SmallRng::seed_from_u64(seed),
            key: Key::new([7; 32]),
        };
        for index in 0..count {
            let node = net.node(index, 1000);
            net.nodes.push(node);
        }
        net
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
        for beat in node.frozen.take().unwrap().into_iter().take(30) {
            node.table.receive(now, beat);
        }
        // Like the driver, the node sends before anybody looks at its view.
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

    fn deliver_at(&mut self, at: Point, to: usize, beat: Beat) {
        self.serial += 1;
        self.queue.push(Reverse((at, self.serial, to)));
        self.content.insert(self.serial, beat);
    }

    fn send(&mut self, from: usize, outgoing: Outgoing) {
        let len = datagram::encode(&self.key, &outgoing.beat).unwrap().len() as u64;
        for to in outgoing.to {
            let traffic = &mut self.traffic[from];
            traffic.datagrams += 1;
            traffic.sent += len + HEADERS;
            self.traffic[to].received += len + HEADERS;
            if !(self.passes)(from, to) || self.random.random_bool(self.faults.loss) {
                continue;
            }
            let jitter = self.random.random_range(0..=self.faults.jitter_millis);
            let at = self.now + Duration::from_millis(1 + jitter);
            self.deliver_at(at, to, outgoing.beat.clone());
            if self.random.random_bool(self.faults.duplicates) {
                let late = Duration::from_millis(self.random.random_range(0..5000));
                self.deliver_at(at + late, to, outgoing.beat.clone());
            }
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        while let Some(Reverse((at, serial, to))) = self.queue.peek().copied() {
            if at > self.now {
                break;
            }
            self.queue.pop();
            let beat = self.content.remove(&serial).unwrap();
            let node = &mut self.nodes[to];
            match &mut node.frozen {
                Some(queue) => queue.push(beat),
                None if node.is_up => {
                    node.table.receive(at, beat);
                }
                None => {}
            }
        }
        let turn = self.now.0 / 10_000 % 20;
        for index in 0..self.nodes.len() {
            if self.nodes[index].phase == turn && self.is_running(index) {
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

    /// Runs and calls `check` every 50 ms.
    pub(crate) fn watch(&mut self, millis: u64, mut check: impl FnMut(&Self)) {
        for _ in 0..millis / 50 {
            self.run(50);
            check(self);
        }
    }

    /// Returns the pairs of running instances of which one does not see the other as alive.
    pub(crate) fn doubts(&self) -> Vec<(usize, usize, State)> {
        let mut doubts = Vec::new();
        for at in 0..self.nodes.len() {
            if !self.is_running(at) {
                continue;
            }
            let view = self.nodes[at].table.view(self.now);
            for (of, peer) in view.peers.iter().enumerate() {
                if self.is_running(of) && peer.state != State::Alive {
                    doubts.push((at, of, peer.state));
                }
            }
        }
        doubts
    }
}
