//! Assembly of answers from chunks that are reordered, duplicated, foreign or lost.

#![allow(clippy::unwrap_used, reason = "a helper that fails must fail its test")]

use arbtest::arbitrary::{self, Unstructured};
use buckthornmast_gateway::assembly::{Answer, AssemblyError, MAX_EARLY_CHUNKS};
use buckthornmast_target::work::{Chunk, Event, Finish};
use buckthornmast_types::id;

fn chunk(request: id::Request, attempt: u64, index: u32, event: Event) -> Chunk {
    Chunk {
        request,
        attempt: id::Attempt(attempt),
        index,
        event,
    }
}

fn token(text: &str) -> Event {
    Event::Token(text.to_owned())
}

/// Guards against answers with lost, duplicated, foreign or reordered tokens, and against an answer that
/// counts as complete while a token is missing.
#[test]
fn accept_table() {
    let (request_id, other) = (id::Request::generate(), id::Request::generate());
    let t = |index, text| chunk(request_id, 1, index, token(text));
    let end = |index| chunk(request_id, 1, index, Event::Finish(Finish::Stop));
    let cases: Vec<(&str, Vec<Chunk>, &str, bool)> = vec![
        ("in order", vec![t(0, "a"), t(1, "b"), end(2)], "ab", true),
        ("no tokens", vec![end(0)], "", true),
        ("reversed", vec![end(2), t(1, "b"), t(0, "a")], "ab", true),
        ("late", vec![t(1, "b"), t(0, "a"), end(2)], "ab", true),
        (
            "duplicated",
            vec![t(0, "a"), t(0, "a"), t(1, "b"), t(0, "x"), end(2)],
            "ab",
            true,
        ),
        (
            "duplicated while early",
            vec![t(1, "b"), t(1, "x"), t(0, "a"), end(2)],
            "ab",
            true,
        ),
        ("missing token", vec![t(0, "a"), end(2)], "a", false),
        ("missing first", vec![t(1, "b"), end(2)], "", false),
        ("missing end", vec![t(0, "a"), t(1, "b")], "ab", false),
        (
            "foreign request",
            vec![t(0, "a"), chunk(other, 1, 1, token("x")), end(2)],
            "a",
            false,
        ),
        (
            "other attempts",
            vec![
                t(0, "a"),
                chunk(request_id, 0, 1, token("x")),
                chunk(request_id, 2, 1, token("x")),
                t(1, "b"),
                end(2),
            ],
            "ab",
            true,
        ),
        (
            "foreign end",
            vec![
                t(0, "a"),
                chunk(other, 1, 1, Event::Finish(Finish::Stop)),
                chunk(request_id, 0, 1, Event::Finish(Finish::Stop)),
            ],
            "a",
            false,
        ),
        (
            "after the end",
            vec![t(0, "a"), end(1), t(1, "x"), t(2, "y")],
            "a",
            true,
        ),
        (
            "beyond an early end",
            vec![t(2, "x"), end(1), t(0, "a")],
            "a",
            true,
        ),
    ];
    for (name, chunks, text, is_complete) in cases {
        let mut answer = Answer::new(request_id);
        answer.next_attempt();
        let mut forwarded = String::new();
        for chunk in chunks {
            forwarded.push_str(&answer.accept(chunk).unwrap().concat());
        }
        assert_eq!(forwarded, text, "{name}: forwarded");
        assert_eq!(answer.tokens().concat(), text, "{name}: kept");
        assert_eq!(answer.finish().is_some(), is_complete, "{name}: complete");
    }
}

/// Guards against an unbounded wait for a missing token.
#[test]
fn accept_too_many_early() {
    let request_id = id::Request::generate();
    let mut answer = Answer::new(request_id);
    answer.next_attempt();
    let max_early = u32::try_from(MAX_EARLY_CHUNKS).unwrap();
    for index in 1..=max_early {
        assert_eq!(
            answer.accept(chunk(request_id, 1, index, token("x"))),
            Ok(&[][..]),
            "{index}"
        );
    }
    let further = answer.accept(chunk(request_id, 1, max_early + 1, token("x")));
    assert_eq!(further, Err(AssemblyError::Missing { index: 0 }));
    let missing = answer.accept(chunk(request_id, 1, 0, token("x")));
    assert_eq!(missing.map(<[String]>::len), Ok(MAX_EARLY_CHUNKS + 1));
}

/// Guards against early chunks of a failed attempt that get into the answer of the next attempt.
#[test]
fn next_attempt_discards_early_chunks() {
    let request_id = id::Request::generate();
    let mut answer = Answer::new(request_id);
    answer.next_attempt();
    answer.accept(chunk(request_id, 1, 0, token("a"))).unwrap();
    answer
        .accept(chunk(request_id, 1, 2, token("old")))
        .unwrap();
    let end = chunk(request_id, 1, 3, Event::Finish(Finish::Stop));
    answer.accept(end).unwrap();
    assert_eq!(answer.next_attempt(), id::Attempt(2));
    answer.accept(chunk(request_id, 2, 1, token("b"))).unwrap();
    assert_eq!(
        (answer.tokens().concat().as_str(), answer.finish()),
        ("ab", None)
    );
}

/// Reference implementation, which keeps every chunk of the attempt and searches from the start each time.
#[derive(Default)]
struct Reference {
    base: Vec<String>,
    received: Vec<(u32, Event)>,
}

impl Reference {
    fn read(&self) -> (Vec<String>, Option<Finish>) {
        let mut tokens = self.base.clone();
        loop {
            let position = u32::try_from(tokens.len()).unwrap();
            let found = self.received.iter().find(|(index, _)| *index == position);
            match found {
                Some((_, Event::Token(token))) => tokens.push(token.clone()),
                Some((_, Event::Finish(finish))) => return (tokens, Some(*finish)),
                None => return (tokens, None),
            }
        }
    }
}

fn compare(
    u: &mut Unstructured<'_>,
    complete: &mut u32,
    accepted: &mut u32,
) -> arbitrary::Result<()> {
    let (request_id, other) = (id::Request::generate(), id::Request::generate());
    let (mut answer, mut reference) = (Answer::new(request_id), Reference::default());
    let mut attempt = answer.next_attempt();
    let mut forwarded: Vec<String> = Vec::new();
    while u.len() >= 8 {
        if answer.finish().is_none() && u.ratio(1, 12)? {
            reference.base = reference.read().0;
            reference.received.clear();
            attempt = answer.next_attempt();
            continue;
        }
        let request = if u.ratio(1, 8)? { other } else { request_id };
        let from = if u.ratio(1, 8)? { 0 } else { attempt.0 };
        let near = u32::try_from(answer.tokens().len()).unwrap() + u.int_in_range(0..=3)?;
        let index = near.saturating_sub(1);
        let event = if u.ratio(1, 16)? {
            Event::Finish(Finish::Length)
        } else {
            token(&format!("{index}-{} ", u.int_in_range(0..=3)?))
        };
        if request == request_id && from == attempt.0 {
            reference.received.push((index, event.clone()));
        }
        let tokens = answer.accept(chunk(request, from, index, event)).unwrap();
        *accepted += u32::try_from(tokens.len()).unwrap();
        forwarded.extend_from_slice(tokens);
        let (tokens, finish) = reference.read();
        assert_eq!(
            (answer.tokens(), answer.finish()),
            (tokens.as_slice(), finish)
        );
        assert_eq!(forwarded, tokens);
    }
    *complete += u32::from(answer.finish().is_some());
    Ok(())
}

/// Guards against any order of chunks for which the answer differs from the reference implementation.
#[test]
fn accept_reference() {
    let (mut complete, mut accepted) = (0, 0);
    // A seed is one case, and its low 32 bits are the number of random bytes.
    for number in 0..2_000 {
        arbtest::arbtest(|u| compare(u, &mut complete, &mut accepted)).seed(number << 32 | 512);
    }
    println!("{complete} complete answers, {accepted} tokens");
    assert!(
        complete > 200 && accepted > 10_000,
        "{complete} complete answers, {accepted} tokens"
    );
}
