//! An entry instance: forwards callers' requests.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use buckthornmast_discovery::roster::Roster;
use buckthornmast_fleet::registry::Merge;
use buckthornmast_forward::{
    caller::Forwarder,
    state::{Extra, Placed, State},
};
use buckthornmast_link::Outbox;
use buckthornmast_types::{
    id,
    time::{Clock, System},
};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use tokio::time::sleep;

use crate::{
    dial::{Dialer, Dials},
    http::{Handler, status},
    message::{Alive, Down, Up},
    platform::Platform,
    settings::Settings,
    supplier::Shared,
};

/// Time between two looks at what has changed.
const TICK: Duration = Duration::from_millis(400);

/// Time before the end of the grace of a stop at which whoever still waits for a target is refused, so that the answer
/// arrives before this instance ends.
const LAST_ANSWERS: Duration = Duration::from_millis(2000);

/// Entry instance.
pub struct Entry<P: Platform> {
    /// Path of requests.
    pub forwarder: Rc<Forwarder<P::Headers, Shared>>,
    platform: P,
    instance: id::Instance,
    settings: RefCell<Settings>,
    roster: RefCell<Roster>,
    supplier: Shared,
    dials: Dials,
    is_stopping: Cell<bool>,
}

impl<P: Platform> Entry<P> {
    /// Knows nothing yet.
    pub fn new(platform: P, settings: Settings) -> Rc<Self> {
        let extra = Extra {
            ratio: settings.bounds.extra_ratio,
            burst: settings.bounds.extra_burst,
        };
        let supplier = Shared::default();
        let forwarder = Forwarder {
            mapping: platform.headers(),
            supply: supplier.clone(),
            clock: System::start(),
            home: settings.domain.clone(),
            state: Rc::new(RefCell::new(State::new(extra))),
        };
        Rc::new(Self {
            forwarder: Rc::new(forwarder),
            platform,
            instance: settings.instance.clone(),
            settings: RefCell::new(settings),
            roster: RefCell::default(),
            supplier,
            dials: Dials::default(),
            is_stopping: Cell::new(false),
        })
    }

    /// Takes over changed settings.
    pub fn set_settings(&self, settings: Settings) {
        self.settings.replace(settings);
    }

    /// Reports not to be ready any more.
    pub fn begin_stop(&self) {
        self.is_stopping.set(true);
        let grace = self.settings.borrow().bounds.grace;
        let end = self.forwarder.clock.now() + grace.saturating_sub(LAST_ANSWERS);
        self.forwarder.state.borrow_mut().end = Some(end);
    }

    /// Returns whether callers' requests can be forwarded.
    pub fn is_ready(&self) -> bool {
        let state = self.forwarder.state.borrow();
        !self.is_stopping.get() && state.version().is_some()
    }

    /// Runs for ever.
    pub async fn run(self: Rc<Self>) {
        loop {
            let now = self.forwarder.clock.now();
            let addresses = {
                let mut roster = self.roster.borrow_mut();
                roster.set_seeds(self.settings.borrow().seed_peers());
                roster.prune(now);
                roster.addresses()
            };
            self.dials.set(&addresses, &self);
            self.supplier.0.report();
            self.forwarder.state.borrow_mut().prune(now);
            sleep(TICK).await;
        }
    }
}

impl<P: Platform> Dialer for Entry<P> {
    fn hello(&self) -> Up {
        Up::Entry(self.instance.clone())
    }

    fn opened(&self, peer: SocketAddr, outbox: Outbox<Up>) {
        self.supplier.0.opened(peer, outbox);
    }

    fn receive(&self, peer: SocketAddr, message: Down) {
        let now = self.forwarder.clock.now();
        let mut state = self.forwarder.state.borrow_mut();
        match message {
            Down::Roster(told) => {
                self.roster.borrow_mut().take(&told, now);
            }
            Down::Entries(entries) => state.set_instances(entries),
            Down::Routes(text) => match self.platform.document(&text.body) {
                Ok(document) => {
                    if state.set_routes(document) {
                        log::info!(step = "routes", version = text.version.0, peer:% = peer; "routes are in force");
                    }
                }
                Err(error) => {
                    log::error!(step = "routes", version = text.version.0; "accepted routes can't be decoded: {error}");
                }
            },
            Down::Targets(updates) => {
                state.change_targets(|registry| {
                    updates.into_iter().fold(false, |is_news, update| {
                        let target = update.announcement.target.clone();
                        let born = update.announcement.born;
                        let told = format!("{:?}", update.announcement.state);
                        let withdrawn = update.withdrawn;
                        let merge = registry.merge(update, Duration::ZERO, now);
                        if merge == Merge::News {
                            log::info!(step = "target", target:% = target, born = born.0, state:% = told, withdrawn = withdrawn, peer:% = peer; "target changed");
                        }
                        merge == Merge::News || is_news
                    })
                });
            }
            Down::Alive(alive) => {
                state.change_targets(|registry| {
                    for Alive { target, born, age } in alive {
                        registry.note_alive(&target, born, now - age);
                    }
                    false
                });
            }
            Down::Placed(placements) => {
                if self.supplier.0.is_leader(peer) {
                    for placement in placements {
                        let placed = Placed {
                            born: placement.born,
                            held: placement.held,
                        };
                        state.set_placed(placement.target, placed);
                    }
                }
            }
            // For instances of the core only.
            Down::Ordered(_) => {}
            Down::Leads(leads) => self.supplier.0.set_leads(peer, leads),
            Down::Granted { number, granted } => self.supplier.0.granted(number, granted),
            Down::Turn { number, turn } => self.supplier.0.given(number, turn),
        }
    }

    fn closed(&self, peer: SocketAddr) {
        self.supplier.0.closed(peer);
    }
}

/// Answers whether the instance is ready.
pub struct Ready<P: Platform>(pub Rc<Entry<P>>);

impl<P: Platform> Handler for Ready<P> {
    async fn answer(&self, _: Request<Bytes>) -> Response<Bytes> {
        if self.0.is_ready() {
            status(StatusCode::OK)
        } else {
            status(StatusCode::SERVICE_UNAVAILABLE)
        }
    }
}
