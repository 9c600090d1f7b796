//! An instance of the core: keeps the routes and the registry of targets, and orders models when it leads.

mod attestations;
mod confirmations;
mod credit;
mod departures;
mod dialing;
mod leases;
mod origins;
mod quarantine;
mod updates;

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet},
    io,
    net::SocketAddr,
    rc::{Rc, Weak},
    time::Duration,
};

use buckthornmast_consensus::prelude::{Pool, Role};
use buckthornmast_discovery::roster::{Member, Roster};
use buckthornmast_fleet::{
    announcement::Announcement,
    registry::{Entry, Merge, Registry, Update},
};
use buckthornmast_forward::access::boot_time;
use buckthornmast_link::{Link, Outbox, Timing};
use buckthornmast_origin::{
    attestation::{Register, Variant},
    history::History,
    lease::{grantor::Grantor, keeper::Keeper},
    record as origin,
};
use buckthornmast_quarantine::ledger::Ledger;
use buckthornmast_routes::register::{Revision, Text};
use buckthornmast_types::{
    id,
    time::{Clock, Point, System},
};
use tokio::{
    net::TcpListener,
    sync::Notify,
    time::{sleep, timeout},
};

use self::{
    attestations::Clearing,
    confirmations::Inquiries,
    origins::{Streams, variant_of},
    updates::{Unsent, for_entry},
};
use crate::{
    attestation,
    controller::{Controller, Leadership, permits::Requester},
    departure::{Departure, Departures},
    dial::Connections,
    lease,
    memory::{Content, Store},
    message::{Downstream, Liveness, UNDERSTANDS_LEASES, Upstream},
    observe::ReplicaGauge,
    platform::{Fence, Platform},
    replica::{self, Outboxes, Replica},
    settings::{Bounds, Service, Settings},
    space::Monitor,
    subscribers::{Subscriber, Subscribers},
};

/// Interval of the main loop.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which changed ways are sent to entry instances. Each change moves the ways of a few of them, and choosing
/// takes a time that grows with the square of their number.
const WAYS_INTERVAL_TICKS: u64 = 8;

/// Ticks between two reports to the other instances of the core of the targets that have contacted this instance.
const LIVENESS_INTERVAL_TICKS: u64 = 10;

/// Ticks between two such reports, and two of the roster, to entry instances. Where targets don't announce their
/// incarnation, the one that was heard last owns an address, and the full state that a new connection brings doesn't say
/// which one that is.
const ENTRY_REPORT_INTERVAL_TICKS: u64 = 10;

/// Time after the start by which every live target has announced itself, also one that tries one instance after the other
/// with growing pauses.
const ANNOUNCEMENT_TIME: Duration = Duration::from_secs(12);

/// Ticks after the start after which restored targets that have not announced themselves are removed.
const RESTORED_RETENTION_TICKS: u64 = 120;

/// Ticks between two runs of the controller.
const CONTROLLER_INTERVAL_TICKS: u64 = 2;

/// Ticks between two writes of the file of targets.
const SAVE_INTERVAL_TICKS: u64 = 7;

/// Ticks between two measurements of the data folder.
const MEASURE_INTERVAL_TICKS: u64 = 20;

/// Time limit for the first message on a new connection, which introduces the peer.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an unresponsive voter is replaced, longer than a usual restart.
const VOTER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Time after the very first election in which targets announce themselves, so that those not known yet aren't taken as
/// missing.
const FIRST_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time after any later election in which targets report their state and entry instances report demand. The targets are
/// already known by then.
const SETTLE_TIME: Duration = Duration::from_millis(900);

/// Term of the very first leader; no orders were sent before it.
const FIRST_TERM: id::Term = id::Term(1);

#[derive(Default)]
struct State {
    roster: Roster,
    registry: Registry,
    // When a target last contacted this instance directly.
    last_contact: BTreeMap<id::Target, Point>,
    departures: Departures,
    // Whether another instance of the core has told its targets since the start.
    has_peer_targets: bool,
    routes_version: Option<Revision>,
    services: Option<BTreeSet<id::Service>>,
    leading_term: Option<id::Term>,
    entry_count: u32,
    is_roster_published: bool,
    // Updates that are sent to other instances at the next tick.
    unsent: BTreeMap<id::Target, Unsent>,
    // Crashes of targets with the requests that are suspected, from all entry instances.
    crashes: Ledger,
    // Versions that began streams.
    origins: origin::Memory,
    // Since when each service has had one version.
    history: History,
    // Services of resumable streams under the routes in force.
    streams: Streams,
    // Which versions are attested, and may be used.
    attestations: Register,
    // Longest time limit of the routes in force.
    longest_timeout: Option<Duration>,
    // Version of the routes under which they were attested.
    attested_routes: Revision,
    // Versions that wait until nothing speaks against them.
    clearing: BTreeMap<Variant, Clearing>,
    // Number of withdrawals that other instances were asked for.
    withdrawals: u64,
    // Copies of what this instance attests, and of what others do.
    grantor: Grantor,
    keeper: Keeper,
    // What the other instances of the core state that they understand.
    features: BTreeMap<id::Instance, u8>,
    // Number of trials of quarantined parts that this instance has permitted.
    trials: usize,
}

/// Instance of the core.
pub struct Core<P> {
    // For tasks that outlive a call.
    own: Weak<Self>,
    pub(crate) platform: P,
    pub(crate) clock: System,
    pub(crate) replica: Replica,
    settings: RefCell<Settings>,
    own_member: Member,
    // Number of instances with a disk that may be lost at the same time.
    losses: usize,
    outboxes: Outboxes,
    subscribers: Rc<Subscribers>,
    controller: Rc<Controller<P>>,
    connections: Connections,
    // Targets that take new work.
    targets_file: Store,
    // Targets that leave.
    departures_file: Store,
    attestations_file: attestation::Store,
    leases_file: lease::Store,
    monitor: Monitor,
    gauge: ReplicaGauge,
    inquiries: Inquiries,
    state: RefCell<State>,
}

impl<P: Platform> Core<P> {
    /// Opens the replica, and restores the targets that were known before a restart.
    pub fn new(platform: P, settings: Settings) -> io::Result<Rc<Self>> {
        let Service::Core {
            control,
            peers,
            data,
            is_first_start,
            losses,
            ..
        } = settings.service.clone()
        else {
            return Err(io::Error::other(
                "the settings are not for an instance of the core",
            ));
        };
        let member = Settings::member_name(control).ok_or_else(|| {
            io::Error::other("no member name can be derived from the control address")
        })?;
        let own_member = Member {
            instance: member.clone(),
            domain: settings.domain.clone(),
            peers,
            control,
        };
        let founders = settings.seeds.iter().copied();
        let founders = founders.filter_map(Settings::member_name);
        let targets_file = Store::new(&data, Content::Ready);
        let departures_file = Store::new(&data, Content::Leaving);
        let mut registry = Registry::default();
        departures_file.restore(&mut registry, Point::ZERO);
        targets_file.restore(&mut registry, Point::ZERO);
        let attestations_file = attestation::Store::new(&data);
        let found = attestations_file.read();
        let mut attestations = Register::default();
        attestations.restore(found.attested);
        let leases_file = lease::Store::new(&data);
        let is_founding = is_first_start && !replica::is_founder(&data);
        let (grantor, keeper) = leases::restore(leases_file.read(), is_founding);
        let monitor = Monitor::new(data.clone());
        let config = replica::Config {
            member,
            founders: founders.collect(),
            is_first_start,
            data,
        };
        let clock = System::start();
        let outboxes = Outboxes::default();
        let subscribers = Rc::new(Subscribers::default());
        let controller = Controller::new(
            platform.clone(),
            clock,
            settings.bounds.handover_interval,
            settings.bounds.quota_terms,
            Rc::clone(&subscribers),
        );
        Ok(Rc::new_cyclic(|own| Self {
            own: Weak::clone(own),
            replica: Replica::new(config, outboxes.clone(), clock),
            controller: Rc::new(controller),
            platform,
            clock,
            own_member,
            losses,
            outboxes,
            subscribers,
            connections: Connections::default(),
            targets_file,
            departures_file,
            attestations_file,
            leases_file,
            monitor,
            gauge: ReplicaGauge::default(),
            inquiries: Inquiries::default(),
            state: RefCell::new(State {
                registry,
                attestations,
                attested_routes: found.routes,
                grantor,
                keeper,
                ..State::default()
            }),
            settings: RefCell::new(settings),
        }))
    }

    /// Applies changed settings.
    pub fn set_settings(&self, settings: Settings) {
        self.settings.replace(settings);
    }

    /// Runs the main loop, and never returns.
    pub async fn run(self: Rc<Self>) {
        // The addresses of this instance are its own by now, so that its predecessor has ended.
        self.state.borrow_mut().grantor.start(boot_time());
        for tick in 0u64.. {
            self.tick(tick);
            sleep(TICK_INTERVAL).await;
        }
    }

    fn tick(self: &Rc<Self>, tick: u64) {
        let now = self.clock.now();
        self.tick_roster(tick, now);
        self.send_unsent();
        self.replica.reopen_if_failed(now);
        if tick % SAVE_INTERVAL_TICKS == SAVE_INTERVAL_TICKS - 1 {
            let state = self.state.borrow();
            // Lost targets announce themselves again.
            self.targets_file.save(&state.registry);
            // New departures are stored at once. This removes those that are forgotten, and repeats a failed write.
            self.departures_file.save(&state.registry);
            state.save_attestations(&self.attestations_file);
        }
        self.tick_leader(now);
        self.controller.tick_credit(self.state.borrow().entry_count);
        if tick.is_multiple_of(MEASURE_INTERVAL_TICKS) {
            self.monitor.start();
            let leads = self.state.borrow().leading_term.is_some();
            self.gauge.publish(&self.replica.status(), leads);
        }
        if tick % LIVENESS_INTERVAL_TICKS == leases::SAVE_TICK {
            self.save_leases(&self.state.borrow());
        }
        self.publish_routes();
        self.tell_all_released();
        self.answer_inquiries();
        self.tick_quarantines(now);
        if tick.is_multiple_of(LIVENESS_INTERVAL_TICKS) {
            self.publish_liveness(tick, now);
            self.controller.publish_credit(now);
            self.see_versions(now);
            self.tick_attestations(now);
            self.tick_leases();
            let mut state = self.state.borrow_mut();
            state.registry.prune(now);
            let State {
                registry,
                last_contact,
                departures,
                ..
            } = &mut *state;
            last_contact.retain(|target, _| registry.get(target).is_some());
            departures.retain(|target| registry.get(target).is_some());
            if tick == RESTORED_RETENTION_TICKS {
                let removed = state.registry.withdraw_unheard();
                drop(state);
                if !removed.is_empty() {
                    log::info!(step = "target", targets = removed.len(); "removed restored targets that have not announced themselves since the start");
                    self.subscribers.send(&Downstream::targets(removed));
                }
            }
        }
        if tick.is_multiple_of(CONTROLLER_INTERVAL_TICKS) {
            self.controller.tick(&self.state.borrow().registry);
        }
    }

    fn tick_roster(self: &Rc<Self>, tick: u64, now: Point) {
        let mut state = self.state.borrow_mut();
        state.roster.record(&self.own_member, now);
        state.roster.set_seeds(self.settings.borrow().seed_peers());
        if state.roster.prune(now) {
            state.is_roster_published = false;
        }
        let mut addresses = state.roster.addresses();
        addresses.remove(&self.own_member.peers);
        let entry_count = self.subscribers.entry_count();
        let is_changed = !state.is_roster_published;
        if is_changed || tick.is_multiple_of(LIVENESS_INTERVAL_TICKS) {
            state.is_roster_published = true;
            let roster = Downstream::Roster(state.roster.sightings(now));
            self.subscribers.send_cores(&roster);
            if is_changed || tick.is_multiple_of(ENTRY_REPORT_INTERVAL_TICKS) {
                self.subscribers.send_entries(&roster);
            }
            self.replica.set_pool(self.voter_pool(&state.roster));
        }
        if state.entry_count != entry_count {
            state.entry_count = entry_count;
            self.subscribers
                .send_entries(&Downstream::EntryCount(entry_count, UNDERSTANDS_LEASES));
        }
        drop(state);
        if tick.is_multiple_of(WAYS_INTERVAL_TICKS) {
            self.subscribers.publish_ways();
        }
        self.connections.set(&addresses, self);
    }

    /// Returns the instances that may replicate the log, and the number of voters that tolerates the configured
    /// losses.
    fn voter_pool(&self, roster: &Roster) -> Pool {
        let instances = roster
            .members()
            .map(|member| (member.instance.clone(), member.domain.clone()));
        Pool {
            instances: instances.collect(),
            size: self.losses * 2 + 1,
            replace_after: VOTER_TIMEOUT,
        }
    }

    fn tick_leader(&self, now: Point) {
        let leading_term = self.replica.leading_term(now);
        let mut state = self.state.borrow_mut();
        if state.leading_term == leading_term {
            return;
        }
        state.leading_term = leading_term;
        drop(state);
        log::info!(step = "lead", term = leading_term.map_or(0, |term| term.0), leads = leading_term.is_some(); "leadership changed");
        let leadership = leading_term.map(|term| {
            let Bounds {
                handover_interval,
                is_fenced,
                ..
            } = self.settings.borrow().bounds;
            let pause = if term == FIRST_TERM {
                FIRST_SETTLE_TIME
            } else if is_fenced {
                // Only the targets to which the last leader has just sent an order have to wait.
                Duration::ZERO
            } else {
                // Also after a start of this instance: the previous leader may not have been restarted with it, and
                // these targets don't refuse its orders.
                handover_interval
            };
            Leadership {
                fence: Fence {
                    holder: self.own_member.instance.clone(),
                    term,
                },
                orders_from: now + pause,
                plans_from: now + pause.max(SETTLE_TIME),
            }
        });
        self.controller.set_leadership(leadership);
        self.subscribers.send(&Downstream::Leadership(leading_term));
    }

    /// Returns the newest routes if this replica knows the leader and has applied all committed entries.
    fn confirmed(&self, above: Option<Revision>) -> Option<Text> {
        let status = self.replica.status();
        let has_leader = status.leader.is_some() && status.role != Role::Stopped;
        let is_current = status.applied >= status.commit;
        if !has_leader || !is_current {
            return None;
        }
        self.replica.newest(above)
    }

    /// Publishes the routes in force to all subscribers if they have changed.
    pub(crate) fn publish_routes(&self) {
        let known_version = self.state.borrow().routes_version;
        let Some(text) = self.confirmed(known_version) else {
            return;
        };
        self.state.borrow_mut().routes_version = Some(text.version);
        match self.platform.decode_document(&text.body) {
            Ok(document) => {
                let services: BTreeSet<id::Service> = document.services.keys().cloned().collect();
                let mut state = self.state.borrow_mut();
                state.see_routes(&document, text.version, self.clock.now());
                state
                    .registry
                    .retain_services(|service| services.contains(service));
                state.services = Some(services);
                drop(state);
                self.controller.set_document(Rc::new(document));
            }
            Err(error) => {
                // Entry instances couldn't decode them either.
                log::error!(step = "routes", version = text.version.0; "accepted routes can't be decoded, the previous ones stay in force: {error}");
                return;
            }
        }
        log::info!(step = "routes", version = text.version.0; "routes are in force");
        self.subscribers.send(&Downstream::Routes(text));
    }

    fn publish_liveness(&self, tick: u64, now: Point) {
        let liveness = self.recent_contacts(LIVENESS_INTERVAL_TICKS, now);
        if !liveness.is_empty() {
            self.subscribers.send_cores(&Downstream::Liveness(liveness));
        }
        if tick.is_multiple_of(ENTRY_REPORT_INTERVAL_TICKS) {
            let liveness = self.recent_contacts(ENTRY_REPORT_INTERVAL_TICKS, now);
            if !liveness.is_empty() {
                self.subscribers
                    .send_entries(&Downstream::Liveness(liveness));
            }
        }
    }

    /// Returns the targets that have contacted this instance within the last ticks.
    fn recent_contacts(&self, ticks: u64, now: Point) -> Vec<Liveness> {
        let state = self.state.borrow();
        let recent = TICK_INTERVAL * u32::try_from(ticks).unwrap_or(1);
        let contacts = state
            .last_contact
            .iter()
            .filter(|(_, at)| now.since(**at) <= recent);
        let liveness = contacts.filter_map(|(target, at)| {
            let entry = state.registry.get(target)?;
            Some(Liveness {
                target: target.clone(),
                incarnation: entry.announcement.incarnation,
                age: now.since(*at),
            })
        });
        liveness.collect()
    }

    /// Returns the control address of the leader, if it is another instance.
    pub(crate) fn leader(&self) -> Option<SocketAddr> {
        let leader = self.replica.status().leader?;
        let state = self.state.borrow();
        let member = state.roster.get(&leader)?;
        (member.instance != self.own_member.instance).then_some(member.control)
    }

    /// Returns whether the routes in force contain a service. Always true until this instance has routes.
    pub(crate) fn has_service(&self, service: &id::Service) -> bool {
        let state = self.state.borrow();
        let services = state.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Merges an update about a target into the registry, and forwards it to all subscribers if it is new.
    pub(crate) fn merge(&self, update: Update, is_first_hand: bool) -> Merge {
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        if is_first_hand {
            let target = update.announcement.target.clone();
            state.last_contact.insert(target, now);
        }
        state.see_version(&update.announcement.target, now);
        let merge = state.registry.merge(update.clone(), Duration::ZERO, now);
        let Announcement {
            target,
            incarnation,
            ..
        } = &update.announcement;
        if is_first_hand {
            // The call is a sign of life, also if its announcement is late or as old as a restored one.
            state.registry.record_alive(target, *incarnation, now);
        }
        let entry = state.registry.get(target);
        if entry.is_some_and(Entry::is_ready) {
            state.departures.forget(target);
        }
        state.see_version(&update.announcement.target, now);
        drop(state);
        self.clear(variant_of(&update.announcement), now);
        if matches!(merge, Merge::Changed | Merge::Inventory) {
            log::info!(
                step = "target",
                target:% = update.announcement.target,
                born = update.announcement.incarnation.0,
                sequence = update.announcement.sequence,
                state:? = update.announcement.state,
                withdrawn = update.withdrawn,
                is_first_hand = is_first_hand;
                "target changed"
            );
            self.pass_on(update, merge, is_first_hand);
        }
        merge
    }

    /// Marks a target as withdrawn, tells the entry instances, and returns the update for the rest of the core.
    pub(crate) fn withdraw(&self, target: &id::Target) -> Option<Update> {
        let now = self.clock.now();
        let update = self.state.borrow_mut().registry.withdraw(target, now)?;
        log::info!(step = "target", target:% = target, born = update.announcement.incarnation.0; "target withdrew");
        self.subscribers
            .send_entries(&Downstream::targets(vec![update.clone()]));
        Some(update)
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
                            Err(error) => {
                                log::warn!(step = "accept"; "connection of an instance closed: {error}")
                            }
                        }
                    });
                }
                Err(error) => {
                    log::warn!(step = "accept"; "accepting a connection of an instance failed, retrying: {error}");
                    sleep(TICK_INTERVAL).await;
                }
            }
        }
    }

    async fn serve(self: Rc<Self>, link: Link<Upstream, Downstream>) {
        let (instance, member, way) = match timeout(HELLO_TIMEOUT, link.inbox.recv_async()).await {
            Ok(Ok(Upstream::Entry(instance, way))) => {
                log::info!(step = "hello", peer:% = instance; "entry instance connected");
                (instance, None, way)
            }
            Ok(Ok(Upstream::Core(member))) => {
                log::info!(step = "hello", peer:% = member.instance; "instance of the core connected");
                (member.instance.clone(), Some(member), None)
            }
            _ => return,
        };
        let core = member.as_ref().map(|member| member.instance.clone());
        let removed = Rc::new(Notify::new());
        let number = self.subscribers.add(Subscriber {
            outbox: link.outbox.clone(),
            instance,
            is_core: core.is_some(),
            way,
            sent_ways: Vec::new(),
            removed: Rc::clone(&removed),
        });
        self.send_state(&link.outbox, member);
        loop {
            let message = tokio::select! {
                biased;
                () = removed.notified() => break,
                message = link.inbox.recv_async() => message,
            };
            let Ok(message) = message else { break };
            self.receive(core.as_ref(), message, number, &link.outbox);
        }
        self.controller.cancel_permits(number);
        self.subscribers.remove(number);
        if core.is_none() {
            self.controller.lose_borrower(number);
        }
    }

    /// Sends the full state to a new subscriber.
    fn send_state(&self, outbox: &Outbox<Downstream>, member: Option<Member>) {
        let now = self.clock.now();
        let is_entry = member.is_none();
        let mut state = self.state.borrow_mut();
        if let Some(member) = member
            && state.roster.record(&member, now)
        {
            state.is_roster_published = false;
        }
        let mut updates = state.registry.updates();
        if is_entry {
            let updates_for_entry = updates.iter().filter(|update| state.is_told(update));
            updates = updates_for_entry.map(for_entry).collect();
        }
        let mut messages = vec![
            Downstream::Roster(state.roster.sightings(now)),
            Downstream::EntryCount(state.entry_count, UNDERSTANDS_LEASES),
            Downstream::targets(updates),
            Downstream::Leadership(state.leading_term),
            Downstream::Placements(self.controller.placements()),
        ];
        let limits = self.controller.limits();
        if !limits.is_empty() {
            // Before the routes, as the quarantines.
            messages.push(Downstream::Limits(limits));
        }
        let quarantines = state.crashes.notices(now);
        if !quarantines.is_empty() {
            // Before the routes, without which an entry instance sends no request.
            messages.push(Downstream::Quarantines(quarantines));
        }
        drop(state);
        messages.extend(self.confirmed(None).map(Downstream::Routes));
        for message in messages {
            // The reader of the connection detects its end.
            let _ = outbox.send(&message);
        }
    }

    fn receive(
        self: &Rc<Self>,
        from: Option<&id::Instance>,
        message: Upstream,
        subscriber: u64,
        outbox: &Outbox<Downstream>,
    ) {
        match message {
            Upstream::Log(message) => {
                if let Some(from) = from {
                    self.replica.deliver(from.clone(), *message);
                }
            }
            Upstream::Acknowledge {
                target,
                incarnation,
            } => {
                if let Some(from) = from {
                    let departure = Departure {
                        target,
                        incarnation,
                    };
                    self.record_stored(&departure, from);
                }
            }
            Upstream::Demand(rows, occupancy) => {
                self.controller.add_demand(&rows);
                self.controller.record_occupancy(subscriber, &occupancy);
            }
            Upstream::CopyRequest { number, item } => {
                let controller = Rc::clone(&self.controller);
                let outbox = outbox.clone();
                tokio::task::spawn_local(async move {
                    let grant = controller.request_copy(&item).await;
                    let _ = outbox.send(&Downstream::CopyGrant { number, grant });
                });
            }
            Upstream::PermitRequest { number, request } => {
                let requester = Requester {
                    subscriber,
                    number,
                    outbox: outbox.clone(),
                };
                self.controller.request_permit(requester, request);
            }
            Upstream::Unreachable {
                target,
                incarnation,
            } => self.controller.check(target, incarnation),
            Upstream::Crash(evidence) => self.record_crash(evidence),
            Upstream::Progress(parts) => self.record_progress(parts),
            Upstream::Quarantines(notices) => self.merge_quarantines(&notices),
            Upstream::Limit(report) => self.controller.record_limit(&report),
            Upstream::GrantRequest { number, request } => {
                let answer = self.controller.request_grant(&request);
                if let Some(answer) = answer {
                    // An entry instance that has disconnected needs no answer.
                    let _ = outbox.send(&Downstream::Grant { number, answer });
                }
            }
            Upstream::Origins(records) => self.record_origins(records),
            Upstream::OriginRequest {
                number,
                key,
                service,
            } => self.answer_origin(number, key, service, outbox),
            Upstream::ConfirmRequest { number } => {
                self.inquiries.add(subscriber, number, outbox.clone());
            }
            Upstream::Credit(claim) => self.answer_claim(subscriber, &claim, outbox),
            Upstream::LeaseRequest { asked_at } => {
                if let Some(from) = from {
                    self.answer_lease(from, asked_at, outbox);
                }
            }
            Upstream::Withdrawal { number, variant } => {
                if let Some(from) = from {
                    self.withdraw_copy(from, number, variant, outbox);
                }
            }
            Upstream::Recovery { age } => {
                if let Some(from) = from {
                    self.answer_recovery(from, age, outbox);
                }
            }
            Upstream::CancelPermit { number } => self.controller.cancel_permit(subscriber, number),
            Upstream::Core(member) => {
                let now = self.clock.now();
                self.state.borrow_mut().roster.record(&member, now);
            }
            Upstream::Entry(..) => {}
        }
    }
}
