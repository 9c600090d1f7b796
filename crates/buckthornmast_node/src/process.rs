//! Life cycle of a process: start, reload of settings, stop.

use std::{
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_forward::{
    memory::Memory,
    receive::Intake,
    server::{Bounds, Phase, Server},
    tunnel::{self, Tunnels},
};
use buckthornmast_logging::queue;
use signal_hook::{
    consts::{SIGHUP, SIGINT, SIGTERM},
    iterator::Signals,
};
use snafu::{ResultExt, Snafu};
use tokio::{
    net::{TcpListener, TcpSocket},
    task::LocalSet,
    time::{Instant, sleep, sleep_until},
};

use crate::{
    control::Control,
    core::Core,
    entry::{Entry, Ready},
    explain::Explainer,
    http,
    observe::Metrics,
    platform::Platform,
    settings::{Service, Settings},
};

/// Interval at which the settings file is read again, since it may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a stopping instance still accepts connections, until new callers are no longer sent to it.
const LINGER_TIME: Duration = Duration::from_millis(2500);

/// Part of the grace period that is reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(600);

/// Interval at which the number of open connections is polled during a stop.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Connections to the servers for metrics and readiness, each of which has a few clients.
const SMALL_CONNECTIONS: usize = 32;

/// Memory for bodies of requests to these servers, which need none, in bytes.
const SMALL_SERVER_BYTES: usize = 1 << 20;

/// The number of file descriptors divided by this is the number of tunnels that an entry instance carries for others. Each
/// takes two descriptors, half of those that are reserved for targets, instances and files.
const DESCRIPTORS_PER_TUNNEL: usize = 12;

/// Reason why a process can't start, or why changed settings are refused.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings can't be read.
    #[snafu(display("reading the settings file {} failed: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The settings have faults.
    #[snafu(display("the settings have faults: {}", faults.join("; ")))]
    Settings {
        /// Faults.
        faults: Vec<String>,
    },
    /// A part of the process can't be started, such as a listener.
    #[snafu(display("starting {step} failed: {source}"))]
    Start {
        /// Part.
        step: &'static str,
        /// Cause.
        source: io::Error,
    },
}

/// Reads and checks settings.
pub fn read_settings(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let file = path.display().to_string();
    Settings::parse(&file, &text).map_err(|faults| Error::Settings {
        faults: faults.iter().map(ToString::to_string).collect(),
    })
}

/// Receiver of signals.
struct Watcher {
    signals: flume::Receiver<i32>,
    handle: signal_hook::iterator::Handle,
    thread: Option<JoinHandle<()>>,
}

impl Watcher {
    fn start() -> io::Result<Self> {
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        let handle = signals.handle();
        let (sender, receiver) = flume::unbounded();
        let thread = thread::Builder::new()
            .name("signals".to_owned())
            .spawn(move || {
                for signal in signals.forever() {
                    if sender.send(signal).is_err() {
                        return;
                    }
                }
            })?;
        Ok(Self {
            signals: receiver,
            handle,
            thread: Some(thread),
        })
    }
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.handle.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the process until it receives SIGTERM or SIGINT, or fails to start.
pub fn run<P: Platform>(platform: P, path: &Path) -> Result<(), Error> {
    // Registered first, so that an early signal is not lost.
    let watcher = Watcher::start().context(StartSnafu {
        step: "the signal handlers",
    })?;
    let settings = read_settings(path)?;
    let _log = buckthornmast_logging::start_queued(queue::RateLimit::default())
        .context(StartSnafu { step: "logging" })?;
    log::info!(
        step = "start",
        instance:% = settings.instance,
        domain:% = settings.domain,
        version = env!("CARGO_PKG_VERSION");
        "process starts"
    );
    if let Some(warning) = settings.warning() {
        log::warn!(step = "start"; "{warning}");
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu {
            step: "the async runtime",
        })?;
    let tasks = LocalSet::new();
    let result = runtime.block_on(tasks.run_until(serve(platform, settings, path, &watcher)));
    match &result {
        Ok(()) => log::info!(step = "stop"; "process stops"),
        Err(error) => log::error!(step = "stop"; "process stops: {error}"),
    }
    result
}

async fn serve<P: Platform>(
    platform: P,
    settings: Settings,
    path: &Path,
    watcher: &Watcher,
) -> Result<(), Error> {
    let metrics = Metrics::install().context(StartSnafu {
        step: "the metrics recorder",
    })?;
    let listener = listen(settings.metrics).context(StartSnafu {
        step: "the metrics listener",
    })?;
    let intake = Rc::new(Intake::new(Memory::new(SMALL_SERVER_BYTES)));
    match settings.service.clone() {
        Service::Entry {
            callers,
            ready,
            tunnels,
            ..
        } => {
            let entry = Entry::new(platform, settings.clone());
            let explainer = Explainer {
                metrics,
                entry: Rc::clone(&entry),
            };
            let _metrics = http::start(
                listener,
                Rc::new(explainer),
                SMALL_CONNECTIONS,
                Rc::clone(&intake),
            );
            let ready = listen(ready).context(StartSnafu {
                step: "the readiness listener",
            })?;
            let _ready = http::start(
                ready,
                Rc::new(Ready(Rc::clone(&entry))),
                SMALL_CONNECTIONS,
                intake,
            );
            let callers = listen(callers).context(StartSnafu {
                step: "the listener for callers",
            })?;
            let bounds = Bounds {
                connections: entry.budget().connections,
                idle: Duration::from_secs(15),
            };
            let server = Server::start(callers, bounds, Rc::clone(&entry.forwarder));
            let tunnels = match tunnels {
                Some(address) => {
                    let listener = listen(address).context(StartSnafu {
                        step: "the listener for tunnels",
                    })?;
                    let most = settings.bounds.descriptors / DESCRIPTORS_PER_TUNNEL;
                    let forwarder = Rc::clone(&entry.forwarder);
                    Some(tunnel::Server::start(
                        listener,
                        entry.key(),
                        most,
                        forwarder,
                    ))
                }
                None => None,
            };
            tokio::task::spawn_local(Rc::clone(&entry).run());
            wait_for_stop(path, watcher, settings.clone(), |settings| {
                entry.set_settings(settings);
            })
            .await;
            let tunnels = tunnels.as_ref().map(|server| &*server.tunnels);
            stop_entry(&entry, &server, tunnels, settings.bounds.grace).await;
        }
        Service::Core { control, peers, .. } => {
            let _metrics = http::start(listener, Rc::new(metrics), SMALL_CONNECTIONS, intake);
            let core =
                Core::new(platform, settings.clone()).context(StartSnafu { step: "the core" })?;
            let peers = listen(peers).context(StartSnafu {
                step: "the listener for other instances",
            })?;
            tokio::task::spawn_local(Rc::clone(&core).listen(peers));
            let control = listen(control).context(StartSnafu {
                step: "the listener for targets and operators",
            })?;
            let connections = settings.bounds.connections();
            let bodies = Memory::new(http::bodies_bytes(settings.bounds.memory_bytes()));
            let intake = Rc::new(Intake::new(bodies));
            let handler = Rc::new(Control(Rc::clone(&core)));
            let _control = http::start(control, handler, connections, intake);
            tokio::task::spawn_local(Rc::clone(&core).run());
            wait_for_stop(path, watcher, settings, |settings| {
                core.set_settings(settings)
            })
            .await;
            core.replica.stop();
        }
    }
    Ok(())
}

fn listen(address: std::net::SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Waits for a signal to stop, and passes on settings that have changed.
async fn wait_for_stop(
    path: &Path,
    watcher: &Watcher,
    mut current: Settings,
    apply: impl Fn(Settings),
) {
    loop {
        let is_hup = tokio::select! {
            signal = watcher.signals.recv_async() => match signal {
                Ok(SIGHUP) => true,
                Ok(signal) => {
                    log::info!(step = "stop", signal = signal; "received a signal to stop");
                    return;
                }
                Err(_) => return,
            },
            () = sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        match read_settings(path) {
            Ok(settings) if settings != current => {
                log::info!(step = "reload", seeds:? = settings.seeds, is_hup = is_hup; "settings changed");
                current = settings.clone();
                apply(settings);
            }
            Ok(_) => {
                if is_hup {
                    log::info!(step = "reload", is_hup = is_hup; "settings are unchanged");
                }
            }
            Err(error) => {
                log::warn!(step = "reload"; "changed settings were refused: {error}");
            }
        }
    }
}

/// Waits within the grace period until the requests in progress have ended.
async fn stop_entry<P: Platform>(
    entry: &Entry<P>,
    server: &Server,
    tunnels: Option<&Tunnels>,
    grace: Duration,
) {
    let started = Instant::now();
    let closed_after = grace.saturating_sub(EXIT_RESERVE);
    entry.begin_stop(closed_after);
    server.set_phase(Phase::Closing);
    if let Some(tunnels) = tunnels {
        tunnels.stop();
    }
    sleep(LINGER_TIME.min(grace / 3)).await;
    server.set_phase(Phase::Closed);
    let end = started + closed_after;
    let open = || server.connections() + tunnels.map_or(0, Tunnels::count);
    while open() > 0 && Instant::now() < end {
        sleep_until((Instant::now() + DRAIN_POLL_INTERVAL).min(end)).await;
    }
    log::info!(step = "stop", connections = server.connections(), tunnels = tunnels.map_or(0, Tunnels::count); "finished waiting for the connections of callers and the tunnels of other instances to end");
}
