//! Request line and headers.
//!
//! What two parsers could read differently is refused, because a request is forwarded to targets that
//! have parsers of their own: two body lengths, a body length next to chunked coding, a missing or
//! repeated `Host`, dot segments and control characters in the path.

use httparse::{Error, Status};

use crate::problem::Problem;

const STEP: &str = "head";
/// Most headers of a request.
const HEADER_LIMIT: usize = 100;
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "DELETE", "PATCH", "OPTIONS"];

/// How the body is delimited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Length {
    Fixed(u64),
    Chunked,
}

/// Parsed request line and headers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) method: String,
    pub(crate) target: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) length: Length,
    pub(crate) http10: bool,
    pub(crate) keep_alive: bool,
    pub(crate) expects_continue: bool,
}

impl Head {
    pub(crate) fn query(&self) -> Option<&str> {
        self.target.split_once('?').map(|(_, query)| query)
    }

    /// Returns the first header of a name.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

/// Returns the first value of a name.
pub(crate) fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut found = headers
        .iter()
        .filter(|(own, _)| own.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.as_str())
}

fn refuse(status: u16, title: &str) -> Box<Problem> {
    Box::new(Problem::new(status, title, STEP))
}

/// Returns the head and its length in bytes, or `None` while it is incomplete.
pub(crate) fn parse(bytes: &[u8], limit: usize) -> Result<Option<(Head, usize)>, Box<Problem>> {
    let mut headers = [httparse::EMPTY_HEADER; HEADER_LIMIT];
    let mut request = httparse::Request::new(&mut headers);
    let status = request.parse(bytes).map_err(|error| match error {
        Error::TooManyHeaders => refuse(431, "too many headers"),
        Error::Version => refuse(400, "unsupported HTTP version"),
        other => {
            let problem = Problem::new(400, "malformed request head", STEP);
            Box::new(problem.detail(other.to_string()))
        }
    })?;
    let len = match status {
        Status::Complete(len) if len <= limit => len,
        Status::Partial if bytes.len() <= limit => return Ok(None),
        _ => return Err(refuse(431, "request head too large")),
    };
    let method = request.method.unwrap_or_default();
    if !METHODS.contains(&method) {
        return Err(refuse(405, "method not allowed"));
    }
    let target = request.path.unwrap_or_default();
    let path = path(target)?;
    let mut fields = Vec::with_capacity(request.headers.len());
    for header in request.headers.iter() {
        let value = std::str::from_utf8(header.value)
            .map_err(|_| refuse(400, "header value is not UTF-8"))?;
        fields.push((header.name.to_ascii_lowercase(), value.to_owned()));
    }
    let http10 = request.version == Some(0);
    check_host(&fields, http10)?;
    let length = length(&fields, http10)?;
    let close = find(&fields, "connection").is_some_and(|value| {
        let mut options = value.split(',');
        options.any(|option| option.trim().eq_ignore_ascii_case("close"))
    });
    let expects_continue =
        find(&fields, "expect").is_some_and(|value| value.eq_ignore_ascii_case("100-continue"));
    let head = Head {
        method: method.to_owned(),
        target: target.to_owned(),
        path,
        headers: fields,
        length,
        http10,
        keep_alive: !http10 && !close,
        expects_continue,
    };
    Ok(Some((head, len)))
}

fn check_host(headers: &[(String, String)], http10: bool) -> Result<(), Box<Problem>> {
    match headers.iter().filter(|(name, _)| name == "host").count() {
        1 => Ok(()),
        0 if http10 => Ok(()),
        _ => Err(refuse(400, "exactly one Host header is required")),
    }
}

fn length(headers: &[(String, String)], http10: bool) -> Result<Length, Box<Problem>> {
    let values = |wanted| headers.iter().filter(move |(name, _)| name == wanted);
    let mut lengths = values("content-length").map(|(_, value)| value);
    let mut codings = values("transfer-encoding").map(|(_, value)| value);
    match (lengths.next(), codings.next()) {
        (None, None) => Ok(Length::Fixed(0)),
        (Some(length), None) if lengths.next().is_none() => {
            let digits = !length.is_empty() && length.bytes().all(|byte| byte.is_ascii_digit());
            let parsed = digits.then(|| length.parse().ok()).flatten();
            parsed
                .map(Length::Fixed)
                .ok_or_else(|| refuse(400, "malformed Content-Length"))
        }
        (None, Some(coding))
            if codings.next().is_none() && !http10 && coding.eq_ignore_ascii_case("chunked") =>
        {
            Ok(Length::Chunked)
        }
        _ => Err(refuse(400, "ambiguous or unsupported body length")),
    }
}

/// Returns the decoded path of a request target in origin form.
fn path(target: &str) -> Result<String, Box<Problem>> {
    let raw = target.split('?').next().unwrap_or_default();
    if !raw.starts_with('/') || !target.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Err(refuse(400, "malformed request target"));
    }
    let path = decode(raw).ok_or_else(|| refuse(400, "malformed percent-encoding in the path"))?;
    let path = String::from_utf8(path).map_err(|_| refuse(400, "path is not UTF-8"))?;
    let dots = path.split('/').any(|part| part == "." || part == "..");
    if dots || path.chars().any(char::is_control) {
        return Err(refuse(400, "dot segment or control character in the path"));
    }
    Ok(path)
}

fn decode(raw: &str) -> Option<Vec<u8>> {
    let mut out = Vec::with_capacity(raw.len());
    let mut bytes = raw.bytes();
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            out.push(byte);
            continue;
        }
        let high = char::from(bytes.next()?).to_digit(16)?;
        let low = char::from(bytes.next()?).to_digit(16)?;
        out.push(u8::try_from(high * 16 + low).ok()?);
    }
    Some(out)
}
