//! Decoder of chunked bodies, fed with whatever has arrived.

/// Longest line of a chunk size with its extensions, and of a trailer field.
const LINE_LIMIT: usize = 1024;
/// Most trailer fields, which are read and ignored.
const TRAILER_LIMIT: usize = 32;

/// The body does not follow the chunked coding.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Malformed;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Size,
    Data(u64),
    DataEnd,
    Trailer(usize),
    Done,
}

/// Decoder of one body.
#[derive(Debug, Clone)]
pub(crate) struct Decoder {
    state: State,
}

impl Decoder {
    pub(crate) fn new() -> Self {
        Self { state: State::Size }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Decodes as much input as possible and returns how much of it was used. The rest must be
    /// passed again with the bytes that follow it.
    pub(crate) fn decode(&mut self, input: &[u8], out: &mut Vec<u8>) -> Result<usize, Malformed> {
        let mut at = 0;
        loop {
            let rest = &input[at..];
            match self.state {
                State::Done => return Ok(at),
                State::Data(left) => {
                    if rest.is_empty() {
                        return Ok(at);
                    }
                    let take =
                        usize::try_from(left).map_or(rest.len(), |left| left.min(rest.len()));
                    out.extend_from_slice(&rest[..take]);
                    at += take;
                    let left = left - take as u64;
                    self.state = if left == 0 {
                        State::DataEnd
                    } else {
                        State::Data(left)
                    };
                }
                State::DataEnd => match rest {
                    [b'\r', b'\n', ..] => {
                        at += 2;
                        self.state = State::Size;
                    }
                    [] | [b'\r'] => return Ok(at),
                    _ => return Err(Malformed),
                },
                State::Size | State::Trailer(_) => {
                    let Some(line) = line(rest)? else {
                        return Ok(at);
                    };
                    at += line.len() + 2;
                    self.state = self.after_line(line)?;
                }
            }
        }
    }

    fn after_line(&self, line: &[u8]) -> Result<State, Malformed> {
        match self.state {
            State::Trailer(_) if line.is_empty() => Ok(State::Done),
            State::Trailer(count) if count < TRAILER_LIMIT => Ok(State::Trailer(count + 1)),
            State::Size => match size(line)? {
                0 => Ok(State::Trailer(0)),
                size => Ok(State::Data(size)),
            },
            _ => Err(Malformed),
        }
    }
}

/// Returns the line that the input starts with, without its line break, if it is complete.
fn line(input: &[u8]) -> Result<Option<&[u8]>, Malformed> {
    match input.iter().position(|byte| *byte == b'\n') {
        Some(end) if end > 0 && end <= LINE_LIMIT && input[end - 1] == b'\r' => {
            Ok(Some(&input[..end - 1]))
        }
        Some(_) => Err(Malformed),
        None if input.len() > LINE_LIMIT => Err(Malformed),
        None => Ok(None),
    }
}

fn size(line: &[u8]) -> Result<u64, Malformed> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let digits = digits.trim_ascii_end();
    // 15 hexadecimal digits fit into 64 bits with room for sums.
    if digits.is_empty() || digits.len() > 15 || !digits.iter().all(u8::is_ascii_hexdigit) {
        return Err(Malformed);
    }
    let digits = std::str::from_utf8(digits).map_err(|_| Malformed)?;
    u64::from_str_radix(digits, 16).map_err(|_| Malformed)
}
