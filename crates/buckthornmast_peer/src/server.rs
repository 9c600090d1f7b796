//! Server, which accepts connections, authenticates requests and runs handlers.

use std::{
    collections::HashMap,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use jsonrpsee::{
    RpcModule,
    server::{RegisterMethodError, Server, ServerConfig, StopHandle, serve_with_graceful_shutdown},
    types::{ErrorObjectOwned, Params},
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
};

use buckthornmast_types::id;
use buckthornmast_wire::{
    key::Key,
    sealed::{self, Sealed},
};

use crate::{
    config::Limits,
    handler::Handler,
    message::{Answer, METHOD, Refusal, Request, UNAUTHENTICATED_CODE},
    pool::http_body_limit,
    session::{Outcome, Registry},
    socket::CountedStream,
    stats,
};

/// Pause after an error of `accept`, for example when file descriptors are exhausted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Shortest time between two warnings about frames that can't be authenticated.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// Shared state for handling requests.
pub(crate) struct Service<H> {
    pub(crate) me: id::Instance,
    pub(crate) key: Key,
    pub(crate) limits: Limits,
    /// Peers whose requests are accepted, with their label in the counters.
    pub(crate) peer_labels: HashMap<id::Instance, &'static str>,
    pub(crate) handler: Arc<H>,
    pub(crate) registry: Mutex<Registry>,
    /// Permits for running handlers.
    pub(crate) call_permits: Arc<Semaphore>,
    /// Time of the last warning about a frame that can't be authenticated.
    pub(crate) last_warning: Mutex<Option<Instant>>,
}

type HandlerRequest<H> = Request<<H as Handler>::Request, <H as Handler>::Notice>;

fn encode<R: serde::Serialize>(answer: &Answer<R>) -> String {
    // Only a response can fail to encode; `run_handler` refuses its empty body.
    serde_json::to_string(answer).unwrap_or_default()
}

fn unauthenticated(detail: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(UNAUTHENTICATED_CODE, detail, None::<()>)
}

impl<H: Handler> Service<H> {
    fn registry(&self) -> MutexGuard<'_, Registry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a frame that can't be authenticated, and logs it unless another one was logged recently.
    fn record_unauthenticated(&self, detail: &str) {
        stats::count("buckthornmast_peer_unauthenticated_total", "unknown", 1);
        let mut last_warning = self
            .last_warning
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if last_warning.is_none_or(|last| last.elapsed() >= WARNING_INTERVAL) {
            *last_warning = Some(Instant::now());
            log::warn!(step = "authenticate"; "request refused: {detail}");
        }
    }

    /// Authenticates a request, handles it and seals its answer.
    async fn answer(self: Arc<Self>, frame: Sealed) -> Result<Sealed, ErrorObjectOwned> {
        let Some(label) = self.peer_labels.get(&frame.from).copied() else {
            self.record_unauthenticated("the sender is not in the peer list");
            return Err(unauthenticated("the sender is not in the peer list"));
        };
        let body = match sealed::open_request(&self.key, &frame) {
            Ok(body) => body,
            Err(error) => {
                self.record_unauthenticated(&error.to_string());
                return Err(unauthenticated("the MAC does not fit"));
            }
        };
        let (message, body) = match serde_json::from_str::<HandlerRequest<H>>(body) {
            Ok(request) => {
                let message = request.kind().as_str();
                stats::count_message("received", label, message, body.len());
                (message, self.handle(&frame, request).await)
            }
            Err(_) => ("malformed", encode_refusal(Refusal::Malformed)),
        };
        stats::count_message("sent", label, message, body.len());
        Ok(sealed::seal_answer(&self.key, &self.me, frame.nonce, body))
    }

    async fn handle(self: &Arc<Self>, frame: &Sealed, request: HandlerRequest<H>) -> String {
        let (from, nonce) = (&frame.from, frame.nonce);
        if matches!(request, Request::Open) {
            let session = self.registry().open(from);
            return encode(&Answer::<()>::Session(session));
        }
        if let Err(reason) = self.registry().admit(from, nonce) {
            if reason == Refusal::Replayed {
                stats::count(
                    "buckthornmast_peer_replayed_total",
                    self.peer_labels[from],
                    1,
                );
            }
            return encode_refusal(reason);
        }
        match request {
            Request::Open | Request::Ping => encode(&Answer::<()>::Taken),
            Request::Call {
                timeout_ms,
                request,
            } => match self.start_call(frame, Duration::from_millis(timeout_ms), request) {
                Ok(outcome) => self.wait_for_outcome(outcome).await,
                Err(reason) => encode_refusal(reason),
            },
            Request::Poll { sequence } => {
                let call = sealed::Nonce { sequence, ..nonce };
                let outcome = self.registry().outcome(&(from.clone(), call));
                match outcome {
                    Some(outcome) => self.wait_for_outcome(outcome).await,
                    None => encode_refusal(Refusal::Forgotten),
                }
            }
            Request::Notices(notices) => self.handle_notices(from, notices).await,
        }
    }

    /// Starts a call on a thread of the blocking pool once one is free.
    fn start_call(
        self: &Arc<Self>,
        frame: &Sealed,
        timeout: Duration,
        request: H::Request,
    ) -> Result<watch::Receiver<Outcome>, Refusal> {
        let call = (frame.from.clone(), frame.nonce);
        let sender = self.registry().begin(call.clone(), &self.limits)?;
        let outcome = sender.subscribe();
        let service = self.clone();
        tokio::spawn(async move {
            let permit = service.call_permits.clone().acquire_owned();
            let body = match tokio::time::timeout(timeout, permit).await {
                Ok(Ok(permit)) => {
                    let (service, from) = (service.clone(), call.0.clone());
                    let run = move || {
                        let body = service.run_handler(&from, request);
                        drop(permit);
                        body
                    };
                    let done = tokio::task::spawn_blocking(run).await;
                    done.unwrap_or_else(|_| encode_refusal(Refusal::Panicked))
                }
                Ok(Err(_)) => encode_refusal(Refusal::Stopping),
                Err(_) => encode_refusal(Refusal::Expired),
            };
            let bytes = body.len();
            sender.send_replace(Some(body.into()));
            service.registry().finish(call, bytes, &service.limits);
        });
        Ok(outcome)
    }

    fn run_handler(&self, from: &id::Instance, request: H::Request) -> String {
        let run = AssertUnwindSafe(|| self.handler.call(from, request));
        let Ok(response) = catch_unwind(run) else {
            log::error!(step = "handle", peer:% = from; "the handler of a call panicked");
            return encode_refusal(Refusal::Panicked);
        };
        let body = encode(&Answer::Done(response));
        if body.is_empty() || body.len() > self.limits.max_body_bytes {
            return encode_refusal(Refusal::TooLarge);
        }
        body
    }

    /// Waits for the outcome of a call, at most for the long-poll timeout.
    async fn wait_for_outcome(&self, mut outcome: watch::Receiver<Outcome>) -> String {
        let done = outcome.wait_for(Option::is_some);
        match tokio::time::timeout(self.limits.long_poll_timeout, done).await {
            Ok(Ok(body)) => body.as_deref().unwrap_or_default().to_owned(),
            Ok(Err(_)) => encode_refusal(Refusal::Stopping),
            Err(_) => encode(&Answer::<()>::Running),
        }
    }

    async fn handle_notices(
        self: &Arc<Self>,
        from: &id::Instance,
        notices: Vec<H::Notice>,
    ) -> String {
        let (service, from) = (self.clone(), from.clone());
        let run = move || {
            for notice in notices {
                let run = AssertUnwindSafe(|| service.handler.notify(&from, notice));
                if catch_unwind(run).is_err() {
                    log::error!(step = "notify", peer:% = from; "the handler of a notice panicked");
                }
            }
        };
        match tokio::task::spawn_blocking(run).await {
            Ok(()) => encode(&Answer::<()>::Taken),
            Err(_) => encode_refusal(Refusal::Stopping),
        }
    }
}

fn encode_refusal(reason: Refusal) -> String {
    encode(&Answer::<()>::Refused(reason))
}

fn rpc_module<H: Handler>(service: Arc<Service<H>>) -> Result<RpcModule<()>, RegisterMethodError> {
    let mut module = RpcModule::new(());
    module.register_async_method(METHOD, move |params: Params<'static>, _, _| {
        let service = service.clone();
        async move {
            let frame = params.one::<Sealed>()?;
            service.answer(frame).await
        }
    })?;
    Ok(module)
}

/// Accepts connections until `stop` is triggered; connections beyond the limit are closed at once.
pub(crate) async fn run<H: Handler>(
    listener: TcpListener,
    service: Arc<Service<H>>,
    stop: StopHandle,
) {
    let limits = service.limits.clone();
    let config = ServerConfig::builder()
        .http_only()
        .max_request_body_size(http_body_limit(limits.max_body_bytes))
        .max_response_body_size(http_body_limit(limits.max_body_bytes))
        .max_connections(u32::try_from(limits.max_connections).unwrap_or(u32::MAX))
        .build();
    let builder = Server::builder().set_config(config).to_service_builder();
    let methods = match rpc_module(service) {
        Ok(module) => module,
        Err(error) => {
            log::error!(step = "register"; "registering the RPC method failed, requests of peers are not served: {error}");
            return;
        }
    };
    let connections = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.clone().shutdown() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                stats::count("buckthornmast_peer_accept_errors_total", "unknown", 1);
                log::debug!(step = "accept"; "accepting a connection of a peer failed, retrying: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = connections.clone().try_acquire_owned() else {
            stats::count("buckthornmast_peer_connections_refused_total", "unknown", 1);
            continue;
        };
        let _ = stream.set_nodelay(true);
        let rpc = builder.clone().build(methods.clone(), stop.clone());
        let stopped = stop.clone().shutdown();
        tokio::spawn(async move {
            let stream = CountedStream::new(stream);
            let activity = stream.activity();
            let serving = serve_with_graceful_shutdown(stream, rpc, stopped);
            tokio::select! {
                _ = serving => {}
                () = activity.wait_until_idle(limits.server_idle_timeout) => {}
            }
            drop(permit);
        });
    }
}
