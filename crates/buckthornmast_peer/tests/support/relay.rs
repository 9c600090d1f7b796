//! TCP relay that can stall its open connections while new ones pass.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Default)]
struct State {
    stopping: AtomicBool,
    open: AtomicUsize,
    /// Flags that stall the open connections.
    stalled: Mutex<Vec<Arc<AtomicBool>>>,
}

pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    state: Arc<State>,
    thread: JoinHandle<()>,
}

impl Relay {
    pub(crate) fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State::default());
        let thread = std::thread::spawn({
            let state = state.clone();
            move || accept(&listener, to, &state)
        });
        Self {
            address,
            state,
            thread,
        }
    }

    /// Permanently stalls all connections that are open now.
    pub(crate) fn stall_open(&self) {
        for stalled in self.state.stalled.lock().unwrap().drain(..) {
            stalled.store(true, Ordering::SeqCst);
        }
    }

    /// Returns the number of open connections.
    pub(crate) fn open(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Closes all connections and refuses new ones.
    pub(crate) fn stop(self) {
        self.state.stopping.store(true, Ordering::SeqCst);
        self.thread.join().unwrap();
    }
}

fn accept(listener: &TcpListener, to: SocketAddr, state: &Arc<State>) {
    let mut threads = Vec::new();
    while !state.stopping.load(Ordering::SeqCst) {
        let Ok((client, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        let upstream = TcpStream::connect(to).unwrap();
        let stalled = Arc::new(AtomicBool::new(false));
        state.stalled.lock().unwrap().push(stalled.clone());
        state.open.fetch_add(1, Ordering::SeqCst);
        let (client_out, upstream_out) =
            (client.try_clone().unwrap(), upstream.try_clone().unwrap());
        let (state_up, stalled_up) = (state.clone(), stalled.clone());
        threads.push(std::thread::spawn(move || {
            copy(client, upstream_out, &stalled_up, &state_up);
            state_up.open.fetch_sub(1, Ordering::SeqCst);
        }));
        let state = state.clone();
        threads.push(std::thread::spawn(move || {
            copy(upstream, client_out, &stalled, &state);
        }));
    }
    for thread in threads {
        thread.join().unwrap();
    }
}

/// Copies until the end of the input; a stalled connection discards what it reads.
fn copy(mut from: TcpStream, mut to: TcpStream, stalled: &AtomicBool, state: &State) {
    from.set_nonblocking(false).unwrap();
    from.set_read_timeout(Some(POLL_INTERVAL)).unwrap();
    let mut buffer = [0; 16_384];
    while !state.stopping.load(Ordering::SeqCst) {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(len) if !stalled.load(Ordering::SeqCst) => {
                if to.write_all(&buffer[..len]).is_err() {
                    break;
                }
            }
            Ok(_) => {}
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
