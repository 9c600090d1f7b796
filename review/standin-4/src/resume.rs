//! All processes of the core and one entry process are killed at once, and one machine of the core comes back with an empty
//! disk. Clients take up the streams of that entry process at another one.

use std::{
    io::{BufRead, BufReader, Write},
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

const CLIENTS: usize = 20;
const EVENTS: u32 = 60;
/// Pause after each of the two pieces of an event.
const PAUSE: Duration = Duration::from_millis(60);
/// Time limit of the route, and time budget of a client.
const BUDGET: Duration = Duration::from_secs(12);
/// Time for which the deployment runs before: longer than any stream lives, with half a minute to spare.
const RUNS_BEFORE: Duration = Duration::from_secs(45);
/// Time from the kill until clients come back: `contact-ms` 3,000, and `catch-up-s` 4.
const COMES_BACK: Duration = Duration::from_millis(7500);

/// Reads a stream up to its end or that of its connection. Returns the status, and the last event.
fn read(
    address: &str,
    id: &str,
    resumes: Option<(&str, u32)>,
    left: Duration,
) -> std::io::Result<(u16, u32)> {
    let mut stream = http::connect(address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let taken_up = resumes.map_or_else(String::new, |(first, last)| {
        format!("{}: {last}\r\n{}: {first}\r\n", name("last"), name("resumes"))
    });
    let request = format!(
        "GET /r/x HTTP/1.1\r\nHost: a.example\r\n{}: {id}\r\n{}: {}\r\n{taken_up}Connection: close\r\n\r\n",
        name("request"),
        name("deadline"),
        left.as_millis()
    );
    stream.write_all(request.as_bytes())?;
    let mut reader = BufReader::new(stream);
    let (first, _) = http::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let status = first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let mut last = resumes.map_or(0, |(_, last)| last);
    let mut line = String::new();
    while status == 200 && reader.read_line(&mut line).is_ok_and(|bytes| bytes > 0) {
        if let Some(number) = line
            .trim()
            .strip_prefix("id: ")
            .and_then(|number| number.parse().ok())
        {
            last = number;
        }
        line.clear();
    }
    Ok((status, last))
}

pub fn run(
    root: &Path,
    record: &Arc<Record>,
    has_trouble: bool,
) -> Result<Verdict, Box<dyn std::error::Error>> {
    let mut lab = Lab::new(root)?;
    let began = Instant::now();
    let (cores, entries) = lab.begin(5, &config(&[route("r", "streaming", 12_000, true)]))?;
    let mut servers = Vec::new();
    for number in 1..=3 {
        let ip = lab.next_ip();
        servers.push(Server::start(
            &ip,
            &format!("i-{number}"),
            "z1",
            100,
            Work::Events(EVENTS, PAUSE),
            lab.controls(),
        )?);
    }
    sleep(RUNS_BEFORE.saturating_sub(began.elapsed()));
    let (killed, other) = (lab.nodes[entries[0]].callers(), lab.nodes[entries[1]].callers());
    let tally: Arc<Mutex<(u32, u32)>> = Arc::default();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let (killed, other, record, tally) = (
            killed.clone(),
            other.clone(),
            Arc::clone(record),
            Arc::clone(&tally),
        );
        threads.push(thread::spawn(move || {
            let sent = Instant::now();
            let id = format!("first-{number}");
            let Ok((_, last)) = read(&killed, &id, None, BUDGET) else {
                return record.line(&format!("{id}: no answer"));
            };
            record.line(&format!("{id}: broken after event {last}"));
            sleep(COMES_BACK);
            let again = format!("again-{number}");
            let result = read(
                &other,
                &again,
                Some((&id, last)),
                BUDGET.saturating_sub(sent.elapsed()),
            );
            record.line(&format!("{again} takes it up after event {last}: {result:?}"));
            if let Ok(mut tally) = tally.lock() {
                tally.0 += 1;
                tally.1 += u32::from(result.is_ok_and(|(_, now)| now > last));
            }
        }));
    }
    sleep(Duration::from_millis(1200));
    lab.nodes[entries[0]].kill();
    if has_trouble {
        for core in &cores {
            lab.nodes[*core].kill();
        }
        record.line("all processes of the core and an entry process are killed");
        lab.nodes[cores[2]].wipe()?;
    }
    sleep(Duration::from_millis(500));
    if has_trouble {
        for core in &cores {
            lab.nodes[*core].set_started();
            lab.start(*core)?;
        }
        record.line("they start again, one machine of the core with an empty disk");
    }
    lab.start(entries[0])?;
    sleep(COMES_BACK - Duration::from_millis(400));
    let new: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let other = other.clone();
            thread::spawn(move || read(&other, &format!("new-{number}"), None, BUDGET))
        })
        .collect();
    for thread in threads {
        let _ = thread.join();
    }
    let results = new.into_iter().map(|thread| thread.join());
    let begun = results
        .filter(|result| matches!(result, Ok(Ok((_, last))) if *last > 0))
        .count();
    let (taken_up, went_on) = *tally.lock().map_err(|_| "a client has panicked")?;
    record.say(&format!("of {taken_up} streams that clients took up again {went_on} went on; of {CLIENTS} new ones {begun} began"));
    if begun == 0 {
        return Err("no new stream began".into());
    }
    let is_broken =
        taken_up >= 12 && f64::from(went_on) / f64::from(taken_up) < begun as f64 / CLIENTS as f64 / 2.0;
    Ok(if is_broken { Verdict::Broken } else { Verdict::Held })
}
