//! A small HTTP/1.1 client and server side over blocking sockets.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::TcpStream,
    time::Duration,
};

/// Head of a request or an answer, with its body.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived completely.
    pub is_complete: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(known, _)| known.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Reads a head. `None` is the end of the connection before a byte of it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        line: line.trim_end().to_owned(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message
                .headers
                .push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that a head announces. `until_close` is whether a body without a length ends with the connection.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    until_close: bool,
) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some();
    let length = message
        .header("content-length")
        .and_then(|length| length.parse::<usize>().ok());
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let Ok(length) = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
            else {
                return Ok(());
            };
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Ok(());
            }
            if length == 0 {
                message.is_complete = true;
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    }
    match length {
        Some(length) => {
            let mut body = vec![0; length];
            message.is_complete = reader.read_exact(&mut body).is_ok();
            message.body = body;
        }
        None if until_close => message.is_complete = reader.read_to_end(&mut message.body).is_ok(),
        None => message.is_complete = true,
    }
    Ok(())
}

/// Connection of a client, used for one request after the other.
pub struct Client {
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: &str, limit: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(limit))?;
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{head}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        self.reader.get_mut().write_all(&bytes)
    }

    /// Receives an answer. An end of the connection before it is an error.
    pub fn receive(&mut self) -> io::Result<Message> {
        let head = read_head(&mut self.reader)?;
        let mut message = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        read_body(&mut self.reader, &mut message, true)?;
        Ok(message)
    }

    pub fn call(&mut self, head: &str, body: &[u8]) -> io::Result<Message> {
        self.send(head, body)?;
        self.receive()
    }
}

/// Makes a call to the core and follows redirects twice.
pub fn call_core(address: &str, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let mut address = address.to_owned();
    for _ in 0..3 {
        let mut client = Client::connect(&address, Duration::from_millis(1000))?;
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nConnection: close"
        );
        let answer = client.call(&head, body.as_bytes())?;
        let location = answer.header("location").filter(|_| answer.status() == 307);
        let Some(rest) = location.and_then(|location| location.strip_prefix("http://")) else {
            return Ok(answer);
        };
        address = rest.split('/').next().unwrap_or("").to_owned();
    }
    Err(io::ErrorKind::Other.into())
}
