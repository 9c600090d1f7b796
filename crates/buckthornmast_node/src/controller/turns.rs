//! Turns that the leader gives to the requests of entry instances.

use std::{rc::Rc, time::Duration};

use buckthornmast_link::Outbox;
use buckthornmast_supply::turns::{Ask, Ticket, Turn};
use buckthornmast_types::time::Clock;
use tokio::time::sleep;

use super::{Controller, State};
use crate::{message::Down, platform::Platform};

/// Time between two looks at the requests that wait. Short against the pause that a prompt causes.
const POLL: Duration = Duration::from_millis(5);

/// Entry instance that asked for a turn.
#[derive(Debug)]
pub struct Asker {
    /// Number of its connection.
    pub subscriber: u64,
    /// Number of its question.
    pub number: u64,
    /// Connection.
    pub outbox: Outbox<Down>,
}

impl Asker {
    fn answer(&self, turn: Turn) {
        metrics::counter!("buckthornmast_turns_total", "turn" => name_of(&turn)).increment(1);
        // An entry instance that is gone does not need its turn.
        let _ = self.outbox.send(Down::Turn {
            number: self.number,
            turn,
        });
    }
}

fn name_of(turn: &Turn) -> &'static str {
    match turn {
        Turn::Go(_) => "go",
        Turn::Wait(_) => "wait",
        Turn::Refuse(_) => "refuse",
        Turn::Unknown => "unknown",
    }
}

impl<P: Platform> Controller<P> {
    /// Answers the question for a turn, at once or when it comes.
    pub fn ask_turn(self: &Rc<Self>, asker: Asker, ask: Ask) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        let State {
            turns,
            ledger,
            demand,
            lead,
            askers,
            ..
        } = &mut *state;
        if lead.is_none() {
            return asker.answer(Turn::Unknown);
        }
        let was_idle = turns.waiting() == 0;
        let (ticket, turn) = turns.ask(ask, ledger, demand, now);
        asker.answer(turn.clone());
        if matches!(turn, Turn::Wait(_)) {
            askers.insert(ticket, asker);
            drop(state);
            if was_idle {
                let controller = Rc::clone(self);
                tokio::task::spawn_local(async move { controller.give_turns().await });
            }
        }
    }

    /// Gives turns as long as requests wait.
    async fn give_turns(&self) {
        loop {
            sleep(POLL).await;
            let now = self.clock.now();
            let mut state = self.state.borrow_mut();
            let State {
                turns,
                ledger,
                askers,
                ..
            } = &mut *state;
            for (ticket, turn) in turns.poll(ledger, now) {
                if let Some(asker) = askers.remove(&ticket) {
                    asker.answer(turn);
                }
            }
            if turns.waiting() == 0 {
                return;
            }
        }
    }

    /// Forgets a question.
    pub fn leave_turn(&self, subscriber: u64, number: u64) {
        self.forget(|asker| asker.subscriber == subscriber && asker.number == number);
    }

    /// Forgets all questions of an entry instance whose connection has ended.
    pub fn left(&self, subscriber: u64) {
        self.forget(|asker| asker.subscriber == subscriber);
    }

    fn forget(&self, is_meant: impl Fn(&Asker) -> bool) {
        let mut state = self.state.borrow_mut();
        let State { turns, askers, .. } = &mut *state;
        let gone: Vec<Ticket> = askers
            .extract_if(|_, asker| is_meant(asker))
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in gone {
            turns.leave(ticket);
        }
    }
}
