//! Ordinary clients of streams on kept connections, beside crowds whose bodies take all memory that the entry process lends.

use std::{
    collections::HashSet,
    io::{BufReader, ErrorKind, Read, Write},
    net::TcpStream,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict, http,
    lab::{Lab, Record, config, name, route},
    server::{Server, Work},
};

const CLIENTS: usize = 150;
const EVENTS: u32 = 40;
const PAUSE: Duration = Duration::from_millis(15);
const LENGTH: Duration = Duration::from_secs(40);
const CROWD: usize = 2400;
const LARGE: usize = 88;
const WAVE: Duration = Duration::from_secs(3);
const EXCUSED: usize = 3;

#[derive(Default)]
struct Tally {
    answered: u64,
    refused: u64,
    broken_kept: Vec<String>,
    broken_new: Vec<String>,
}

fn client(
    index: usize,
    address: String,
    stop: Arc<AtomicBool>,
    tally: Arc<Mutex<Tally>>,
    record: Arc<Record>,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let Ok(stream) = http::connect(&address, Duration::from_secs(12)) else {
            sleep(Duration::from_millis(50));
            continue;
        };
        let Ok(clone) = stream.try_clone() else { continue };
        let (mut reader, mut writer) = (BufReader::new(clone), stream);
        let mut is_kept = false;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            let id = format!("c{index}-{number}");
            let request = format!(
                "GET /p/x HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\n{}: 12000\r\n\r\n",
                name("request"),
                name("deadline"),
            );
            let sent_at = Instant::now();
            let sent = writer.write_all(request.as_bytes());
            let answer = sent.and_then(|()| http::read_answer(&mut reader));
            let Ok(mut tally) = tally.lock() else { return };
            match answer {
                Ok(answer) => {
                    if answer.status == 200 {
                        tally.answered += 1;
                    } else {
                        tally.refused += 1;
                    }
                    drop(tally);
                    if answer
                        .header("connection")
                        .is_some_and(|value| value.eq_ignore_ascii_case("close"))
                    {
                        break;
                    }
                    if answer.status != 200 {
                        sleep(Duration::from_millis(500));
                    }
                    is_kept = true;
                }
                Err(error) => {
                    let after = sent_at.elapsed().as_millis();
                    let kind = if is_kept { "kept" } else { "new" };
                    record.line(&format!("{id}, sent on a {kind} connection, ended after {after} ms without a whole answer: {error}"));
                    let broken = if is_kept {
                        &mut tally.broken_kept
                    } else {
                        &mut tally.broken_new
                    };
                    broken.push(id);
                    break;
                }
            }
        }
    }
}

fn crowd(address: &str, stop: &AtomicBool, opened: &AtomicU64) {
    let head = format!(
        "POST /q/x HTTP/1.1\r\nHost: a.example\r\n{}: crowd\r\n{}: 20000\r\n",
        name("request"),
        name("deadline"),
    );
    let mut chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n3f00\r\n").into_bytes();
    chunked.resize(chunked.len() + 0x3f00, b'x');
    let mut large = format!("{head}Content-Length: 1000003\r\n\r\n").into_bytes();
    large.resize(large.len() + 1_000_002, b'x');
    let mut open: Vec<(TcpStream, bool, usize)> = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let began = Instant::now();
        open.clear();
        let mut tried = 0;
        while began.elapsed() < WAVE && !stop.load(Ordering::Relaxed) {
            open.retain_mut(|(stream, is_large, sent)| {
                let bytes = if *is_large { &large } else { &chunked };
                if *sent < bytes.len() {
                    match stream.write(&bytes[*sent..bytes.len().min(*sent + 100_000)]) {
                        Ok(written) => *sent += written,
                        Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                        Err(_) => return false,
                    }
                }
                matches!(stream.read(&mut [0; 512]), Err(error) if error.kind() == ErrorKind::WouldBlock)
            });
            for _ in 0..20 {
                if tried == CROWD {
                    break;
                }
                tried += 1;
                if let Ok(stream) = http::connect(address, Duration::from_millis(100))
                    && stream.set_nonblocking(true).is_ok()
                {
                    opened.fetch_add(1, Ordering::Relaxed);
                    open.push((stream, tried <= LARGE, 0));
                }
            }
            sleep(Duration::from_millis(2));
        }
    }
}

pub fn run(
    root: &Path,
    record: &Arc<Record>,
    has_trouble: bool,
) -> Result<Verdict, Box<dyn std::error::Error>> {
    let mut lab = Lab::new(root)?;
    let document = config(&[
        route("p", "streaming", 12_000, false),
        route("q", "idempotent", 20_000, false),
    ]);
    let (_, entries) = lab.begin(1, &document)?;
    let entry = entries[0];
    let mut servers = Vec::new();
    for number in 1..=2 {
        let ip = lab.next_ip();
        servers.push(Server::start(
            &ip,
            &format!("i-{number}"),
            "z1",
            150,
            Work::Events(EVENTS, PAUSE),
            lab.controls(),
        )?);
    }
    sleep(Duration::from_secs(3));
    let address = lab.nodes[entry].callers();
    let stop = Arc::new(AtomicBool::new(false));
    let tally: Arc<Mutex<Tally>> = Arc::default();
    let mut threads = Vec::new();
    for index in 0..CLIENTS {
        let (address, stop, tally, record) = (
            address.clone(),
            Arc::clone(&stop),
            Arc::clone(&tally),
            Arc::clone(record),
        );
        threads.push(thread::spawn(move || client(index, address, stop, tally, record)));
        sleep(Duration::from_millis(10));
    }
    let opened = Arc::new(AtomicU64::new(0));
    if has_trouble {
        let (address, stop, opened) = (address.clone(), Arc::clone(&stop), Arc::clone(&opened));
        threads.push(thread::spawn(move || crowd(&address, &stop, &opened)));
        record.line("the crowd begins");
    }
    let began = Instant::now();
    while began.elapsed() < LENGTH {
        sleep(Duration::from_secs(5));
        let tally = tally.lock().map_err(|_| "a client has panicked")?;
        record.line(&format!(
            "answered {}, refused {}, broken: {} on kept connections, {} on new ones; crowd has opened {}",
            tally.answered,
            tally.refused,
            tally.broken_kept.len(),
            tally.broken_new.len(),
            opened.load(Ordering::Relaxed)
        ));
    }
    let (kept, new) = {
        let tally = tally.lock().map_err(|_| "a client has panicked")?;
        (tally.broken_kept.clone(), tally.broken_new.clone())
    };
    let has_ended = lab.nodes[entry].has_ended();
    stop.store(true, Ordering::Relaxed);
    for thread in threads {
        let _ = thread.join();
    }
    let mut run = HashSet::new();
    for server in &servers {
        let runs = server.runs.lock().map_err(|_| "a server has panicked")?;
        run.extend(runs.begun.keys().cloned());
    }
    let lost = kept.iter().filter(|id| run.contains(*id)).count();
    let lost_new = new.iter().filter(|id| run.contains(*id)).count();
    record.say(&format!(
        "{lost} streams on kept connections were begun at a server and closed before their end ({EXCUSED} excused), and {lost_new} on new ones; the entry process has ended: {has_ended}"
    ));
    Ok(if lost > EXCUSED || has_ended {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
