//! Requests on kept channels while clients that aren't controlled hold nearly all places for channels.
//!
//! In each round, ordinary clients send a first request on channels of their own and keep these. Then many users come at
//! once: each of these clients sends its next request, and as many new ones open a channel for a request of theirs.

use std::{
    hint::spin_loop,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Barrier},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    memory::MACHINE,
    record::Record,
    server::{Behaviour, Server},
    site::{CONFIG, Site},
    wire::{Client, name},
};

/// Ordinary clients with a kept channel, and as many that come anew.
const CLIENTS: usize = 60;

const ROUNDS: usize = 8;

/// Pause between two users of a burst.
const GAP: Duration = Duration::from_micros(70);

/// Time of a request. A sound server may fall silent for a second or so.
const WORK: Duration = Duration::from_millis(1400);

/// Channels that an entry instance takes by the descriptors of its machine.
const PLACES: usize = MACHINE.descriptors / 3 * 2;

fn request(id: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 3000\r\nContent-Length: 2\r\n\r\nhi",
        name("request"),
        name("deadline")
    )
}

/// Opens a connection whose body stops one byte short of its end.
fn open_unfinished(address: SocketAddr, id: &str) -> Option<TcpStream> {
    let request = format!(
        "POST /slow/x HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: 20000\r\nContent-Length: 1000\r\n\r\n{}",
        name("request"),
        name("deadline"),
        "x".repeat(999)
    );
    let mut stream = TcpStream::connect(address).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    Some(stream)
}

fn pause() {
    let until = Instant::now() + GAP;
    while Instant::now() < until {
        spin_loop();
    }
}

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let mut site = Site::start(3, 1, MACHINE);
    let servers: Vec<Server> = (1..=4)
        .map(|number| {
            let behaviour = Behaviour {
                work: WORK,
                ..Behaviour::default()
            };
            Server::start(&format!("i-{number}"), "ledger", site.controls(), behaviour)
        })
        .collect();
    if !site.publish(CONFIG) || !site.wait_ready() || !site.wait_servers(servers.len()) {
        return Verdict::Failed;
    }
    let address = site.callers(0);
    let mut clients: Vec<Option<Client>> = Vec::new();
    clients.resize_with(CLIENTS, || None);
    let mut lost = 0;
    for round in 0..ROUNDS {
        for (number, client) in clients.iter_mut().enumerate() {
            if client.is_none() {
                *client = Client::connect(address, Duration::from_secs(6));
            }
            if let Some(client) = client {
                client.send(request(&format!("first-{round}-{number}")).as_bytes());
            }
        }
        for slot in &mut clients {
            let answer = slot.as_mut().and_then(Client::receive);
            if answer.is_none_or(|answer| answer.status() != 200) {
                *slot = None;
            }
        }
        let mut crowd = Vec::new();
        if has_trouble {
            let held = PLACES - CLIENTS - 2;
            let ids = (0..held).map(|number| format!("crowd-{round}-{number}"));
            crowd.extend(ids.filter_map(|id| open_unfinished(address, &id)));
            thread::sleep(Duration::from_millis(300));
        }
        let start = Arc::new(Barrier::new(2));
        let started = Arc::clone(&start);
        let newcomers = thread::spawn(move || {
            started.wait();
            let mut streams = Vec::new();
            for number in 0..CLIENTS {
                if let Ok(mut stream) = TcpStream::connect(address) {
                    let id = format!("new-{round}-{number}");
                    let _ = stream.write_all(request(&id).as_bytes());
                    streams.push(stream);
                }
                pause();
            }
            streams
        });
        let mut sent = Vec::new();
        start.wait();
        for (number, client) in clients.iter_mut().enumerate() {
            let id = format!("next-{round}-{number}");
            if let Some(client) = client
                && client.send(request(&id).as_bytes())
            {
                sent.push((number, id));
            }
            pause();
        }
        let newcomers = newcomers.join().unwrap_or_default();
        let (mut served, mut refused, mut unread) = (0, 0, 0);
        for (number, id) in &sent {
            let answer = clients[*number].as_mut().and_then(Client::receive);
            match answer {
                Some(answer) if answer.status() == 200 => served += 1,
                Some(_) => {
                    refused += 1;
                    clients[*number] = None;
                }
                None => {
                    clients[*number] = None;
                    let runs: u32 = servers.iter().map(|server| server.runs(id)).sum();
                    record.line(&format!(
                        "{id}: the kept channel was closed without an answer, the request ran {runs} times"
                    ));
                    if runs > 0 {
                        lost += 1;
                    } else {
                        unread += 1;
                    }
                }
            }
        }
        record.line(&format!(
            "round {round}: {} connections held, {} requests on kept channels, {served} served, {refused} refused, {unread} not run; {lost} lost so far",
            crowd.len(),
            sent.len()
        ));
        drop((newcomers, crowd));
        thread::sleep(Duration::from_millis(300));
    }
    record.line(&format!(
        "{lost} requests from kept channels ran and their channel was closed without an answer; process ended: {:?}",
        site.entry_end(0)
    ));
    Verdict::of(lost > 3)
}
