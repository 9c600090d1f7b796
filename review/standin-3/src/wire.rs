//! HTTP/1.1 over blocking sockets, and the names of the platform's headers.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Returns a name that the platform uses. They are kept in a text file.
pub fn name(key: &str) -> &'static str {
    let mut lines = include_str!("../names.txt").lines();
    let found = lines.find_map(|line| line.split_once(' ').filter(|(known, _)| *known == key));
    found.expect("a known name").1
}

/// Request or answer that was read.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let header = headers.find(|(known, _)| known.eq_ignore_ascii_case(name))?;
        Some(&header.1)
    }

    /// Returns the status of an answer, or 0.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads the head of a request or an answer.
pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut message = Message {
        first_line: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(message);
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a body with a length or in chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) {
    if message.header("transfer-encoding").is_some() {
        message.is_complete = read_chunks(reader, &mut message.body).is_some();
        return;
    }
    let length = message.header("content-length").unwrap_or("0");
    let length = length.parse().unwrap_or(0);
    message.is_complete = reader
        .take(length)
        .read_to_end(&mut message.body)
        .is_ok_and(|read| read as u64 == length);
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok()?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// Connection of a client.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr, limit: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(limit)).ok()?;
        stream.set_write_timeout(Some(limit)).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    pub fn receive(&mut self) -> Option<Message> {
        let mut answer = read_head(&mut self.reader)?;
        read_body(&mut self.reader, &mut answer);
        Some(answer)
    }
}

/// Makes a call to the core, and follows redirects twice.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let mut address = address;
    for _ in 0..3 {
        let mut client = Client::connect(address, Duration::from_secs(2))?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        client.send(request.as_bytes());
        let answer = client.receive()?;
        let location = answer.header("location").filter(|_| answer.status() == 307);
        let Some(location) = location else {
            return Some(answer);
        };
        let rest = location.strip_prefix("http://")?;
        address = rest.split('/').next()?.parse().ok()?;
    }
    None
}
