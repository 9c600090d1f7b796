//! How an entry instance asks the leader for models and adapters, and reports demand.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use buckthornmast_forward::supply::{self, Prompt, Spent, Supply, Want, Wanted};
use buckthornmast_link::Outbox;
use buckthornmast_supply::{
    demand::{Item, Row},
    turns::{Ask, Turn},
};
use buckthornmast_types::id;
use tokio::{
    sync::{Notify, oneshot},
    time::{Instant, timeout, timeout_at},
};

use crate::message::{Granted, Up};

/// Time for the answer of the leader.
const ANSWER: Duration = Duration::from_millis(1000);

/// Pause between two reports that the same target is down.
const DOWN_PAUSE: Duration = Duration::from_millis(500);

/// Time for the first answer to the question for a turn, some times the way to the leader and back.
const TURN_ANSWER: Duration = Duration::from_millis(40);

/// Time for which a leader that did not answer in time is not asked for turns.
const TURN_REST: Duration = Duration::from_millis(500);

/// Time for a leader to appear, if none is known.
const LEADER: Duration = Duration::from_millis(400);

struct Core {
    outbox: Outbox<Up>,
    leads: Option<id::Term>,
}

/// Connections to the core, as far as models are concerned.
#[derive(Default)]
pub struct Supplier {
    cores: RefCell<HashMap<SocketAddr, Core>>,
    open: RefCell<HashMap<u64, oneshot::Sender<Granted>>>,
    next: Cell<u64>,
    rows: RefCell<HashMap<Item, Row>>,
    turns: RefCell<HashMap<u64, flume::Sender<Turn>>>,
    // When targets were last reported to be down.
    down: RefCell<HashMap<id::Target, Instant>>,
    // Until when no turns are asked for.
    resting: Cell<Option<Instant>>,
    changed: Notify,
}

/// Question for a turn. Dropped without an answer, it tells the leader that nobody waits any more.
struct Question<'a> {
    supplier: &'a Supplier,
    leader: Outbox<Up>,
    number: u64,
    is_answered: bool,
}

impl Drop for Question<'_> {
    fn drop(&mut self) {
        self.supplier.turns.borrow_mut().remove(&self.number);
        if !self.is_answered {
            // A leader that can't be reached forgets its questions with the connection.
            let _ = self.leader.send(Up::Leave {
                number: self.number,
            });
        }
    }
}

fn item_of(want: &Want) -> Item {
    Item {
        service: want.service.clone(),
        model: want.model.clone(),
        adapter: want.adapter.clone(),
    }
}

impl Supplier {
    /// Notes a connection.
    pub fn opened(&self, peer: SocketAddr, outbox: Outbox<Up>) {
        let core = Core {
            outbox,
            leads: None,
        };
        self.cores.borrow_mut().insert(peer, core);
    }

    /// Notes the end of a connection.
    pub fn closed(&self, peer: SocketAddr) {
        if self.is_leader(peer) {
            self.forget_turns();
        }
        self.cores.borrow_mut().remove(&peer);
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.cores.borrow().len()
    }

    /// Notes whether an instance leads.
    pub fn set_leads(&self, peer: SocketAddr, leads: Option<id::Term>) {
        self.forget_turns();
        if let Some(core) = self.cores.borrow_mut().get_mut(&peer) {
            core.leads = leads;
        }
        self.changed.notify_waiters();
    }

    /// Returns whether an instance leads, as far as is known: the one with the highest term.
    pub fn is_leader(&self, peer: SocketAddr) -> bool {
        let cores = self.cores.borrow();
        let highest = cores.values().filter_map(|core| core.leads).max();
        let leads = cores.get(&peer).and_then(|core| core.leads);
        leads.is_some() && leads == highest
    }

    /// Takes an answer of the leader.
    pub fn granted(&self, number: u64, granted: Granted) {
        if let Some(answer) = self.open.borrow_mut().remove(&number) {
            // Whoever asked may have given up.
            let _ = answer.send(granted);
        }
    }

    fn leader(&self) -> Option<Outbox<Up>> {
        let cores = self.cores.borrow();
        let leaders = cores.values().filter(|core| core.leads.is_some());
        let leader = leaders.max_by_key(|core| core.leads)?;
        Some(leader.outbox.clone())
    }

    /// Reports the demand since the last report.
    pub fn report(&self) {
        let Some(leader) = self.leader() else {
            return;
        };
        let rows: Vec<Row> = self.rows.borrow_mut().drain().map(|(_, row)| row).collect();
        if !rows.is_empty() {
            // Demand that is lost shows in the next report.
            let _ = leader.send(Up::Demand(rows));
        }
    }

    fn change_row(&self, item: Item, change: impl FnOnce(&mut Row)) {
        let mut rows = self.rows.borrow_mut();
        let row = rows.entry(item.clone()).or_insert_with(|| Row {
            item,
            requests: 0,
            ended: 0,
            slot_time: Duration::ZERO,
            events: 0,
            event_time: Duration::ZERO,
        });
        change(row);
    }

    /// Tells the leader that a target is down, unless it has just been told.
    fn report_down(&self, target: &id::Target, born: id::Incarnation) {
        let now = Instant::now();
        let mut down = self.down.borrow_mut();
        down.retain(|_, at| now.duration_since(*at) < DOWN_PAUSE);
        let Some(leader) = self.leader().filter(|_| !down.contains_key(target)) else {
            return;
        };
        down.insert(target.clone(), now);
        let target = target.clone();
        // A leader that can't be reached notices the target's silence later.
        let _ = leader.send(Up::Down { target, born });
    }

    /// Takes an answer to the question for a turn.
    pub fn given(&self, number: u64, turn: Turn) {
        if let Some(answers) = self.turns.borrow().get(&number) {
            // Whoever asked may have given up.
            let _ = answers.send(turn);
        }
    }

    async fn ask_turn(&self, prompt: Prompt) -> supply::Turn {
        let resting = self.resting.get();
        let is_resting = resting.is_some_and(|until| Instant::now() < until);
        let Some(leader) = self.leader().filter(|_| !is_resting) else {
            return supply::Turn::Unknown;
        };
        let number = self.next.get();
        self.next.set(number + 1);
        let ask = Ask {
            item: item_of(&prompt.want),
            prompt: prompt.tokens,
            prefix: prompt.prefix,
            objective: prompt.objective,
            patience: prompt.patience,
            avoid: prompt.avoid,
        };
        let (sender, answers) = flume::unbounded();
        self.turns.borrow_mut().insert(number, sender);
        let mut question = Question {
            supplier: self,
            leader: leader.clone(),
            number,
            is_answered: false,
        };
        if !leader.send(Up::Turn { number, ask }) {
            return supply::Turn::Unknown;
        }
        let mut wait = TURN_ANSWER;
        loop {
            match timeout(wait, answers.recv_async()).await {
                // Its caller's patience bounds the wait, and the leader's silence ends it.
                Ok(Ok(Turn::Wait(_))) => wait = prompt.patience,
                Ok(Ok(turn)) => {
                    question.is_answered = true;
                    return match turn {
                        Turn::Go(target) => supply::Turn::Go(target),
                        Turn::Refuse(wait) => supply::Turn::Refuse(wait),
                        Turn::Wait(_) | Turn::Unknown => supply::Turn::Unknown,
                    };
                }
                Ok(Err(_)) => return supply::Turn::Unknown,
                Err(_) => {
                    log::info!(step = "turn", number = number; "the leader did not answer in time; choosing alone for a while");
                    self.resting.set(Some(Instant::now() + TURN_REST));
                    self.forget_turns();
                    return supply::Turn::Unknown;
                }
            }
        }
    }

    /// Lets all requests that wait for a turn be placed without one.
    fn forget_turns(&self) {
        self.turns.borrow_mut().clear();
    }

    async fn wait_for_leader(&self) -> Option<Outbox<Up>> {
        let until = Instant::now() + LEADER;
        loop {
            let changed = self.changed.notified();
            if let Some(leader) = self.leader() {
                return Some(leader);
            }
            timeout_at(until, changed).await.ok()?;
        }
    }

    async fn ask(&self, want: &Want) -> Wanted {
        let Some(leader) = self.wait_for_leader().await else {
            return Wanted::No;
        };
        let number = self.next.get();
        self.next.set(number + 1);
        let (sender, answer) = oneshot::channel();
        self.open.borrow_mut().insert(number, sender);
        let item = item_of(want);
        let answer = if leader.send(Up::Want { number, item }) {
            timeout(ANSWER, answer).await
        } else {
            Ok(Ok(Granted::No))
        };
        self.open.borrow_mut().remove(&number);
        match answer {
            Ok(Ok(Granted::Ready(target))) => Wanted::Ready(target),
            Ok(Ok(Granted::Later(later))) => Wanted::Later(later),
            Ok(Ok(Granted::No) | Err(_)) | Err(_) => Wanted::No,
        }
    }
}

/// Supplier that is shared with the connections to the core.
#[derive(Clone, Default)]
pub struct Shared(pub Rc<Supplier>);

impl Supply for Shared {
    async fn want(&self, want: Want) -> Wanted {
        self.0.ask(&want).await
    }

    fn note(&self, want: &Want) {
        self.0.change_row(item_of(want), |row| row.requests += 1);
    }

    fn down(&self, target: &id::Target, born: id::Incarnation) {
        self.0.report_down(target, born);
    }

    async fn turn(&self, prompt: Prompt) -> supply::Turn {
        self.0.ask_turn(prompt).await
    }

    fn ended(&self, want: &Want, spent: Spent) {
        self.0.change_row(item_of(want), |row| {
            row.ended += 1;
            row.slot_time += spent.whole;
            if spent.events > 0 {
                row.events += spent.events;
                row.event_time += spent.event_time;
            }
        });
    }
}
