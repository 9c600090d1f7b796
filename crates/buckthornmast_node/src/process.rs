//! Life of a process: start, changed settings, stop.

use std::{
    fs, io,
    path::{Path, PathBuf},
    rc::Rc,
    thread::{self, JoinHandle},
    time::Duration,
};

use buckthornmast_forward::server::{Bounds, Phase, Server};
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
    http,
    observe::Metrics,
    platform::Platform,
    settings::{Service, Settings},
};

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS: Duration = Duration::from_secs(1);

/// Time for which an instance that stops still takes requests, until nobody sends it new callers.
const LINGER: Duration = Duration::from_millis(2500);

/// Part of the grace that is left for the end of the process.
const LAST: Duration = Duration::from_millis(600);

/// Pause between two looks at whether all connections have ended.
const END_PAUSE: Duration = Duration::from_millis(50);

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// File descriptors that callers' connections leave for targets, instances and files, as a share.
const RESERVE: usize = 3;

/// Reason why a process ends.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings can't be read.
    #[snafu(display("settings {}: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The settings have faults.
    #[snafu(display("settings: {}", faults.join("; ")))]
    Settings {
        /// Faults.
        faults: Vec<String>,
    },
    /// A part of the process can't be started.
    #[snafu(display("starting {step}: {source}"))]
    Start {
        /// Part.
        step: &'static str,
        /// Cause.
        source: io::Error,
    },
}

/// Reads and checks settings.
pub fn read(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let file = path.display().to_string();
    Settings::parse(&file, &text).map_err(|faults| Error::Settings {
        faults: faults.iter().map(ToString::to_string).collect(),
    })
}

/// Signals as they arrive.
struct Watch {
    signals: flume::Receiver<i32>,
    handle: signal_hook::iterator::Handle,
    thread: Option<JoinHandle<()>>,
}

impl Watch {
    fn start() -> io::Result<Self> {
        let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
        let handle = signals.handle();
        let (sender, received) = flume::unbounded();
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
            signals: received,
            handle,
            thread: Some(thread),
        })
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.handle.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Runs the process until it is told to stop.
pub fn run<P: Platform>(platform: P, path: &Path) -> Result<(), Error> {
    // Registered first, so that an early signal is not lost.
    let watch = Watch::start().context(StartSnafu { step: "signals" })?;
    let settings = read(path)?;
    let _log = buckthornmast_logging::start_queued(queue::Bounds::default())
        .context(StartSnafu { step: "logging" })?;
    log::info!(
        step = "start",
        instance:% = settings.instance,
        domain:% = settings.domain,
        version = env!("CARGO_PKG_VERSION");
        "process starts"
    );
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(StartSnafu { step: "runtime" })?;
    let tasks = LocalSet::new();
    let result = runtime.block_on(tasks.run_until(serve(platform, settings, path, &watch)));
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
    watch: &Watch,
) -> Result<(), Error> {
    let metrics = Metrics::install().context(StartSnafu { step: "metrics" })?;
    let listener = listen(settings.metrics).context(StartSnafu { step: "metrics" })?;
    let _metrics = http::start(listener, Rc::new(metrics));
    match settings.service.clone() {
        Service::Entry { callers, ready } => {
            let entry = Entry::new(platform, settings.clone());
            let ready = listen(ready).context(StartSnafu { step: "readiness" })?;
            let _ready = http::start(ready, Rc::new(Ready(Rc::clone(&entry))));
            let callers = listen(callers).context(StartSnafu { step: "callers" })?;
            let bounds = Bounds {
                connections: settings.bounds.descriptors / RESERVE * (RESERVE - 1),
                idle: Duration::from_secs(15),
            };
            let server = Server::start(callers, bounds, Rc::clone(&entry.forwarder));
            tokio::task::spawn_local(Rc::clone(&entry).run());
            wait_for_stop(path, watch, settings.clone(), |settings| {
                entry.set_settings(settings);
            })
            .await;
            stop_entry(&entry, &server, settings.bounds.grace).await;
        }
        Service::Core { control, peers, .. } => {
            let core =
                Core::new(platform, settings.clone()).context(StartSnafu { step: "core" })?;
            let peers = listen(peers).context(StartSnafu { step: "peers" })?;
            tokio::task::spawn_local(Rc::clone(&core).listen(peers));
            let control = listen(control).context(StartSnafu { step: "control" })?;
            let _control = http::start(control, Rc::new(Control(Rc::clone(&core))));
            tokio::task::spawn_local(Rc::clone(&core).run());
            wait_for_stop(path, watch, settings, |settings| {
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
    socket.listen(BACKLOG)
}

/// Waits for a signal to stop, and passes on settings that have changed.
async fn wait_for_stop(
    path: &Path,
    watch: &Watch,
    mut current: Settings,
    change: impl Fn(Settings),
) {
    loop {
        let is_hup = tokio::select! {
            signal = watch.signals.recv_async() => match signal {
                Ok(SIGHUP) => true,
                Ok(signal) => {
                    log::info!(step = "stop", signal = signal; "told to stop");
                    return;
                }
                Err(_) => return,
            },
            () = sleep(SETTINGS) => false,
        };
        match read(path) {
            Ok(settings) if settings != current => {
                log::info!(step = "reload", seeds:? = settings.seeds, is_hup = is_hup; "settings changed");
                current = settings.clone();
                change(settings);
            }
            Ok(_) => {
                if is_hup {
                    log::info!(step = "reload", is_hup = is_hup; "settings are the same");
                }
            }
            Err(error) => {
                log::warn!(step = "reload"; "changed settings are not used: {error}");
            }
        }
    }
}

/// Lets requests in progress end, within the grace.
async fn stop_entry<P: Platform>(entry: &Entry<P>, server: &Server, grace: Duration) {
    let started = Instant::now();
    entry.begin_stop();
    server.set_phase(Phase::Closing);
    sleep(LINGER.min(grace / 3)).await;
    server.set_phase(Phase::Closed);
    let end = started + grace.saturating_sub(LAST);
    while server.connections() > 0 && Instant::now() < end {
        sleep_until((Instant::now() + END_PAUSE).min(end)).await;
    }
    log::info!(step = "stop", connections = server.connections(); "connections of callers ended");
}
