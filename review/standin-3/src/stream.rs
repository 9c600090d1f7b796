//! Client of a stream.

use std::{
    collections::BTreeSet,
    io::{BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    time::Duration,
};

use crate::wire::{name, read_head};

/// Stream as its client has received it.
#[derive(Debug, Clone, Default)]
pub struct Received {
    pub status: u16,
    pub last: u64,
    pub is_complete: bool,
    /// Versions of the software that wrote its events.
    pub versions: BTreeSet<String>,
}

pub fn head(id: &str, left: Duration, last: u64, resumes: Option<&str>) -> String {
    let mut head = format!(
        "POST /chat/x HTTP/1.1\r\nHost: shop.example\r\n{}: {id}\r\n{}: {}\r\n",
        name("request"),
        name("deadline"),
        left.as_millis()
    );
    if last > 0 {
        head.push_str(&format!("{}: {last}\r\n", name("last-event")));
    }
    if let Some(resumes) = resumes {
        head.push_str(&format!("{}: {resumes}\r\n", name("resumes")));
    }
    head.push_str("Content-Length: 2\r\n\r\nhi");
    head
}

/// Sends a request for a stream and reads it, up to an event if there is one to stop at.
pub fn play(address: SocketAddr, head: &str, stop_at: Option<u64>) -> Received {
    let mut received = Received::default();
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return received;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(4)));
    if stream.write_all(head.as_bytes()).is_err() {
        return received;
    }
    let mut reader = BufReader::new(stream);
    let Some(answer) = read_head(&mut reader) else {
        return received;
    };
    received.status = answer.status();
    if received.status != 200 {
        return received;
    }
    let mut line = String::new();
    loop {
        line.clear();
        if !reader.read_line(&mut line).is_ok_and(|read| read > 0) {
            return received;
        }
        let Ok(length) = usize::from_str_radix(line.trim(), 16) else {
            return received;
        };
        let mut chunk = vec![0; length + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return received;
        }
        if length == 0 {
            received.is_complete = true;
            return received;
        }
        let text = String::from_utf8_lossy(&chunk);
        let versions = text.lines().filter_map(|line| line.rsplit_once(" by "));
        let versions = versions.map(|(_, version)| version.to_owned());
        received.versions.extend(versions);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        let last = ids.filter_map(|id| id.trim().parse().ok()).last();
        received.last = last.unwrap_or(received.last);
        if stop_at.is_some_and(|stop_at| received.last >= stop_at) {
            let _ = reader.get_ref().shutdown(Shutdown::Both);
            return received;
        }
    }
}
