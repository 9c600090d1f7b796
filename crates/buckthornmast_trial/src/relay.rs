//! Relay between two instances, for TCP and UDP on one port number.

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

/// Time after which a relay looks at its mode again.
const LOOK: Duration = Duration::from_millis(50);

/// What a relay does with traffic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Passes everything on.
    Open,
    /// Swallows everything; connections stay open and new ones are accepted.
    Cut,
    /// Swallows everything on the connections that are open now; new ones work.
    Silent,
}

/// Relay in one direction: from one instance to another.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    to: SocketAddr,
    cut: AtomicU8,
    /// Raised to make all connections of older generations silent.
    generation: AtomicU8,
}

const OPEN: u8 = 0;
const CUT: u8 = 1;
const ENDED: u8 = 2;

impl Shared {
    fn state(&self) -> u8 {
        self.cut.load(Ordering::SeqCst)
    }
}

impl Relay {
    /// Starts a relay to an address.
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let (listener, socket) = bind_both()?;
        let address = listener.local_addr()?;
        let (cut, generation) = (AtomicU8::new(OPEN), AtomicU8::new(0));
        let shared = Arc::new(Shared {
            to,
            cut,
            generation,
        });
        listener.set_nonblocking(true)?;
        socket.set_read_timeout(Some(LOOK))?;
        let for_tcp = Arc::clone(&shared);
        thread::Builder::new()
            .name("relay-tcp".to_owned())
            .spawn(move || {
                accept(&listener, &for_tcp);
            })?;
        let for_udp = Arc::clone(&shared);
        thread::Builder::new()
            .name("relay-udp".to_owned())
            .spawn(move || {
                pass_datagrams(&socket, &for_udp);
            })?;
        Ok(Self { address, shared })
    }

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what the relay does.
    pub fn set(&self, mode: Mode) {
        match mode {
            Mode::Open => self.shared.cut.store(OPEN, Ordering::SeqCst),
            Mode::Cut => self.shared.cut.store(CUT, Ordering::SeqCst),
            Mode::Silent => {
                self.shared.generation.fetch_add(1, Ordering::SeqCst);
            }
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // The threads see this within one look and end by themselves.
        self.shared.cut.store(ENDED, Ordering::SeqCst);
    }
}

/// First port of the range that servers are given.
///
/// It ends below the range from which the system takes ports of outgoing connections, since one of those
/// could take a reserved port before its server starts.
const FIRST_PORT: u16 = 10_000;

/// Ports of the range.
const PORTS: u16 = 22_000;

/// Binds TCP and UDP to a free port that no other process of these tests is given soon.
pub fn bind_both() -> io::Result<(TcpListener, UdpSocket)> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Processes that run at the same time have ids close to each other and begin far apart.
    let offset = u16::try_from(std::process::id() % u32::from(PORTS)).unwrap_or_default();
    let offset = offset.wrapping_mul(97) % PORTS;
    for _ in 0..PORTS {
        let next = NEXT.fetch_add(1, Ordering::SeqCst);
        let port = FIRST_PORT + (offset + next % PORTS) % PORTS;
        let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) else {
            continue;
        };
        if let Ok(socket) = UdpSocket::bind(("127.0.0.1", port)) {
            return Ok((listener, socket));
        }
    }
    Err(io::Error::other("no port is free for both TCP and UDP"))
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    while shared.state() != ENDED {
        let Ok((near, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(2));
            continue;
        };
        let _ = near.set_nonblocking(false);
        let shared = Arc::clone(shared);
        let _ = thread::Builder::new()
            .name("relay-connection".to_owned())
            .spawn(move || {
                connect(near, &shared);
            });
    }
}

fn connect(near: TcpStream, shared: &Arc<Shared>) {
    // A connection that is made during a cut stays open and unanswered, as behind a dropped route.
    while shared.state() == CUT {
        thread::sleep(LOOK);
    }
    let Ok(far) = TcpStream::connect(shared.to) else {
        return;
    };
    let generation = shared.generation.load(Ordering::SeqCst);
    let (Ok(near_again), Ok(far_again)) = (near.try_clone(), far.try_clone()) else {
        return;
    };
    let back = Arc::clone(shared);
    let thread = thread::Builder::new()
        .name("relay-back".to_owned())
        .spawn(move || copy(far_again, near_again, &back, generation));
    copy(near, far, shared, generation);
    if let Ok(thread) = thread {
        let _ = thread.join();
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream, shared: &Shared, generation: u8) {
    let _ = from.set_read_timeout(Some(LOOK));
    let _ = to.set_nodelay(true);
    let mut buffer = [0; 16 << 10];
    loop {
        let state = shared.state();
        if state == ENDED {
            break;
        }
        let is_silent = shared.generation.load(Ordering::SeqCst) != generation;
        match from.read(&mut buffer) {
            Ok(0) => break,
            // Swallowed bytes are never delivered later: the connection stays broken after the cut.
            Ok(_) if is_silent || shared.state() == CUT => {
                while shared.state() == CUT || is_silent && shared.state() != ENDED {
                    thread::sleep(LOOK);
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

fn pass_datagrams(socket: &UdpSocket, shared: &Shared) {
    let mut buffer = [0; 2048];
    while shared.state() != ENDED {
        let Ok((len, _)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        if shared.state() == OPEN {
            let _ = socket.send_to(&buffer[..len], shared.to);
        }
    }
}
