//! Thread that runs the table with a UDP socket.

use std::{
    io,
    net::UdpSocket,
    sync::{Arc, PoisonError, RwLock},
    thread::JoinHandle,
    time::Duration,
};

use buckthornmast_types::time::{Clock, Point};
use buckthornmast_wire::{datagram, key::Key};
use flume::{Receiver, Sender, TrySendError};
use metrics::counter;
use snafu::ResultExt;

use crate::{
    config::{Config, IoSnafu, StartError},
    core::{Outgoing, Table},
    message::{Heartbeat, Progress},
    view::{Change, View},
};

/// Maximum number of changes queued for one subscriber; further changes are dropped for it.
const MAX_QUEUED_CHANGES: usize = 4096;

/// Maximum number of datagrams handled before commands and due heartbeats are checked again.
const MAX_BURST_DATAGRAMS: usize = 1024;

/// Size of the receive buffer, for about 1,000 small datagrams while the thread does not run.
const RECEIVE_BUFFER_BYTES: usize = 1 << 20;

/// Time between two published views.
const VIEW_INTERVAL: Duration = Duration::from_millis(100);

/// Source of the progress that this instance reports; called before every heartbeat.
pub trait Source: Send + 'static {
    /// Returns the current progress; must not block.
    fn progress(&mut self) -> Progress;
}

impl<F: FnMut() -> Progress + Send + 'static> Source for F {
    fn progress(&mut self) -> Progress {
        self()
    }
}

enum Command {
    Subscribe(Sender<Change>),
    Stop,
}

/// Running membership.
pub struct Handle {
    view: Arc<RwLock<Arc<View>>>,
    commands: Sender<Command>,
    thread: JoinHandle<()>,
}

impl Handle {
    /// Returns the latest view, which is at most 100 ms old.
    pub fn view(&self) -> Arc<View> {
        let view = self.view.read().unwrap_or_else(PoisonError::into_inner);
        view.clone()
    }

    /// Returns a channel that receives all changes from now on.
    pub fn subscribe(&self) -> Receiver<Change> {
        let (sender, receiver) = flume::bounded(MAX_QUEUED_CHANGES);
        let _ = self.commands.send(Command::Subscribe(sender));
        receiver
    }

    /// Stops the thread and joins it.
    pub fn stop(self) {
        let _ = self.commands.send(Command::Stop);
        if self.thread.join().is_err() {
            log::error!(step = "stop"; "the membership thread panicked");
        }
    }
}

struct Driver<C, S> {
    table: Table,
    key: Key,
    socket: UdpSocket,
    clock: C,
    source: S,
    view: Arc<RwLock<Arc<View>>>,
    commands: Receiver<Command>,
    subscribers: Vec<Sender<Change>>,
    heartbeat_interval: Duration,
}

impl<C: Clock, S: Source> Driver<C, S> {
    fn run(mut self) {
        let mut next_heartbeat = self.clock.now();
        let mut next_view = next_heartbeat;
        loop {
            self.receive(next_heartbeat.min(next_view));
            if !self.handle_commands() {
                return;
            }
            let now = self.clock.now();
            if now >= next_heartbeat {
                let progress = self.source.progress();
                for outgoing in self.table.tick(now, progress) {
                    self.send(&outgoing);
                }
                // Missed heartbeats are not sent later.
                next_heartbeat = (next_heartbeat + self.heartbeat_interval).max(now);
            }
            if now >= next_view {
                self.publish(now);
                next_view = now + VIEW_INTERVAL;
            }
        }
    }

    /// Handles the queued commands; returns whether the thread continues.
    fn handle_commands(&mut self) -> bool {
        loop {
            match self.commands.try_recv() {
                Ok(Command::Subscribe(sender)) => self.subscribers.push(sender),
                Ok(Command::Stop) | Err(flume::TryRecvError::Disconnected) => return false,
                Err(flume::TryRecvError::Empty) => return true,
            }
        }
    }

    /// Receives datagrams until a point in time, and those that are queued by then.
    fn receive(&mut self, until: Point) {
        let mut buffer = [0; datagram::MAX_LEN + 1];
        for _ in 0..MAX_BURST_DATAGRAMS {
            let wait = until.since(self.clock.now());
            match receive_one(&self.socket, &mut buffer, wait) {
                Ok(Some(len)) => {
                    let now = self.clock.now();
                    count_datagram("received", len);
                    let heartbeat = datagram::decode::<Heartbeat>(&self.key, &buffer[..len]);
                    let is_accepted =
                        heartbeat.is_ok_and(|heartbeat| self.table.receive(now, heartbeat));
                    if !is_accepted {
                        counter!("buckthornmast_membership_ignored_total").increment(1);
                    }
                }
                Ok(None) => return,
                // For example an ICMP port-unreachable error from an instance that is down.
                Err(_) => counter!("buckthornmast_membership_receive_errors_total").increment(1),
            }
        }
    }

    fn send(&self, outgoing: &Outgoing) {
        let frame = match datagram::encode(&self.key, &outgoing.heartbeat) {
            Ok(frame) => frame,
            Err(error) => {
                log::error!(step = "encode"; "heartbeat not sent: {error}");
                return;
            }
        };
        for to in &outgoing.to {
            let address = self.table.members()[*to].address;
            match self.socket.send_to(&frame, address) {
                Ok(len) => count_datagram("sent", len),
                Err(_) => counter!("buckthornmast_membership_send_errors_total").increment(1),
            }
        }
    }

    fn publish(&mut self, now: Point) {
        let view = self.table.view(now);
        for change in self.table.changes(&view) {
            if change.previous_state != change.peer.state {
                log::info!(
                    step = "membership", peer:% = change.peer.instance;
                    "state of the peer is now {:?}, was {:?}", change.peer.state, change.previous_state
                );
            }
            self.subscribers
                .retain(|subscriber| match subscriber.try_send(change.clone()) {
                    Ok(()) => true,
                    Err(TrySendError::Full(_)) => {
                        counter!("buckthornmast_membership_changes_dropped_total").increment(1);
                        true
                    }
                    Err(TrySendError::Disconnected(_)) => false,
                });
        }
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(view);
    }
}

fn count_datagram(direction: &'static str, bytes: usize) {
    counter!("buckthornmast_membership_datagrams_total", "direction" => direction).increment(1);
    counter!("buckthornmast_membership_bytes_total", "direction" => direction)
        .increment(bytes as u64);
}

/// Waits for one datagram; with a zero wait, returns only a datagram that has already arrived.
fn receive_one(socket: &UdpSocket, buffer: &mut [u8], wait: Duration) -> io::Result<Option<usize>> {
    let result = if wait.is_zero() {
        socket.set_nonblocking(true)?;
        let result = socket.recv_from(buffer);
        socket.set_nonblocking(false)?;
        result
    } else {
        socket.set_read_timeout(Some(wait.max(Duration::from_millis(1))))?;
        socket.recv_from(buffer)
    };
    match result {
        Ok((len, _)) => Ok(Some(len)),
        Err(error) => match error.kind() {
            io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => Ok(None),
            _ => Err(error),
        },
    }
}

/// Starts the membership thread.
pub fn start<C: Clock, S: Source>(
    config: Config,
    source: S,
    clock: C,
) -> Result<Handle, StartError> {
    let now = clock.now();
    let Config {
        me,
        members,
        key,
        socket,
        incarnation,
        timing,
    } = config;
    let table = Table::new(&me, members, incarnation, timing, now)?;
    socket2::SockRef::from(&socket)
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .context(IoSnafu { step: "socket" })?;
    let view = Arc::new(RwLock::new(Arc::new(table.view(now))));
    let (sender, commands) = flume::unbounded();
    let driver = Driver {
        table,
        key,
        socket,
        clock,
        source,
        view: view.clone(),
        commands,
        subscribers: Vec::new(),
        heartbeat_interval: timing.heartbeat_interval,
    };
    let thread = std::thread::Builder::new()
        .name("membership".to_owned())
        .spawn(move || driver.run())
        .context(IoSnafu { step: "thread" })?;
    Ok(Handle {
        view,
        commands: sender,
        thread,
    })
}
