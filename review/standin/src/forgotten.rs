//! A server withdraws, and all processes of the system are killed right after the acknowledgement.

use std::{
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Outcome,
    deployment::{Addresses, Deployment},
    record::Record,
    server::Server,
    wire::{self, name},
};

/// Time after the acknowledgement from which the server gets no further request (`drain-ms`).
const DRAIN: f64 = 2.0;

/// Time for which the processes are down.
const DOWN: Duration = Duration::from_millis(1000);

/// Time after the acknowledgement at which consumers send requests again. The processes have been back for more than
/// twice `contact-ms` by then.
const QUIET: Duration = Duration::from_millis(8000);

/// Time for which the server goes on serving after the acknowledgement.
const STAY: Duration = Duration::from_millis(8250);

/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(300);

/// Requests of a round, and the pause between them.
const REQUESTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(40);

pub fn play(root: &Path, record: &Record, has_trouble: bool) -> Outcome {
    let mut addresses = Addresses::new();
    let servers_ip = addresses.take();
    let mut deployment = Deployment::start(root, record, &mut addresses, 2);
    let document = include_str!("document.txt")
        .trim()
        .replace("VERSION", "1")
        .replace("TIMEOUT", "3000");
    if !deployment.publish(&document) {
        return Outcome::NotRun("the config was not acknowledged".to_owned());
    }
    record.line("config 1 acknowledged");
    let servers: Vec<Server> = (1..=3)
        .map(|number| {
            Server::start(
                &format!("i-server-{number}"),
                "ledger",
                &format!("zone-{number}"),
                &servers_ip,
                WORK,
                deployment.controls(),
                record,
            )
        })
        .collect();
    if !deployment.wait_ready(Duration::from_secs(10)) {
        return Outcome::NotRun("the entry machines were not ready".to_owned());
    }
    // The machines are in touch, and everything is known everywhere.
    thread::sleep(Duration::from_secs(10));
    let before = send(&deployment, record, "before");
    if before < REQUESTS {
        return Outcome::NotRun(format!("only {before} requests were served at first"));
    }
    let leaver = &servers[2];
    leaver.stop_pings();
    // A ping that is under way is answered first.
    thread::sleep(Duration::from_secs(1));
    leaver.set_leaving();
    let control = deployment.cores[1].control();
    let status = leaver.withdraw(control);
    let acknowledged = record.seconds();
    let since = Instant::now();
    record.line(&format!("{} withdraws at core-2: {status}", leaver.id()));
    if status != 200 {
        return Outcome::NotRun("the withdrawal was not acknowledged".to_owned());
    }
    if has_trouble {
        deployment.kill_all();
        record.line("killed all processes");
        thread::sleep(DOWN);
        deployment.start_all();
        if !deployment.wait_ready(Duration::from_secs(5)) {
            return Outcome::NotRun("the entry machines were not ready again".to_owned());
        }
        record.line("the entry machines are ready again");
    }
    thread::sleep(QUIET.saturating_sub(since.elapsed()));
    let exit = {
        let leaver = leaver.clone();
        thread::spawn(move || {
            thread::sleep(STAY.saturating_sub(since.elapsed()));
            leaver.exit();
        })
    };
    let served = send(&deployment, record, "after");
    record.line(&format!("{served} of {REQUESTS} requests were served"));
    // The thread only waits.
    let _ = exit.join();
    let late: Vec<_> = leaver
        .runs()
        .into_iter()
        .filter(|run| run.at > acknowledged + DRAIN)
        .collect();
    for run in &late {
        record.line(&format!(
            "{} ran {} {:.3} s after its withdrawal was acknowledged",
            leaver.id(),
            run.request,
            run.at - acknowledged
        ));
    }
    if late.is_empty() {
        Outcome::Held
    } else {
        Outcome::Broken
    }
}

/// Sends requests to the entry machines in turn, without waiting for answers, and returns how many were served.
fn send(deployment: &Deployment, record: &Record, label: &str) -> usize {
    let mut consumers = Vec::new();
    for number in 0..REQUESTS {
        let entry = &deployment.entries[number % deployment.entries.len()];
        let (callers, entry) = (entry.callers(), entry.name.clone());
        let (id, record) = (format!("{label}-{number}"), record.clone());
        consumers.push(thread::spawn(move || {
            let head = format!(
                "POST /confirm/{number} HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 3000",
                name("request"),
                name("deadline")
            );
            let connection = wire::connect(callers, Duration::from_secs(4));
            let answer = connection.and_then(|mut connection| {
                wire::exchange(&mut connection, &head, b"{\"order\":1}")
            });
            let status = answer.map_or(0, |answer| answer.status());
            record.line(&format!("{entry} answers {id}: {status}"));
            status == 200
        }));
        thread::sleep(PAUSE);
    }
    let served = consumers
        .into_iter()
        .map(|consumer| consumer.join().unwrap_or(false));
    served.filter(|is_served| *is_served).count()
}
