//! Answers of a server that states a very long idle timeout.

use std::time::Duration;

use crate::{
    Verdict,
    record::Record,
    server::{Behaviour, Server},
    site::{CONFIG, Machine, Site},
    wire::{Client, name},
};

/// Number of clients, each with a connection for two requests.
const CLIENTS: usize = 20;

/// Longest time in whole seconds that a signed number of 64 bits holds.
const LONGEST: &str = "9223372036854775807";

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let machine = Machine {
        memory_mb: 260,
        descriptors: 4200,
    };
    let mut site = Site::start(3, 1, machine);
    let timeout = if has_trouble { LONGEST } else { "15" };
    let behaviour = Behaviour {
        extra: format!("Keep-Alive: timeout={timeout}\r\n"),
        ..Behaviour::default()
    };
    let server = Server::start("i-1", "ledger", site.controls(), behaviour);
    if !site.publish(CONFIG) || !site.wait_ready() || !site.wait_servers(1) {
        return Verdict::Failed;
    }
    let mut lost = 0;
    for number in 0..CLIENTS {
        let Some(mut client) = Client::connect(site.callers(0), Duration::from_secs(5)) else {
            return Verdict::Failed;
        };
        for turn in 0..2 {
            let id = format!("request-{number}-{turn}");
            let request = format!(
                "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 3000\r\nContent-Length: 2\r\n\r\nhi",
                name("request"),
                name("deadline")
            );
            if !client.send(request.as_bytes()) {
                break;
            }
            let answer = client.receive().map(|answer| answer.status());
            let runs = server.runs(&id);
            record.line(&format!("{id}: answered with {answer:?}, ran {runs} times"));
            if answer.is_none() {
                lost += u32::from(runs > 0);
                break;
            }
        }
    }
    record.line(&format!(
        "{lost} requests ran and their channel was closed without an answer; process ended: {:?}",
        site.entry_end(0)
    ));
    Verdict::of(lost > 3)
}
