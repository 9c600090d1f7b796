//! Splitting of a byte stream into events.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use arbtest::{
    arbitrary::{self, Unstructured},
    arbtest,
};
use buckthornmast_forward::{
    events::{Fault, Splitter},
    memory::Memory,
};
use bytes::Bytes;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: word\n\n")
}

/// Returns an event whose lines end with a carriage return as well.
fn crlf_event(number: u64) -> String {
    event(number).replace('\n', "\r\n")
}

/// Returns the events that a text completes, or the fault if there is one.
fn push(splitter: &mut Splitter, text: &str) -> Result<Option<Bytes>, Fault> {
    let events = splitter.push(Bytes::copy_from_slice(text.as_bytes()));
    splitter.fault().map_or(Ok(events), Err)
}

/// Guards against bytes that are altered or lost depending on how the network splits them.
#[test]
fn push_any_cut() {
    /// Runs one case.
    fn push_cut(u: &mut Unstructured<'_>) -> arbitrary::Result<()> {
        let count = u.int_in_range(1..=8)?;
        let whole: String = (1..=count).map(event).collect();
        let mut splitter = Splitter::new(None, Memory::default().share());
        let mut passed = String::new();
        let mut rest = whole.as_str();
        while !rest.is_empty() {
            let (piece, after) = rest.split_at(u.int_in_range(1..=rest.len())?);
            if let Some(events) = push(&mut splitter, piece).unwrap() {
                passed.push_str(std::str::from_utf8(&events).unwrap());
            }
            rest = after;
        }
        assert_eq!(passed, whole);
        assert!(!splitter.is_partial());
        assert_eq!(splitter.last(), Some(count));
        Ok(())
    }
    // The low 32 bits of a seed are the number of random bytes of its case.
    for number in 1..=2000 {
        arbtest(push_cut).seed(number << 32 | 1024).run();
    }
}

/// Guards against events that are split or joined at the wrong place if some have other line ends, wherever the network
/// splits them.
#[test]
fn push_line_ends() {
    let events = [
        event(1),
        crlf_event(2),
        crlf_event(3),
        event(4),
        crlf_event(5),
    ];
    let whole = events.concat();
    for first in 0..=whole.len() {
        for second in first..=whole.len() {
            let mut splitter = Splitter::new(None, Memory::default().share());
            let pieces = [&whole[..first], &whole[first..second], &whole[second..]];
            let passed =
                pieces.map(|piece| push(&mut splitter, piece).unwrap().unwrap_or_default());
            assert_eq!(passed.concat(), whole.as_bytes());
            let mut passed_bytes = 0;
            for (end, passed) in [first, second, whole.len()].into_iter().zip(&passed) {
                passed_bytes += passed.len();
                let ends = events.iter().scan(0, |at, event| {
                    *at += event.len();
                    Some(*at)
                });
                let arrived = ends.take_while(|at| *at <= end).last();
                assert_eq!(passed_bytes, arrived.unwrap_or(0), "{first} {second}");
            }
            assert!(!splitter.is_partial());
        }
    }
}

/// Guards against a partial event that reaches the caller before the stream is resumed at another target.
#[test]
fn push_partial() {
    let mut splitter = Splitter::new(None, Memory::default().share());
    let events = push(&mut splitter, &format!("{}id: 2\nda", event(1))).unwrap();
    assert_eq!(events.as_deref(), Some(event(1).as_bytes()));
    assert!(splitter.is_partial());
    splitter.discard_partial();
    let events = push(&mut splitter, &event(2)).unwrap();
    assert_eq!(events.as_deref(), Some(event(2).as_bytes()));
}

/// Guards against an event that the caller receives twice or never.
#[test]
fn push_after_last() {
    let mut splitter = Splitter::new(Some(3), Memory::default().share());
    let events = push(&mut splitter, &format!("{}{}", event(3), event(4))).unwrap();
    assert_eq!(events.as_deref(), Some(event(4).as_bytes()));
    let gap = push(&mut splitter, &event(6));
    assert_eq!(gap, Err(Fault::Gap { last: 4, found: 6 }));
}

/// Guards against an event that is lost because the same bytes show a gap behind it: it counts as forwarded, so a resumed
/// stream doesn't bring it again.
#[test]
fn push_before_gap() {
    let text = format!("{}{}", event(1), event(3));
    let mut splitter = Splitter::new(None, Memory::default().share());
    let events = splitter.push(Bytes::from(text));
    assert_eq!(events.as_deref(), Some(event(1).as_bytes()));
    assert_eq!(splitter.last(), Some(1));
    assert_eq!(splitter.fault(), Some(Fault::Gap { last: 1, found: 3 }));
    // Nothing of a stream with a gap is forwarded after it.
    assert_eq!(splitter.push(Bytes::from(event(2))), None);
    assert_eq!(splitter.last(), Some(1));
}
