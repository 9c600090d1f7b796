//! Calls over HTTP/1.1, one at a time.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Answer to a call.
#[derive(Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

fn broken(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, reason.to_owned())
}

/// Reads a head: the words of its first line, and its headers. `None` is the end of the connection before a head.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<(Vec<String>, Vec<(String, String)>)>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.split_whitespace().map(str::to_owned).collect();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the connection ended in a head"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some((first, headers)));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a whole body.
pub fn read_body(reader: &mut impl BufRead, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
    let find = |wanted: &str| {
        let found = headers.iter().find(|(name, _)| name.eq_ignore_ascii_case(wanted));
        found.map(|(_, value)| value.as_str())
    };
    let mut body = Vec::new();
    if find("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(broken("the connection ended before the last chunk"));
            }
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("no chunk"))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
    let length = find("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    body.resize(length, 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a whole answer.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let (first, headers) = read_head(reader)?.ok_or_else(|| broken("closed without an answer"))?;
    let status = first
        .get(1)
        .and_then(|status| status.parse().ok())
        .ok_or_else(|| broken("no answer"))?;
    let body = read_body(reader, &headers)?;
    Ok(Answer {
        status,
        headers,
        body,
    })
}

/// Opens a connection.
pub fn connect(address: &str, timeout: Duration) -> io::Result<TcpStream> {
    let address: SocketAddr = address.parse().map_err(|_| io::ErrorKind::InvalidInput)?;
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Makes a call of the control interface and follows up to two redirects.
pub fn call(address: &str, method: &str, path: &str, body: &str) -> io::Result<Answer> {
    let mut address = address.to_owned();
    for _ in 0..3 {
        let mut stream = connect(&address, Duration::from_secs(1))?;
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(request.as_bytes())?;
        let answer = read_answer(&mut BufReader::new(stream))?;
        let location = answer.header("location").filter(|_| answer.status == 307);
        let Some(location) = location.and_then(|location| location.strip_prefix("http://")) else {
            return Ok(answer);
        };
        address = location.split('/').next().unwrap_or_default().to_owned();
    }
    Err(broken("too many redirects"))
}
