//! Names of the platform's protocol, and HTTP/1.1 messages on blocking sockets.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Names, one per line after the word that this program uses.
const NAMES: &str = include_str!("names.txt");

/// Returns a name of the protocol.
pub fn name(word: &str) -> &'static str {
    let mut lines = NAMES.lines().filter_map(|line| line.split_once(' '));
    lines
        .find(|(known, _)| *known == word)
        .map_or("", |(_, name)| name)
}

/// Head and body of a request or an answer.
#[derive(Debug, Clone, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message whose body has a length or comes in chunks. `None` means that the connection ended before its end.
pub fn read(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message {
        line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let length = usize::from_str_radix(&read_line(reader)?, 16).ok()?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk).ok()?;
            if length == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    } else {
        let length = message.header("content-length").parse().unwrap_or(0);
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let read = reader.read_line(&mut line).ok()?;
    (read > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}

/// Opens a connection. Reads on it end after `patience`.
pub fn connect(address: SocketAddr, patience: Duration) -> Option<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(patience)).ok()?;
    stream.set_write_timeout(Some(patience)).ok()?;
    Some(BufReader::new(stream))
}

/// Sends a request on a connection and reads the answer.
pub fn exchange(connection: &mut BufReader<TcpStream>, head: &str, body: &[u8]) -> Option<Message> {
    let head = format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len());
    let mut message = head.into_bytes();
    message.extend_from_slice(body);
    connection.get_mut().write_all(&message).ok()?;
    read(connection)
}

/// Makes a call to the control address of the system and follows redirects.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Message> {
    let mut address = address;
    for _ in 0..3 {
        let mut connection = connect(address, Duration::from_secs(1))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nConnection: close"
        );
        let answer = exchange(&mut connection, &head, body.as_bytes())?;
        if answer.status() != 307 {
            return Some(answer);
        }
        let location = answer.header("location").strip_prefix("http://")?;
        address = location.split('/').next()?.parse().ok()?;
    }
    None
}
