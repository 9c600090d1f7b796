//! Tunnels to targets for other instances.
//!
//! A tunnel passes bytes on and reads none of them. It ends as soon as either end closes it, so that a request that was
//! cancelled is cancelled at its target, and it passes on whether the target closed or reset the connection. The number of
//! tunnels is bounded, so that the callers of this instance stay served.

use std::{cell::Cell, rc::Rc, time::Duration};

use buckthornmast_types::time::Clock;
use buckthornmast_way::{
    prelude::*,
    wire::{self, Hello, MAX_BYTES, Reply, Wish},
};
use serde::{Serialize, de::DeserializeOwned};
use socket2::{SockRef, TcpKeepalive};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::{advisory::Advice, forwarder::Forwarder, mapping::Mapping, pool, supply::Supply};

/// Time limit for a tunnel from the connection to the way until its reply.
const OPEN_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit of a way for the connection to the target, so that its reply arrives in time.
const TARGET_TIMEOUT: Duration = Duration::from_millis(200);

/// Time limit for the first message.
const HELLO_TIMEOUT: Duration = Duration::from_millis(1000);

/// Time after which the other instance counts as lost if nothing acknowledges bytes or probes.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

async fn read<M: DeserializeOwned>(stream: &mut TcpStream) -> Option<M> {
    let length = usize::from(stream.read_u16().await.ok()?);
    if length > MAX_BYTES {
        return None;
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    wire::decode(&body)
}

async fn write<M: Serialize>(stream: &mut TcpStream, message: &M) -> Option<()> {
    let bytes = wire::encode(message)?;
    stream.write_all(&bytes).await.ok()
}

/// Sets the options of a connection between two instances, so that it ends if the other one is lost.
fn configure(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new().with_time(IDLE_TIMEOUT);
    let options = stream
        .set_nodelay(true)
        .and_then(|()| socket.set_tcp_user_timeout(Some(IDLE_TIMEOUT)))
        .and_then(|()| socket.set_tcp_keepalive(&keepalive));
    if let Err(error) = options {
        log::warn!(step = "tunnel"; "setting the options of a connection between instances failed, using it anyway: {error}");
    }
}

/// Sends a wish to a way. Returns the connection if it is fulfilled.
pub(crate) async fn open(way: &Way, hello: Hello) -> Result<TcpStream, Fault> {
    let exchange = async {
        let mut stream = TcpStream::connect(way.address).await.ok()?;
        configure(&stream);
        write(&mut stream, &hello).await?;
        let reply: Reply = read(&mut stream).await?;
        Some((stream, reply))
    };
    match timeout(OPEN_TIMEOUT, exchange).await {
        Ok(Some((stream, Reply::Done))) => Ok(stream),
        Ok(Some((_, Reply::Full))) => Err(Fault::Full),
        Ok(Some((_, Reply::Unreached))) => Err(Fault::Unreached),
        Ok(Some((_, Reply::Unwanted))) => Err(Fault::Unwanted),
        Ok(Some((_, Reply::Denied | Reply::Stopping)) | None) | Err(_) => Err(Fault::Lost),
    }
}

/// Tunnels that this instance carries.
#[derive(Debug, Default)]
pub struct Tunnels {
    open: Cell<usize>,
    is_stopping: Cell<bool>,
}

impl Tunnels {
    /// Refuses further tunnels. Those that are open stay open.
    pub fn stop(&self) {
        self.is_stopping.set(true);
    }

    /// Returns the number of open tunnels.
    pub fn count(&self) -> usize {
        self.open.get()
    }
}

/// Open tunnel, counted until it is dropped.
struct Counted(Rc<Tunnels>);

impl Counted {
    fn new(tunnels: &Rc<Tunnels>) -> Self {
        tunnels.open.set(tunnels.open.get() + 1);
        Self(Rc::clone(tunnels))
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// Server of tunnels. Dropping it stops accepting connections; open tunnels end with the process.
#[derive(Debug)]
pub struct Server {
    accept: JoinHandle<()>,
    /// Tunnels.
    pub tunnels: Rc<Tunnels>,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

impl Server {
    /// Starts to accept tunnels with this key, at most so many at the same time.
    pub fn start<M: Mapping, S: Supply>(
        listener: TcpListener,
        key: Key,
        max_tunnels: usize,
        forwarder: Rc<Forwarder<M, S>>,
    ) -> Self {
        let tunnels = Rc::new(Tunnels::default());
        let carrier = Rc::new(Carrier {
            key,
            max_tunnels,
            forwarder,
            tunnels: Rc::clone(&tunnels),
        });
        let accept = tokio::task::spawn_local(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let carrier = Rc::clone(&carrier);
                        tokio::task::spawn_local(async move { carrier.serve(stream).await });
                    }
                    Err(error) => {
                        log::warn!(step = "tunnel"; "accepting a connection of another instance failed, retrying: {error}");
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        });
        Self { accept, tunnels }
    }
}

struct Carrier<M, S> {
    key: Key,
    max_tunnels: usize,
    forwarder: Rc<Forwarder<M, S>>,
    tunnels: Rc<Tunnels>,
}

impl<M: Mapping, S: Supply> Carrier<M, S> {
    async fn serve(&self, mut stream: TcpStream) {
        configure(&stream);
        // Counted from the first byte, so that connections without a wish are bounded, too.
        let counted = Counted::new(&self.tunnels);
        let Ok(Some(hello)) = timeout(HELLO_TIMEOUT, read::<Hello>(&mut stream)).await else {
            log::warn!(step = "tunnel"; "a connection of another instance brought no message that can be read in time; closing it");
            return;
        };
        let (reply, target) = self.fulfil(&hello).await;
        if reply != Reply::Done {
            log::info!(step = "tunnel", from:% = hello.from, reply:? = reply; "refused the wish of another instance");
            metrics::counter!("buckthornmast_tunnels_refused_total").increment(1);
        }
        if write(&mut stream, &reply).await.is_none() {
            return;
        }
        if let Some(target) = target {
            metrics::counter!("buckthornmast_tunnels_total").increment(1);
            pass_on(stream, target).await;
        }
        drop(counted);
    }

    async fn fulfil(&self, hello: &Hello) -> (Reply, Option<TcpStream>) {
        if !hello.key.is_same(&self.key) {
            log::warn!(step = "tunnel", from:% = hello.from; "another instance has not the key of this one");
            return (Reply::Denied, None);
        }
        match &hello.wish {
            Wish::Note {
                target,
                incarnation,
                is_leaving,
                pause,
            } => {
                let advice = Advice {
                    target: target.clone(),
                    incarnation: *incarnation,
                    is_leaving: *is_leaving,
                    pause: *pause,
                };
                let now = self.forwarder.clock.now();
                let mut state = self.forwarder.state.borrow_mut();
                state.record_advice(&advice, now);
                (Reply::Done, None)
            }
            Wish::Open {
                target,
                incarnation,
            } => {
                if self.tunnels.is_stopping.get() {
                    return (Reply::Stopping, None);
                }
                if self.tunnels.count() > self.max_tunnels {
                    return (Reply::Full, None);
                }
                let key = (target.clone(), *incarnation);
                let (address, source) = {
                    let state = self.forwarder.state.borrow();
                    let now = self.forwarder.clock.now();
                    let entry = state.registry().get(target).filter(|entry| {
                        entry.announcement.incarnation == *incarnation
                            && entry.is_ready()
                            && state.advisories.accepts(target, *incarnation, now)
                    });
                    let Some(entry) = entry else {
                        return (Reply::Unwanted, None);
                    };
                    if !state.reach.is_reached(&key) {
                        return (Reply::Unreached, None);
                    }
                    (entry.announcement.address, state.source)
                };
                let opened = pool::open(address, source, TARGET_TIMEOUT).await;
                let now = self.forwarder.clock.now();
                let mut state = self.forwarder.state.borrow_mut();
                match opened {
                    Ok(stream) => {
                        state.reach.record_connection(&key, now);
                        (Reply::Done, Some(stream))
                    }
                    Err(error) => {
                        log::info!(step = "tunnel", from:% = hello.from, target:% = target, born = incarnation.0; "opening a connection to a target for another instance failed: {error}");
                        if error.is_local() {
                            return (Reply::Full, None);
                        }
                        state.reach.record_failure(&key, now);
                        (Reply::Unreached, None)
                    }
                }
            }
        }
    }
}

/// Passes bytes on until either end closes or resets its connection.
async fn pass_on(mut from: TcpStream, mut target: TcpStream) {
    let (mut from_read, mut from_write) = from.split();
    let (mut target_read, mut target_write) = target.split();
    let is_whole = tokio::select! {
        // The instance has closed the tunnel: the request has ended or is cancelled.
        _ = tokio::io::copy(&mut from_read, &mut target_write) => return,
        result = tokio::io::copy(&mut target_read, &mut from_write) => result.is_ok(),
    };
    if !is_whole {
        // An answer that ends with its connection would look whole.
        if let Err(error) = SockRef::from(&from).set_linger(Some(Duration::ZERO)) {
            log::warn!(step = "tunnel"; "passing on the reset of a target's connection failed: {error}");
        }
    }
}
