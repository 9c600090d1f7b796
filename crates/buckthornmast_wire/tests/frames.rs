//! Frames, keys and the replay window.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use buckthornmast_types::id;
use buckthornmast_wire::{datagram::FrameError, prelude::*, sealed::OpenError};

fn key(byte: u8) -> Key {
    Key::new([byte; 32])
}

fn name(text: &str) -> id::Instance {
    text.parse().unwrap()
}

/// Guards against a MAC that is not HMAC-SHA-256. The expected value was computed with Python's hmac module.
#[test]
fn mac_known_value() {
    let frame = datagram::encode(&key(7), &()).unwrap();
    assert_eq!(frame[0], 1);
    let hex: String = frame[1..]
        .iter()
        .map(|byte| format!("{byte:02x}"))
        .collect();
    assert_eq!(hex, "c2585a836befd841dfdd360be20ed434");
}

/// Guards against frames that are accepted after one of their parts was changed.
#[test]
fn sealed_tampered() {
    let nonce = Nonce {
        session: 1,
        sequence: 2,
    };
    let good = sealed::seal_request(&key(1), &name("a"), nonce, "{}".into());
    assert_eq!(sealed::open_request(&key(1), &good), Ok("{}"));
    let mut frames = vec![good.clone(); 5];
    frames[0].from = name("b");
    frames[1].nonce.session = 2;
    frames[2].nonce.sequence = 3;
    frames[3].body = "[]".into();
    frames[4].mac = sealed::seal_request(&key(2), &name("a"), nonce, "{}".into()).mac;
    for frame in frames {
        assert!(sealed::open_request(&key(1), &frame).is_err(), "{frame:?}");
    }
    assert!(sealed::open_request(&key(2), &good).is_err());
}

/// Guards against requests that are accepted as answers, and against replayed answers.
#[test]
fn answer_mismatch() {
    let nonce = Nonce::random();
    let request = sealed::seal_request(&key(1), &name("b"), nonce, "1".into());
    let open = |from: &str, nonce, frame: &Sealed| {
        sealed::open_answer(&key(1), &name(from), nonce, frame).map(str::to_owned)
    };
    assert!(matches!(
        open("b", nonce, &request),
        Err(OpenError::Mac { .. })
    ));
    let answer = sealed::seal_answer(&key(1), &name("b"), nonce, "1".into());
    assert_eq!(open("b", nonce, &answer).as_deref(), Ok("1"));
    let other = Nonce {
        sequence: nonce.sequence.wrapping_add(1),
        ..nonce
    };
    assert!(matches!(
        open("b", other, &answer),
        Err(OpenError::Mismatch { .. })
    ));
    assert!(matches!(
        open("c", nonce, &answer),
        Err(OpenError::Mismatch { .. })
    ));
    assert!(sealed::open_request(&key(1), &answer).is_err());
}

/// Guards against panics and hangs on arbitrary JSON, and against a frame whose MAC is refused after a round trip
/// through JSON.
#[test]
fn sealed_arbitrary_json() {
    // Each seed is one case; its low 32 bits are the number of random bytes.
    for number in 0..2_000 {
        arbtest::arbtest(|u| {
            let len = u.int_in_range(0..=100)?;
            let bytes = u.bytes(len)?.to_vec();
            if let Ok(frame) = serde_json::from_slice::<Sealed>(&bytes) {
                assert!(sealed::open_request(&key(1), &frame).is_err());
            }
            let len = u.int_in_range(0..=100)?;
            let body = String::from_utf8_lossy(u.bytes(len)?).into_owned();
            let frame = sealed::seal_request(&key(1), &name("a"), Nonce::random(), body.clone());
            let mut text = serde_json::to_vec(&frame).unwrap();
            let back: Sealed = serde_json::from_slice(&text).unwrap();
            assert_eq!(sealed::open_request(&key(1), &back), Ok(body.as_str()));
            let position = u.choose_index(text.len())?;
            text[position] = u.arbitrary()?;
            let _ = serde_json::from_slice::<Sealed>(&text);
            Ok(())
        })
        .seed(number << 32 | 256);
    }
}

/// Guards against panics and large allocations on arbitrary datagrams, including correctly signed ones in which other
/// content is read as a large length.
#[test]
fn datagram_arbitrary_bytes() {
    // Each seed is one case; its low 32 bits are the number of random bytes.
    for number in 0..2_000 {
        arbtest::arbtest(|u| {
            let len = u.int_in_range(0..=100)?;
            let bytes = u.bytes(len)?.to_vec();
            assert!(datagram::decode::<Vec<u64>>(&key(1), &bytes).is_err());
            let content: (Vec<u8>, u64) = u.arbitrary()?;
            if let Ok(frame) = datagram::encode(&key(1), &content) {
                let decoded = datagram::decode::<(Vec<u8>, u64)>(&key(1), &frame);
                assert_eq!(decoded.as_ref(), Ok(&content));
                // The content has neither of these types, but the MAC is valid.
                let _ = datagram::decode::<Vec<Vec<u64>>>(&key(1), &frame);
                let _ = datagram::decode::<(String, Vec<String>)>(&key(1), &frame);
                let mut changed = frame.clone();
                let position = u.choose_index(changed.len())?;
                changed[position] ^= 1 << u.choose_index(8)?;
                assert!(datagram::decode::<(Vec<u8>, u64)>(&key(1), &changed).is_err());
            }
            Ok(())
        })
        .seed(number << 32 | 256);
    }
}

/// Guards against datagrams that networks would fragment.
#[test]
fn datagram_length() {
    let longest = datagram::MAX_LEN - datagram::OVERHEAD - 2;
    let frame = datagram::encode(&key(1), &vec![0_u8; longest]).unwrap();
    assert_eq!(frame.len(), datagram::MAX_LEN);
    let longer = datagram::encode(&key(1), &vec![0_u8; longest + 1]);
    assert!(matches!(longer, Err(FrameError::Length { .. })));
}

/// Guards against sequence numbers that are accepted twice, by comparison with a set of all accepted numbers.
#[test]
fn window_accept_once() {
    // Each seed is one case; its low 32 bits are the number of random bytes.
    for number in 0..1_000 {
        arbtest::arbtest(|u| {
            let mut window = Window::default();
            let mut used = std::collections::HashSet::new();
            let mut highest = 0_u64;
            for _ in 0..200 {
                let near = highest
                    .saturating_add(u.int_in_range(0..=6000)?)
                    .saturating_sub(4500);
                let sequence = if u.ratio(1, 50)? {
                    u.arbitrary()?
                } else {
                    near
                };
                let is_fresh = used.insert(sequence);
                let accepted = window.accept(sequence);
                assert!(is_fresh || !accepted, "{sequence} was accepted twice");
                if sequence != u64::MAX {
                    // The window has 4,096 sequence numbers.
                    let is_in_window = sequence.saturating_add(4096) > highest;
                    assert!(
                        accepted || !is_fresh || !is_in_window,
                        "{sequence} at {highest} was refused"
                    );
                    highest = highest.max(sequence);
                }
            }
            Ok(())
        })
        .seed(number << 32 | 4096);
    }
}

/// Guards against malformed keys that are accepted, and against keys in debug output and error messages.
#[test]
fn key_text() {
    let text = "0123456789abcdef".repeat(4);
    let parsed: Key = text.parse().unwrap();
    assert!(!format!("{parsed:?}").contains("0123"));
    for bad in [
        "",
        "00",
        &text[1..],
        &format!("{text}0"),
        &text.replace('0', "g"),
    ] {
        let error = bad.parse::<Key>().unwrap_err();
        assert!(bad.is_empty() || !error.to_string().contains(bad));
    }
}
