//! An entry machine is cut off from servers whose answers have no length and end with their connection. Clients, the core and
//! another entry machine reach it.

use std::{
    io::{BufReader, Read, Write},
    path::Path,
    sync::Arc,
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Verdict, http,
    lab::{Lab, Record, config, name, route},
    server::{Server, Work},
};

/// First tries at each entry machine.
const TRIES: usize = 60;
/// First tries at each entry machine before the cut.
const TRIES_BEFORE: usize = 10;
/// Clients that send at the same time.
const CLIENTS: usize = 4;
/// Time from the cut until the tries: `contact-ms` 3,000, one second in which the settings are read, and half a second.
const LEARNS: Duration = Duration::from_millis(4500);
const BUDGET: Duration = Duration::from_secs(3);
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(20);
const BYTES: usize = 2000;

/// Sends a request that may run once. Returns the status, and whether the whole body arrived.
fn send(address: &str, id: &str) -> std::io::Result<(u16, bool)> {
    let mut stream = http::connect(address, BUDGET)?;
    let request = format!(
        "POST /r/x HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\n{}: {}\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{{}}",
        name("request"),
        name("deadline"),
        BUDGET.as_millis()
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, headers) = http::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let has_framing = headers.iter().any(|(name, _)| {
        name.eq_ignore_ascii_case("content-length") || name.eq_ignore_ascii_case("transfer-encoding")
    });
    let mut body = Vec::new();
    if has_framing {
        body = http::read_body(&mut reader, &headers)?;
    } else {
        reader.read_to_end(&mut body)?;
    }
    Ok((status, body.len() == BYTES))
}

/// Sends tries to a machine. Returns how many were served.
fn tries(address: &str, what: &str, count: usize, record: &Arc<Record>) -> usize {
    let threads: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (address, what, record) = (address.to_owned(), what.to_owned(), Arc::clone(record));
            thread::spawn(move || {
                let mut served = 0;
                for number in (client..count).step_by(CLIENTS) {
                    let id = format!("{what}-{number}");
                    let result = send(&address, &id);
                    record.line(&format!("{id}: {result:?}"));
                    served += usize::from(matches!(result, Ok((200, true))));
                    sleep(Duration::from_millis(20));
                }
                served
            })
        })
        .collect();
    threads.into_iter().map(|thread| thread.join().unwrap_or(0)).sum()
}

pub fn run(
    root: &Path,
    record: &Arc<Record>,
    has_trouble: bool,
) -> Result<Verdict, Box<dyn std::error::Error>> {
    let mut lab = Lab::new(root)?;
    let (_, entries) = lab.begin(2, &config(&[route("r", "non_idempotent", 5000, false)]))?;
    let mut servers = Vec::new();
    for number in 1..=3 {
        let ip = lab.next_ip();
        let id = format!("i-{number}");
        let work = Work::Unframed(WORK, BYTES);
        servers.push(Server::start(&ip, &id, "z1", 20, work, lab.controls())?);
    }
    sleep(Duration::from_secs(5));
    let addresses: Vec<String> = entries.iter().map(|entry| lab.nodes[*entry].callers()).collect();
    for (entry, address) in addresses.iter().enumerate() {
        let served = tries(address, &format!("before-{entry}"), TRIES_BEFORE, record);
        record.say(&format!(
            "before: machine {entry} serves {served} of {TRIES_BEFORE} tries"
        ));
        if served < TRIES_BEFORE {
            return Err("requests fail before the cut".into());
        }
    }
    if has_trouble {
        lab.cut(entries[0])?;
        record.line("machine 0 is cut off from the servers");
    }
    sleep(LEARNS);
    let here = tries(&addresses[0], "cut", TRIES, record);
    let there = tries(&addresses[1], "other", TRIES, record);
    let mut run = 0;
    for server in &servers {
        let runs = server.runs.lock().map_err(|_| "a server has panicked")?;
        for (id, times) in &runs.begun {
            let answered = runs.answered.get(id).copied().unwrap_or(0);
            record.line(&format!(
                "server {} ran {id} {times} times and answered {answered}",
                server.id
            ));
        }
        run += runs.answered.keys().filter(|id| id.starts_with("cut-")).count();
    }
    record.say(&format!(
        "the machine that is cut off serves {here} of {TRIES} first tries, the other one {there} of {TRIES}; servers ran and answered {run} of the {TRIES}"
    ));
    if there < TRIES / 2 {
        return Err("the other machine serves too few".into());
    }
    let failed = 2 * TRIES - here - there;
    let is_broken = 3 * here < 2 * there && failed > 10 + 2 * TRIES / 50;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
