//! Clients that read slowly: each pauses once in an answer, for less time than it has left.

use std::{
    io::{BufRead, BufReader, Write},
    os::fd::AsRawFd,
    path::Path,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    lab::{Lab, Record, config, name, route},
    server::{Server, Work},
};

const CLIENTS: usize = 12;
/// Time budget of a client, and the time limit of the route.
const BUDGET: Duration = Duration::from_secs(20);
/// Pause of a client in its second answer.
const PAUSE: Duration = Duration::from_secs(7);
/// Bytes of an answer.
const BYTES: usize = 400_000;
/// Receive buffer of a client, in bytes.
const BUFFER: i32 = 16 << 10;
/// Losses that the rule excuses.
const EXCUSED: usize = 3;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Sends a request on a kept connection and reads its answer, with a pause after the head. Returns the bytes of the body.
fn exchange(
    reader: &mut BufReader<std::net::TcpStream>,
    id: &str,
    pause: Duration,
) -> std::io::Result<usize> {
    let request = format!(
        "GET /r/x HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\n{}: {}\r\n\r\n",
        name("request"),
        name("deadline"),
        BUDGET.as_millis()
    );
    reader.get_mut().write_all(request.as_bytes())?;
    let (_, headers) = http::read_head(reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    sleep(pause);
    let length = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length: usize = length.and_then(|(_, length)| length.parse().ok()).unwrap_or(0);
    let mut left = length;
    while left > 0 {
        let bytes = reader.fill_buf()?.len().min(left);
        if bytes == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        reader.consume(bytes);
        left -= bytes;
    }
    Ok(length)
}

pub fn run(
    root: &Path,
    record: &Arc<Record>,
    has_trouble: bool,
) -> Result<Verdict, Box<dyn std::error::Error>> {
    let mut lab = Lab::new(root)?;
    let (_, entries) = lab.begin(1, &config(&[route("r", "idempotent", 20_000, false)]))?;
    let ip = lab.next_ip();
    let server = Server::start(
        &ip,
        "i-1",
        "z1",
        100,
        Work::Whole(Duration::from_millis(20), BYTES),
        lab.controls(),
    )?;
    sleep(Duration::from_secs(3));
    let address = lab.nodes[entries[0]].callers();
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let (address, record, lost) = (address.clone(), Arc::clone(record), Arc::clone(&lost));
        threads.push(thread::spawn(move || {
            let Ok(stream) = http::connect(&address, BUDGET) else {
                return record.line(&format!("client {number} can't connect"));
            };
            // SAFETY: the value is an integer that lives through the call.
            unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &BUFFER, 4) };
            let mut reader = BufReader::new(stream);
            for (turn, pause) in [Duration::ZERO, if has_trouble { PAUSE } else { Duration::ZERO }]
                .into_iter()
                .enumerate()
            {
                let id = format!("c{number}-{turn}");
                let sent = Instant::now();
                let result = exchange(&mut reader, &id, pause);
                let after = sent.elapsed().as_secs_f64();
                match result {
                    Ok(bytes) => record.line(&format!(
                        "{id}: {bytes} bytes in {after:.1} s, with a pause of {} s",
                        pause.as_secs()
                    )),
                    Err(error) => {
                        record.line(&format!(
                            "{id}: closed after {after:.1} s, with a pause of {} s: {error}",
                            pause.as_secs()
                        ));
                        if let Ok(mut lost) = lost.lock() {
                            lost.push(id);
                        }
                        return;
                    }
                }
            }
        }));
    }
    for thread in threads {
        let _ = thread.join();
    }
    let lost = lost.lock().map_err(|_| "a client has panicked")?;
    let runs = server.runs.lock().map_err(|_| "a server has panicked")?;
    let answered = lost.iter().filter(|id| runs.answered.contains_key(*id)).count();
    record.say(&format!(
        "{answered} requests on kept connections were answered by the server and closed before their client had the answer ({EXCUSED} excused)"
    ));
    if runs.answered.is_empty() {
        return Err("no request reached the server".into());
    }
    Ok(if answered > EXCUSED {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
