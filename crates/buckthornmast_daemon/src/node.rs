//! Assembly of one instance.

mod open;

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use buckthornmast_config::daemon::Settings;
use buckthornmast_controller::journal::{Incarnation, Journal};
use buckthornmast_gateway::{
    deadline::Bounds,
    gateway::{Gateway, Limits, Parts},
};
use buckthornmast_http::{
    exchange::Exchange,
    response::Response,
    server::{self, Config},
};
use buckthornmast_membership::message::Progress;
use buckthornmast_target::mapping::Http;
use buckthornmast_types::{id, time::System};
use buckthornmast_wire::key::Key;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use snafu::Snafu;

use crate::{
    claims::{self, Claims},
    confirm::Confirmed,
    control::{Control, Dependencies},
    current::Current,
    demand::Demand,
    descriptors::{self, Shares},
    follow,
    freshness::Freshness,
    leader::{self, Leader},
    message::millis,
    node::open::{start_membership, start_peers, start_replica},
    observe::Samples,
    operators::Operators,
    peers::{Handler, Peers, Replica},
    plan::Planner,
    propose::Proposer,
    receive::Receiver,
    reports::{self, Reports},
    router::{self, Router},
    shadow::Shadows,
    summary::{self, Replicated, Summary},
    targets::{self, Targets},
};

/// Time from the end of an instance's readiness to the closing of its callers' port, in which the load balancer
/// notices.
const UNREADY_DELAY: Duration = Duration::from_millis(1500);

/// Reason why an instance does not start.
#[derive(Debug, Snafu)]
#[snafu(display("{operation} failed: {source}"))]
pub struct StartError {
    operation: &'static str,
    source: Box<dyn std::error::Error + Send + Sync>,
}

/// Returns a function that wraps the error of an operation.
fn failed<E>(operation: &'static str) -> impl FnOnce(E) -> StartError
where
    E: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    move |error| StartError {
        operation,
        source: error.into(),
    }
}

/// Implementations that the gateway runs with.
struct GatewayTypes;

impl Parts for GatewayTypes {
    type Targets = Http;
    type Router = Router;
    type Claims = Claims;
    type Observer = Samples;
    type Clock = System;
}

/// Running instance.
pub struct Node {
    ready: Arc<AtomicBool>,
    caller_server: server::Handle,
    operator_server: server::Handle,
    target_server: server::Handle,
    targets: Targets,
    recorders: claims::Recorders,
    updater: router::Updater,
    control: Control,
    relay: targets::Relay,
    follower: follow::Follower,
    reporter: reports::Handle,
    watch: Option<leader::Watch>,
    membership: Arc<buckthornmast_membership::Handle>,
    replica: Option<Arc<Replica>>,
    peers: buckthornmast_peer::Handle<Handler>,
}

fn listen(address: SocketAddr, operation: &'static str) -> Result<TcpListener, StartError> {
    TcpListener::bind(address).map_err(failed(operation))
}

/// Components that most others depend on.
struct Components {
    settings: Settings,
    shares: Shares,
    clock: System,
    ready: Arc<AtomicBool>,
    current: Current,
    targets: Targets,
    demand: Demand,
    peers: Peers,
    replica: Option<Arc<Replica>>,
    proposer: Proposer,
    control: Control,
    confirmed: Confirmed,
    views: follow::Views,
    reports: Reports,
}

fn others_of(settings: &Settings) -> Vec<id::Instance> {
    let peers = settings.peers.iter().map(|peer| peer.instance.clone());
    peers
        .filter(|instance| *instance != settings.instance)
        .collect()
}

impl Components {
    fn others(&self) -> Vec<id::Instance> {
        others_of(&self.settings)
    }

    /// Returns the other instances of the failure domain.
    fn domain_others(&self) -> Vec<id::Instance> {
        let candidates = self.settings.candidates(&self.settings.domain);
        candidates
            .filter(|peer| peer.instance != self.settings.instance)
            .map(|peer| peer.instance.clone())
            .collect()
    }

    fn own_summary(&self) -> summary::Source {
        let (current, ready) = (self.current.clone(), Arc::clone(&self.ready));
        let (control, replica) = (self.control.clone(), self.replica.clone());
        let (reports, confirmed) = (self.reports.clone(), self.confirmed.clone());
        Arc::new(move || Summary {
            revision: current.get().revision,
            ready: ready.load(Ordering::Relaxed) && current.get().revision > id::Revision(0),
            confirmed_ms: millis(confirmed.age()),
            replica: replica.as_ref().map(|replica| {
                let claims = replica.read(|state| state.claims().usage());
                Replicated::new(replica.status(), claims)
            }),
            controller: control.token(),
            moves: control.counters(),
            extract: reports.extract(),
        })
    }

    fn start_control(
        &self,
        leader: Option<Arc<Leader>>,
        journal: Arc<Mutex<Journal>>,
    ) -> Result<(), StartError> {
        let settings = &self.settings;
        let candidates = settings
            .candidates(&settings.domain)
            .map(|peer| peer.instance.clone());
        let others = candidates
            .filter(|instance| *instance != settings.instance)
            .collect();
        let planner = Planner {
            domain: settings.domain.clone(),
            current: self.current.clone(),
            targets: self.targets.clone(),
            demand: self.demand.clone(),
            clock: self.clock,
            teams: BTreeMap::new(),
            shadows: Shadows::new(self.reports.clone()),
        };
        let dependencies = Dependencies {
            me: settings.instance.clone(),
            domain: settings.domain.clone(),
            others,
            proposer: self.proposer.clone(),
            leader,
            peers: self.peers.clone(),
            journal,
            targets: self.targets.clone(),
            current: self.current.clone(),
            planner,
            token: settings.keys.targets.clone(),
            clock: self.clock,
        };
        self.control
            .start(dependencies)
            .map_err(failed("starting the controller"))
    }

    fn start_callers(
        &self,
    ) -> Result<(server::Handle, claims::Recorders, router::Updater), StartError> {
        let settings = &self.settings;
        let (claims, recorders) = claims::start(settings.instance.clone(), self.proposer.clone())
            .map_err(failed("starting the store of claims"))?;
        let limits = &settings.limits;
        let router = Arc::new(Router::new(
            settings.domain.clone(),
            settings.keys.targets.clone(),
            self.targets.clone(),
            self.current.clone(),
            self.demand.clone(),
            Freshness {
                views: Arc::clone(&self.views),
                voters: self.proposer.voters(),
            },
            self.clock,
        ));
        let updater = router::start(Arc::clone(&router)).map_err(failed("starting the router"))?;
        let body = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
        let gateway: Gateway<GatewayTypes, Current> = Gateway {
            targets: Http,
            router,
            claims,
            observer: Samples::new(self.reports.clone()),
            clock: self.clock,
            catalog_source: self.current.clone(),
            limits: Limits {
                max_body_bytes: body,
                default_deadline: limits.deadline,
                bounds: Bounds {
                    max_deadline: limits.max_deadline,
                    max_token_gap: limits.token_gap,
                },
            },
            is_ready: Arc::clone(&self.ready),
        };
        let config = Config {
            name: "callers".to_owned(),
            max_exchanges: self.shares.exchanges,
            max_connections: self.shares.connections,
            body_limit: body,
            ..Config::default()
        };
        let metrics = install_metrics();
        let handler = move |exchange: Exchange| match exchange.path() {
            "/metrics" => serve_metrics(exchange, metrics.as_ref()),
            _ => gateway.serve(exchange),
        };
        let listener = listen(settings.listen.callers, "binding the callers' port")?;
        let handle = server::start(listener, config, handler)
            .map_err(failed("starting the callers' server"))?;
        Ok((handle, recorders, updater))
    }

    fn start_operators(&self) -> Result<server::Handle, StartError> {
        let settings = &self.settings;
        let operators = Operators {
            me: settings.instance.clone(),
            others: self.others(),
            platform: settings.keys.platform_token_sha256.clone(),
            current: self.current.clone(),
            proposer: self.proposer.clone(),
            peers: self.peers.clone(),
            targets: self.targets.clone(),
            views: Arc::clone(&self.views),
            own_summary: self.own_summary(),
            clock: self.clock,
        };
        let config = Config {
            name: "operators".to_owned(),
            max_exchanges: 64,
            max_connections: self.shares.operators,
            ..Config::default()
        };
        let listener = listen(settings.listen.operators, "binding the operators' port")?;
        let handler = move |exchange| operators.serve(exchange);
        server::start(listener, config, handler).map_err(failed("starting the operators' server"))
    }

    fn start_reports(&self) -> Result<reports::Handle, StartError> {
        let dependencies = reports::Dependencies {
            domain: self.settings.domain.clone(),
            reports: self.reports.clone(),
            control: self.control.clone(),
            targets: self.targets.clone(),
            clock: self.clock,
        };
        reports::start(dependencies).map_err(failed("starting the reports"))
    }

    fn start_targets(&self) -> Result<server::Handle, StartError> {
        let targets = self.targets.clone();
        let config = Config {
            name: "targets".to_owned(),
            max_exchanges: 256,
            max_connections: self.shares.targets,
            ..Config::default()
        };
        let listener = listen(self.settings.listen.targets, "binding the targets' port")?;
        let handler = move |exchange| targets.serve(exchange);
        server::start(listener, config, handler).map_err(failed("starting the targets' server"))
    }
}

/// Installs the metrics recorder; a second instance in the same process has none.
fn install_metrics() -> Option<PrometheusHandle> {
    PrometheusBuilder::new().install_recorder().ok()
}

fn serve_metrics(exchange: Exchange, metrics: Option<&PrometheusHandle>) {
    let text = metrics.map(PrometheusHandle::render).unwrap_or_default();
    let response = Response::new(200).header("Content-Type", "text/plain; version=0.0.4");
    if let Err(error) = exchange.respond(response.body(text)) {
        log::debug!(step = "metrics"; "answering a request for the metrics failed: {error}");
    }
}

/// Starts an instance.
pub fn start(settings: Settings) -> Result<Node, StartError> {
    let clock = System::start();
    let limit =
        descriptors::limit().map_err(failed("dividing the file descriptors among the ports"))?;
    let shares = descriptors::share(limit, &settings.limits)
        .map_err(failed("dividing the file descriptors among the ports"))?;
    log::info!(step = "descriptors"; "limit of {limit} file descriptors is divided into {shares:?}");
    let key: Key = settings
        .keys
        .cluster
        .parse()
        .map_err(failed("reading the cluster key"))?;
    let (current, ready) = (Current::default(), Arc::new(AtomicBool::new(false)));
    let handler = Arc::new(Handler::default());
    let peer_handle = start_peers(&settings, &key, Arc::clone(&handler))?;
    let peers = peer_handle.client();
    let replica = start_replica(&settings, &peers, clock)?;
    let membership = start_membership(&settings, &key, clock, {
        let (current, replica, ready) = (current.clone(), replica.clone(), Arc::clone(&ready));
        move || Progress {
            revision: current.get().revision,
            log_index: replica
                .as_ref()
                .map(|replica| replica.status().applied)
                .unwrap_or_default(),
            is_ready: ready.load(Ordering::Relaxed),
        }
    })?;
    let membership = Arc::new(membership);
    let views: follow::Views = {
        let membership = Arc::clone(&membership);
        Arc::new(move || membership.view())
    };
    let voters = settings.peers.iter().filter(|peer| peer.is_voter);
    let voters = voters.map(|peer| peer.instance.clone()).collect();
    let me = settings.instance.clone();
    let proposer = Proposer::new(me, voters, replica.clone(), peers.clone(), clock);
    let components = Components {
        clock,
        ready,
        reports: Reports::new(current.clone()),
        current,
        targets: Targets::new(clock),
        demand: Demand::new(clock, others_of(&settings)),
        peers,
        replica,
        proposer,
        control: Control::default(),
        confirmed: Confirmed::new(clock),
        views,
        shares,
        settings,
    };
    assemble(components, &handler, peer_handle, membership)
}

fn assemble(
    components: Components,
    handler: &Handler,
    peers: buckthornmast_peer::Handle<Handler>,
    membership: Arc<buckthornmast_membership::Handle>,
) -> Result<Node, StartError> {
    let me = components.settings.instance.clone();
    let leader = components
        .replica
        .as_ref()
        .map(|replica| Arc::new(Leader::new(me, Arc::clone(replica), components.clock)));
    let watch = leader
        .clone()
        .map(leader::watch)
        .transpose()
        .map_err(failed("starting the grantor of leases"))?;
    let journal = Arc::new(Mutex::new(Journal::new(Incarnation(rand::random()))));
    handler.set(Arc::new(Receiver {
        current: components.current.clone(),
        replica: components.replica.clone(),
        leader: leader.clone(),
        peers: components.peers.clone(),
        targets: components.targets.clone(),
        demand: components.demand.clone(),
        journal: Arc::clone(&journal),
        control: components.control.clone(),
        confirmed: components.confirmed.clone(),
        own_summary: components.own_summary(),
    }));
    let follower = follow::start(follow::Dependencies {
        domain: components.settings.domain.clone(),
        current: components.current.clone(),
        replica: components.replica.clone(),
        peers: components.peers.clone(),
        views: Arc::clone(&components.views),
        me: components.settings.instance.clone(),
        voters: components.proposer.voters(),
        confirmed: components.confirmed.clone(),
    })
    .map_err(failed("starting the follower of the settings"))?;
    let relay = targets::relay(
        components.targets.clone(),
        components.demand.clone(),
        components.peers.clone(),
        components.others(),
        components.domain_others(),
    )
    .map_err(failed("starting the relay of reports"))?;
    components.start_control(leader, journal)?;
    let reporter = components.start_reports()?;
    let target_server = components.start_targets()?;
    let operator_server = components.start_operators()?;
    let (caller_server, recorders, updater) = components.start_callers()?;
    components.ready.store(true, Ordering::Relaxed);
    log::info!(step = "start", callers:% = caller_server.address(); "instance started");
    Ok(Node {
        ready: components.ready,
        caller_server,
        operator_server,
        target_server,
        targets: components.targets,
        recorders,
        updater,
        control: components.control,
        relay,
        follower,
        reporter,
        watch,
        membership,
        replica: components.replica,
        peers,
    })
}

impl Node {
    /// Stops gracefully: readiness first, so that the load balancer notices, then callers, the lease and the rest.
    pub fn stop(mut self) {
        self.ready.store(false, Ordering::Relaxed);
        thread::sleep(UNREADY_DELAY);
        self.caller_server.stop();
        self.recorders.stop();
        self.targets.end_subscriptions();
        self.updater.stop();
        self.control.stop();
        self.operator_server.stop();
        self.target_server.stop();
        self.relay.stop();
        self.follower.stop();
        self.reporter.stop();
        if let Some(watch) = &mut self.watch {
            watch.stop();
        }
        if let Some(membership) = Arc::into_inner(self.membership) {
            membership.stop();
        }
        if let Some(replica) = &self.replica {
            replica.stop();
        }
        self.peers.stop();
    }
}
