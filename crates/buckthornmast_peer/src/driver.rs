//! Runtime with the server and one client per peer.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use jsonrpsee::server::{ServerHandle, stop_channel};
use snafu::ResultExt;
use tokio::{
    net::TcpListener,
    runtime::{Builder, Runtime},
    sync::Semaphore,
};

use buckthornmast_types::id;

use crate::{
    client::{Link, encode_call},
    config::{Config, Limits},
    error::{CallError, StartError, StartSnafu, Step},
    handler::Handler,
    notice::{self, Outbox},
    server::{self, Service},
    stats,
};

/// Threads of the blocking pool in addition to those for calls, so that notices don't wait for calls.
const NOTICE_THREADS: usize = 16;

/// Time limit for each of two steps when the server stops: the end of accepting connections, and the end of the
/// requests in progress. Both are aborted after it.
const STOP_GRACE: Duration = Duration::from_secs(2);

/// Time after a call's timeout at which its caller stops waiting for the runtime.
const CALLER_GRACE: Duration = Duration::from_millis(200);

struct Remote<H: Handler> {
    link: Arc<Link>,
    outbox: Arc<Outbox<H::Notice>>,
}

struct Shared<H: Handler> {
    runtime: tokio::runtime::Handle,
    remotes: HashMap<id::Instance, Remote<H>>,
    limits: Limits,
    stopping: AtomicBool,
}

/// Client for calls and notices to the peers; cheap to clone and usable from every thread outside the runtime.
pub struct Client<H: Handler>(Arc<Shared<H>>);

impl<H: Handler> Clone for Client<H> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

fn fail<T>(
    peer: &id::Instance,
    step: Step,
    may_have_run: bool,
    detail: impl ToString,
) -> Result<T, CallError> {
    Err(CallError {
        step,
        peer: peer.clone(),
        may_have_run,
        detail: detail.to_string(),
    })
}

impl<H: Handler> Client<H> {
    /// Calls a peer and blocks until the response or the timeout.
    pub fn call(
        &self,
        to: &id::Instance,
        request: H::Request,
        timeout: Duration,
    ) -> Result<H::Response, CallError> {
        let Some(remote) = self.0.remotes.get(to) else {
            return fail(to, Step::Resolve, false, "not in the peer list");
        };
        let body = match encode_call(request, timeout) {
            Ok(body) if body.len() <= self.0.limits.max_body_bytes => body,
            Ok(_) => return fail(to, Step::Encode, false, "the request is too large"),
            Err(error) => return fail(to, Step::Encode, false, error),
        };
        if self.0.stopping.load(Ordering::SeqCst) {
            return fail(to, Step::Stop, false, "this instance is stopping");
        }
        let sent = Arc::new(AtomicBool::new(false));
        let (sender, receiver) = flume::bounded(1);
        let task = self.0.runtime.spawn({
            let (link, sent) = (remote.link.clone(), sent.clone());
            async move {
                let result = tokio::time::timeout(timeout, link.call(&body, &sent)).await;
                let _ = sender.send(result.ok());
            }
        });
        let label = remote.link.peer.counter_label;
        match receiver.recv_timeout(timeout.saturating_add(CALLER_GRACE)) {
            Ok(Some(Ok(response))) => Ok(response),
            Ok(Some(Err(failure))) => {
                stats::count("buckthornmast_peer_calls_failed_total", label, 1);
                fail(to, failure.step, failure.may_have_run, failure.detail)
            }
            Err(flume::RecvTimeoutError::Disconnected) => {
                let may_have_run = sent.load(Ordering::SeqCst);
                fail(to, Step::Stop, may_have_run, "this instance is stopping")
            }
            Ok(None) => {
                stats::count("buckthornmast_peer_calls_failed_total", label, 1);
                let may_have_run = sent.load(Ordering::SeqCst);
                fail(
                    to,
                    Step::Wait,
                    may_have_run,
                    format_args!("no answer within {timeout:?}"),
                )
            }
            // The runtime is too busy to cancel the task in time, so the call could still be sent.
            Err(flume::RecvTimeoutError::Timeout) => {
                task.abort();
                stats::count("buckthornmast_peer_calls_failed_total", label, 1);
                fail(
                    to,
                    Step::Wait,
                    true,
                    format_args!("no answer within {timeout:?}"),
                )
            }
        }
    }

    /// Queues a notice for a peer and returns at once; notices to unknown peers are dropped.
    pub fn notify(&self, to: &id::Instance, notice: H::Notice) {
        if let Some(remote) = self.0.remotes.get(to) {
            remote.outbox.push(notice);
        }
    }
}

/// Running server and clients.
pub struct Handle<H: Handler> {
    client: Client<H>,
    runtime: Runtime,
    server: ServerHandle,
    accepting: tokio::task::JoinHandle<()>,
}

impl<H: Handler> Handle<H> {
    /// Returns a client that other threads can keep.
    pub fn client(&self) -> Client<H> {
        self.client.clone()
    }

    /// Calls a peer; see [`Client::call`].
    pub fn call(
        &self,
        to: &id::Instance,
        request: H::Request,
        timeout: Duration,
    ) -> Result<H::Response, CallError> {
        self.client.call(to, request, timeout)
    }

    /// Queues a notice for a peer; see [`Client::notify`].
    pub fn notify(&self, to: &id::Instance, notice: H::Notice) {
        self.client.notify(to, notice);
    }

    /// Stops accepting connections, waits a short time for requests in progress, and joins all threads.
    ///
    /// Waits for running handlers. Calls that other threads still make fail with [`Step::Stop`].
    pub fn stop(self) {
        self.client.0.stopping.store(true, Ordering::SeqCst);
        let _ = self.server.stop();
        self.runtime.block_on(async {
            let _ = tokio::time::timeout(STOP_GRACE, self.accepting).await;
            let _ = tokio::time::timeout(STOP_GRACE, self.server.stopped()).await;
        });
        // Dropping the runtime cancels its tasks and joins its threads.
        drop(self.runtime);
    }
}

/// Pings idle connections of all links until the task is dropped.
async fn ping_idle(links: Vec<Arc<Link>>, interval: Duration) {
    let mut ticks = tokio::time::interval(interval.max(Duration::from_millis(3)) / 3);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        for link in &links {
            link.ping_idle();
        }
    }
}

/// Starts the server and the clients.
pub fn start<H: Handler>(config: Config, handler: Arc<H>) -> Result<Handle<H>, StartError> {
    let limits = config.limits;
    let runtime = Builder::new_multi_thread()
        .worker_threads(limits.worker_threads.max(1))
        .max_blocking_threads(limits.max_running_calls + NOTICE_THREADS)
        .thread_name("peer")
        .enable_all()
        .build()
        .context(StartSnafu { step: "runtime" })?;
    let runtime_guard = runtime.enter();
    config
        .listener
        .set_nonblocking(true)
        .context(StartSnafu { step: "listen" })?;
    let listener = TcpListener::from_std(config.listener).context(StartSnafu { step: "listen" })?;
    let service = Arc::new(Service {
        me: config.me.clone(),
        key: config.key.clone(),
        limits: limits.clone(),
        peer_labels: (config.peers.iter())
            .map(|peer| (peer.instance.clone(), peer.counter_label))
            .collect(),
        handler,
        registry: Default::default(),
        call_permits: Arc::new(Semaphore::new(limits.max_running_calls)),
        last_warning: Default::default(),
    });
    let (stop, server) = stop_channel();
    let accepting = runtime.spawn(server::run(listener, service, stop));
    let mut remotes = HashMap::new();
    for peer in config.peers {
        let outbox = Arc::new(Outbox::new(&limits, peer.counter_label));
        let instance = peer.instance.clone();
        let link = Link::new(config.me.clone(), config.key.clone(), peer, limits.clone());
        let link = Arc::new(link);
        runtime.spawn(notice::run(link.clone(), outbox.clone(), limits.clone()));
        remotes.insert(instance, Remote::<H> { link, outbox });
    }
    let links = remotes.values().map(|remote| remote.link.clone()).collect();
    runtime.spawn(ping_idle(links, limits.ping_interval));
    drop(runtime_guard);
    let client = Client(Arc::new(Shared {
        runtime: runtime.handle().clone(),
        remotes,
        limits,
        stopping: AtomicBool::new(false),
    }));
    Ok(Handle {
        client,
        runtime,
        server,
        accepting,
    })
}
