//! An instance of the core: keeps routes and targets, and leads or follows in ordering models.

mod dialing;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use buckthornmast_consensus::prelude::{Pool, Role};
use buckthornmast_discovery::roster::{Card, Roster};
use buckthornmast_fleet::registry::{Merge, Registry, Update};
use buckthornmast_link::{Link, Outbox, Timing};
use buckthornmast_routes::register::{Revision, Text};
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use tokio::{
    net::TcpListener,
    sync::oneshot,
    time::{sleep, timeout},
};

use crate::{
    controller::{Controller, Lead, turns::Asker},
    dial::Dials,
    memory::{self, Memory},
    message::{Alive, Down, Up},
    platform::{Fence, Platform},
    replica::{self, Replica, Wires},
    settings::{Bounds, Service, Settings},
    subscribers::{Subscriber, Subscribers},
};

/// Time between two looks at what has changed.
const TICK: Duration = Duration::from_millis(100);

/// Ticks between two reports of the targets that were heard of.
const ALIVE_TICKS: u64 = 10;

/// Ticks after the start within which every live target has announced itself, also one that tries an instance after the
/// other with growing pauses.
const FORGET_TICKS: u64 = 120;

/// Ticks between two rounds of orders.
const PLAN_TICKS: u64 = 2;

/// Ticks between two looks at a replica that may have failed.
const MEND_TICKS: u64 = 7;

/// Time for an introduction.
const HELLO: Duration = Duration::from_secs(2);

/// Time for the file of targets to be written.
const SAVE: Duration = Duration::from_millis(150);

/// Time for another instance to note that a target leaves. The target waits a second for the acknowledgement.
const NOTED: Duration = Duration::from_millis(500);

/// Silence after which a voter is replaced, longer than a usual restart.
const VOTER_PATIENCE: Duration = Duration::from_millis(2500);

/// Time after the first election of all in which targets announce themselves, so that what isn't known yet isn't taken
/// as missing.
const FIRST_SETTLE: Duration = Duration::from_secs(3);

/// Time after another election in which targets tell their state and demand is reported. Targets are known by then.
const SETTLE: Duration = Duration::from_millis(900);

/// Term in which the first leader of all is elected; nobody has given orders before it.
const FIRST_TERM: id::Term = id::Term(1);

struct Waiter {
    target: id::Target,
    born: id::Incarnation,
    noted: oneshot::Sender<()>,
}

#[derive(Default)]
struct State {
    roster: Roster,
    registry: Registry,
    // When this instance itself heard of a target.
    first_hand: BTreeMap<id::Target, Point>,
    waiters: Vec<Waiter>,
    routes: Option<Revision>,
    services: Option<BTreeSet<id::Service>>,
    leads: Option<id::Term>,
    entries: u32,
    is_roster_told: bool,
}

/// Instance of the core.
pub struct Core<P> {
    pub(crate) platform: P,
    pub(crate) clock: System,
    pub(crate) replica: Replica,
    settings: RefCell<Settings>,
    me: Card,
    losses: usize,
    wires: Wires,
    subscribers: Rc<Subscribers>,
    controller: Rc<Controller<P>>,
    dials: Dials,
    memory: Memory,
    state: RefCell<State>,
}

impl<P: Platform> Core<P> {
    /// Opens the replica and knows nothing else yet.
    pub fn new(platform: P, settings: Settings) -> io::Result<Rc<Self>> {
        let Service::Core {
            control,
            peers,
            data,
            is_first_start,
            losses,
        } = settings.service.clone()
        else {
            return Err(io::Error::other("the settings are not those of the core"));
        };
        let member = Settings::member_name(control)
            .ok_or_else(|| io::Error::other("the control address makes no name"))?;
        let me = Card {
            instance: member.clone(),
            domain: settings.domain.clone(),
            peers,
            control,
        };
        let founders = settings.seeds.iter().copied();
        let founders = founders.filter_map(Settings::member_name);
        let memory = Memory::new(data.join(memory::FILE));
        let registry = memory.load(Point::ZERO);
        let config = replica::Config {
            member,
            founders: founders.collect(),
            is_first_start,
            data,
        };
        let clock = System::start();
        let wires = Wires::default();
        let subscribers = Rc::new(Subscribers::default());
        let controller = Controller::new(
            platform.clone(),
            clock,
            settings.bounds.turn,
            Rc::clone(&subscribers),
        );
        Ok(Rc::new(Self {
            replica: Replica::new(config, wires.clone(), clock),
            controller: Rc::new(controller),
            platform,
            clock,
            me,
            losses,
            wires,
            subscribers,
            dials: Dials::default(),
            memory,
            state: RefCell::new(State {
                registry,
                ..State::default()
            }),
            settings: RefCell::new(settings),
        }))
    }

    /// Takes over changed settings.
    pub fn set_settings(&self, settings: Settings) {
        self.settings.replace(settings);
    }

    /// Runs for ever.
    pub async fn run(self: Rc<Self>) {
        for tick in 0u64.. {
            self.tick(tick);
            sleep(TICK).await;
        }
    }

    fn tick(self: &Rc<Self>, tick: u64) {
        let now = self.clock.now();
        self.tick_roster(tick, now);
        if tick % MEND_TICKS == MEND_TICKS - 1 {
            self.replica.mend();
            self.memory.save(&self.state.borrow().registry);
        }
        self.tick_leader(now);
        self.tell_routes();
        if tick.is_multiple_of(ALIVE_TICKS) {
            self.tell_alive(now);
            let mut state = self.state.borrow_mut();
            state.registry.prune(now);
            if tick == FORGET_TICKS {
                // Targets that were remembered from before the start and have not spoken since are gone.
                let forgotten = state.registry.forget_unheard();
                drop(state);
                if !forgotten.is_empty() {
                    log::info!(step = "target", targets = forgotten.len(); "remembered targets are gone");
                    self.subscribers.send(&Down::Targets(forgotten));
                }
            }
        }
        if tick.is_multiple_of(PLAN_TICKS) {
            self.controller.tick(&self.state.borrow().registry);
        }
    }

    fn tick_roster(self: &Rc<Self>, tick: u64, now: Point) {
        let mut state = self.state.borrow_mut();
        state.roster.note(&self.me, now);
        state.roster.set_seeds(self.settings.borrow().seed_peers());
        if state.roster.prune(now) {
            state.is_roster_told = false;
        }
        let mut addresses = state.roster.addresses();
        addresses.remove(&self.me.peers);
        let entries = self.subscribers.entries();
        if !state.is_roster_told || tick.is_multiple_of(ALIVE_TICKS) {
            state.is_roster_told = true;
            let told = Down::Roster(state.roster.told(now));
            self.subscribers.send(&told);
            self.replica.meet(self.pool(&state.roster));
        }
        if state.entries != entries {
            state.entries = entries;
            self.subscribers.send_entries(&Down::Entries(entries));
        }
        drop(state);
        self.dials.set(&addresses, self);
    }

    /// Returns who may hold a copy of the log. As many voters are wanted as bear the losses of the settings.
    fn pool(&self, roster: &Roster) -> Pool {
        let instances = roster
            .cards()
            .map(|card| (card.instance.clone(), card.domain.clone()));
        Pool {
            instances: instances.collect(),
            size: self.losses * 2 + 1,
            patience: VOTER_PATIENCE,
        }
    }

    fn tick_leader(&self, now: Point) {
        let leads = self.replica.leads(now);
        let mut state = self.state.borrow_mut();
        if state.leads == leads {
            return;
        }
        state.leads = leads;
        drop(state);
        log::info!(step = "lead", term = leads.map_or(0, |term| term.0), leads = leads.is_some(); "leadership changed");
        let lead = leads.map(|term| {
            let Bounds {
                turn, is_fenced, ..
            } = self.settings.borrow().bounds;
            let pause = if term == FIRST_TERM {
                FIRST_SETTLE
            } else if is_fenced {
                // The targets that the last leader has just ordered are left alone, and no others.
                Duration::ZERO
            } else if now < Point::ZERO + turn {
                // Instances that have just started take no turns: whoever ordered before was stopped with them, or
                // is refused for its older term.
                Duration::ZERO
            } else {
                turn
            };
            Lead {
                fence: Fence {
                    holder: self.me.instance.clone(),
                    term,
                },
                from: now + pause,
                plans_from: now + pause.max(SETTLE),
            }
        });
        self.controller.set_lead(lead);
        self.subscribers.send(&Down::Leads(leads));
    }

    /// Returns the newest routes, if this replica is in touch with the leader and has applied what is committed.
    fn confirmed(&self, above: Option<Revision>) -> Option<Text> {
        let status = self.replica.status();
        let is_in_touch = status.leader.is_some() && status.role != Role::Stopped;
        let is_current = status.applied >= status.commit;
        if !is_in_touch || !is_current {
            return None;
        }
        self.replica.newest(above)
    }

    /// Tells everybody the routes in force if they have changed.
    pub(crate) fn tell_routes(&self) {
        let known = self.state.borrow().routes;
        let Some(text) = self.confirmed(known) else {
            return;
        };
        self.state.borrow_mut().routes = Some(text.version);
        match self.platform.document(&text.body) {
            Ok(document) => {
                let services: BTreeSet<id::Service> = document.services.keys().cloned().collect();
                let mut state = self.state.borrow_mut();
                state
                    .registry
                    .retain_services(|service| services.contains(service));
                state.services = Some(services);
                drop(state);
                self.controller.set_document(Rc::new(document));
            }
            Err(error) => {
                log::error!(step = "routes", version = text.version.0; "accepted routes can't be decoded: {error}");
            }
        }
        log::info!(step = "routes", version = text.version.0; "routes are in force");
        self.subscribers.send(&Down::Routes(text));
    }

    fn tell_alive(&self, now: Point) {
        let state = self.state.borrow();
        let recent = TICK * u32::try_from(ALIVE_TICKS).unwrap_or(1);
        let heard = state
            .first_hand
            .iter()
            .filter(|(_, at)| now.since(**at) <= recent);
        let alive = heard.filter_map(|(target, at)| {
            let entry = state.registry.get(target)?;
            Some(Alive {
                target: target.clone(),
                born: entry.announcement.born,
                age: now.since(*at),
            })
        });
        let alive: Vec<Alive> = alive.collect();
        if !alive.is_empty() {
            self.subscribers.send(&Down::Alive(alive));
        }
    }

    /// Returns the control address of the leader, if it is another instance.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        let leader = self.replica.status().leader?;
        let state = self.state.borrow();
        let card = state.roster.get(&leader)?;
        (card.instance != self.me.instance).then_some(card.control)
    }

    /// Returns whether a service exists in the routes in force. Before there are any, every service may.
    pub(crate) fn has_service(&self, service: &id::Service) -> bool {
        let state = self.state.borrow();
        let services = state.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Takes an update about a target; the result says whether others need to know.
    pub(crate) fn merge(&self, update: Update, is_first_hand: bool) -> Merge {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if is_first_hand {
            let target = update.announcement.target.clone();
            state.first_hand.insert(target, now);
        }
        let merge = state.registry.merge(update.clone(), Duration::ZERO, now);
        let registry = std::mem::take(&mut state.registry);
        state
            .first_hand
            .retain(|target, _| registry.get(target).is_some());
        state.registry = registry;
        drop(state);
        if merge == Merge::News {
            log::info!(
                step = "target",
                target:% = update.announcement.target,
                born = update.announcement.born.0,
                sequence = update.announcement.sequence,
                state:? = update.announcement.state,
                withdrawn = update.withdrawn,
                is_first_hand = is_first_hand;
                "target changed"
            );
            self.subscribers.send(&Down::Targets(vec![update]));
        }
        merge
    }

    /// Notes that a target has withdrawn; returns what others are told.
    pub(crate) fn withdraw(&self, target: &id::Target) -> Option<Update> {
        let now = self.clock.now();
        let update = self.state.borrow_mut().registry.withdraw(target, now)?;
        log::info!(step = "target", target:% = target, born = update.announcement.born.0; "target withdrew");
        Some(update)
    }

    /// Tells others about a target that leaves, and waits until one of them has noted it, so that the loss of
    /// this instance can't lose the notice.
    pub(crate) async fn spread(&self, update: Update) -> bool {
        let (noted, wait) = oneshot::channel();
        self.state.borrow_mut().waiters.push(Waiter {
            target: update.announcement.target.clone(),
            born: update.announcement.born,
            noted,
        });
        let is_alone = !self.subscribers.has_core();
        self.subscribers.send(&Down::Targets(vec![update]));
        let saving = self.memory.save_before(&self.state.borrow().registry);
        // A disk that hangs must not keep the notice from being acknowledged by what another instance noted.
        if timeout(SAVE, saving).await.is_err() {
            log::warn!(step = "persist"; "targets are not written yet");
        }
        if is_alone {
            // The roster may hold instances that can't be reached.
            return self.state.borrow().roster.cards().count() <= 1;
        }
        matches!(timeout(NOTED, wait).await, Ok(Ok(())))
    }

    fn note(&self, target: &id::Target, born: id::Incarnation) {
        let mut state = self.state.borrow_mut();
        let is_meant = |waiter: &mut Waiter| waiter.target == *target && waiter.born == born;
        let noted: Vec<Waiter> = state.waiters.extract_if(.., is_meant).collect();
        state.waiters.retain(|waiter| !waiter.noted.is_closed());
        for waiter in noted {
            // Whoever waited may have given up.
            let _ = waiter.noted.send(());
        }
    }

    /// Accepts connections of other instances.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, peer)) => {
                    let core = Rc::clone(&self);
                    tokio::task::spawn_local(async move {
                        match Link::start(stream, peer, Timing::default()) {
                            Ok(link) => core.serve(link).await,
                            Err(error) => log::warn!(step = "accept"; "{error}"),
                        }
                    });
                }
                Err(error) => {
                    log::warn!(step = "accept"; "connection of an instance can't be accepted: {error}");
                    sleep(TICK).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, link: Link<Up, Down>) {
        let card = match timeout(HELLO, link.inbox.recv_async()).await {
            Ok(Ok(Up::Entry(instance))) => {
                log::info!(step = "hello", peer:% = instance; "entry instance connected");
                None
            }
            Ok(Ok(Up::Core(card))) => {
                log::info!(step = "hello", peer:% = card.instance; "instance of the core connected");
                Some(card)
            }
            _ => return,
        };
        let core = card.as_ref().map(|card| card.instance.clone());
        let number = self.subscribers.add(Subscriber {
            outbox: link.outbox.clone(),
            core: core.clone(),
        });
        self.greet(&link.outbox, card);
        while let Ok(message) = link.inbox.recv_async().await {
            self.receive(core.as_ref(), message, number, &link.outbox);
        }
        self.controller.left(number);
        self.subscribers.remove(number);
    }

    /// Tells a new subscriber everything.
    fn greet(&self, outbox: &Outbox<Down>, card: Option<Card>) {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if let Some(card) = card
            && state.roster.note(&card, now)
        {
            state.is_roster_told = false;
        }
        let mut messages = vec![
            Down::Roster(state.roster.told(now)),
            Down::Entries(state.entries),
            Down::Targets(state.registry.updates()),
            Down::Leads(state.leads),
            Down::Placed(self.controller.placements()),
        ];
        drop(state);
        messages.extend(self.confirmed(None).map(Down::Routes));
        for message in messages {
            // A connection that ends at once is noticed by its reader.
            let _ = outbox.send(message);
        }
    }

    fn receive(
        self: &Rc<Self>,
        from: Option<&id::Instance>,
        message: Up,
        subscriber: u64,
        outbox: &Outbox<Down>,
    ) {
        match message {
            Up::Log(message) => {
                if let Some(from) = from {
                    self.replica.deliver(from.clone(), *message);
                }
            }
            Up::Noted { target, born } => self.note(&target, born),
            Up::Demand(rows) => self.controller.add_demand(&rows),
            Up::Want { number, item } => {
                let controller = Rc::clone(&self.controller);
                let outbox = outbox.clone();
                tokio::task::spawn_local(async move {
                    let granted = controller.want(&item).await;
                    let _ = outbox.send(Down::Granted { number, granted });
                });
            }
            Up::Turn { number, ask } => {
                let asker = Asker {
                    subscriber,
                    number,
                    outbox: outbox.clone(),
                };
                self.controller.ask_turn(asker, ask);
            }
            Up::Down { target, born } => self.controller.check(target, born),
            Up::Leave { number } => self.controller.leave_turn(subscriber, number),
            Up::Core(card) => {
                let now = self.clock.now();
                self.state.borrow_mut().roster.note(&card, now);
            }
            Up::Entry(_) => {}
        }
    }
}
