//! Relay between two instances for TCP and UDP on the same port number.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc,
        atomic::{AtomicU8, AtomicU16, Ordering},
    },
    thread,
    time::Duration,
};

/// Interval at which a relay checks its state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Handling of traffic by a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Forwards all traffic.
    Open,
    /// Drops all traffic, as in a network partition; connections stay open and new ones are accepted. A connection
    /// that has lost data is closed when the partition ends.
    Partitioned,
    /// Drops all further traffic of the connections that are open now, also after another mode is set; new
    /// connections and datagrams are not affected.
    Stalled,
}

/// Relay from one instance to another.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    state: AtomicU8,
    /// Generation of new connections; those of older generations drop all traffic.
    generation: AtomicU8,
}

// Values of `Shared::state`.
const OPEN: u8 = 0;
const PARTITIONED: u8 = 1;
const STOPPED: u8 = 2;

impl Shared {
    fn state(&self) -> u8 {
        self.state.load(Ordering::SeqCst)
    }
}

impl Relay {
    /// Starts a relay to an address.
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let (listener, socket) = bind_both()?;
        let address = listener.local_addr()?;
        let (state, generation) = (AtomicU8::new(OPEN), AtomicU8::new(0));
        let shared = Arc::new(Shared {
            to,
            state,
            generation,
        });
        listener.set_nonblocking(true)?;
        socket.set_read_timeout(Some(POLL_INTERVAL))?;
        let tcp_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("relay-tcp".to_owned())
            .spawn(move || {
                accept(&listener, &tcp_shared);
            })?;
        let udp_shared = Arc::clone(&shared);
        thread::Builder::new()
            .name("relay-udp".to_owned())
            .spawn(move || {
                forward_datagrams(&socket, &udp_shared);
            })?;
        Ok(Self { address, shared })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the mode.
    pub fn set(&self, mode: Mode) {
        match mode {
            Mode::Open => self.shared.state.store(OPEN, Ordering::SeqCst),
            Mode::Partitioned => self.shared.state.store(PARTITIONED, Ordering::SeqCst),
            Mode::Stalled => {
                self.shared.generation.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The threads check the state within `POLL_INTERVAL` and end by themselves.
        self.shared.state.store(STOPPED, Ordering::SeqCst);
    }
}

/// First port of the range for servers.
///
/// The range ends below the system's range for outgoing connections, since one of those could take a
/// reserved port before its server starts.
const FIRST_PORT: u16 = 10_000;

/// Number of ports in the range.
const PORT_COUNT: u16 = 22_000;

/// Binds TCP and UDP to a free port that other test processes are unlikely to choose soon.
pub fn bind_both() -> io::Result<(TcpListener, UdpSocket)> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Processes that run at the same time have similar ids; the factor 97 makes them start far apart.
    let offset = u16::try_from(std::process::id() % u32::from(PORT_COUNT)).unwrap_or_default();
    let offset = offset.wrapping_mul(97) % PORT_COUNT;
    for _ in 0..PORT_COUNT {
        let next = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST_PORT + (offset + next % PORT_COUNT) % PORT_COUNT;
        let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) else {
            continue;
        };
        if let Ok(socket) = UdpSocket::bind(("127.0.0.1", port)) {
            return Ok((listener, socket));
        }
    }
    Err(io::Error::other("no port is free for both TCP and UDP"))
}

/// Accepts connections until the relay stops, each served by a thread of its own.
fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while shared.state() != STOPPED {
        let Ok((client, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let _ = client.set_nonblocking(false);
        let shared = Arc::clone(shared);
        let _ = thread::Builder::new()
            .name("relay-connection".to_owned())
            .spawn(move || {
                connect(client, &shared);
            });
    }
}

/// Connects to the destination and forwards both directions of a connection.
fn connect(client: TcpStream, shared: &Arc<Shared>) {
    // A connection that is opened during a partition stays open and unanswered, as behind a dropped route.
    while shared.state() == PARTITIONED {
        thread::sleep(POLL_INTERVAL);
    }
    let Ok(server) = TcpStream::connect(shared.to) else {
        return;
    };
    let generation = shared.generation.load(Ordering::SeqCst);
    let (Ok(client_clone), Ok(server_clone)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let back_shared = Arc::clone(shared);
    let thread = thread::Builder::new()
        .name("relay-back".to_owned())
        .spawn(move || copy(server_clone, client_clone, &back_shared, generation));
    copy(client, server, shared, generation);
    if let Ok(thread) = thread {
        let _ = thread.join();
    }
}

/// Forwards one direction of a connection until it ends, then closes both connections.
fn copy(mut from: TcpStream, mut to: TcpStream, shared: &Shared, generation: u8) {
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 << 10];
    loop {
        let state = shared.state();
        if state == STOPPED {
            break;
        }
        let is_outdated = shared.generation.load(Ordering::SeqCst) != generation;
        match from.read(&mut buffer) {
            Ok(0) => break,
            // Dropped bytes are never delivered later: the connection stays broken after the partition.
            Ok(_) if is_outdated || shared.state() == PARTITIONED => {
                while shared.state() == PARTITIONED || is_outdated && shared.state() != STOPPED {
                    thread::sleep(POLL_INTERVAL);
                }
                break;
            }
            Ok(len) => {
                if to.write_all(&buffer[..len]).is_err() {
                    break;
                }
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) if error.kind() == io::ErrorKind::TimedOut => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(std::net::Shutdown::Both);
    let _ = to.shutdown(std::net::Shutdown::Both);
}

fn forward_datagrams(socket: &UdpSocket, shared: &Shared) {
    let mut buffer = [0; 2048];
    while shared.state() != STOPPED {
        let Ok((len, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if shared.state() == OPEN {
            let _ = socket.send_to(&buffer[..len], shared.to);
        }
    }
}
