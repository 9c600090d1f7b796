//! Rules of the register of routes.

use buckthornmast_consensus::machine::{LogTime, StateMachine};
use buckthornmast_routes::register::{Answer, Command, Register, Revision, Text};
use buckthornmast_types::id;

fn publish(register: &mut Register, version: u64, body: &str) -> Answer {
    let text = Text {
        version: Revision(version),
        body: body.as_bytes().into(),
    };
    register.apply(id::Index(1), LogTime(1), &Command::Publish(text))
}

fn accepted(version: u64) -> Answer {
    Answer::Accepted {
        newest: Revision(version),
    }
}

fn body(register: &Register) -> Option<&[u8]> {
    register.newest().map(|text| &*text.body)
}

/// Guards against a version that decreases when an older change arrives late.
#[test]
fn publish_older() {
    let mut register = Register::default();
    assert_eq!(publish(&mut register, 7, "seven"), accepted(7));
    assert_eq!(publish(&mut register, 3, "three"), accepted(7));
    assert_eq!(body(&register), Some(&b"seven"[..]));
}

/// Guards against two documents with the same version, and against a refused resend.
#[test]
fn publish_same_version() {
    let mut register = Register::default();
    publish(&mut register, 7, "seven");
    assert_eq!(publish(&mut register, 7, "seven"), accepted(7));
    assert_eq!(publish(&mut register, 7, "other"), Answer::Conflict);
    assert_eq!(body(&register), Some(&b"seven"[..]));
}

/// Guards against a snapshot that loses the document or accepts damage.
#[test]
fn restore_snapshot() {
    let mut register = Register::default();
    publish(&mut register, 9, "nine");
    let mut other = Register::default();
    assert!(other.restore(&register.snapshot()).is_ok());
    assert_eq!(other, register);
    assert!(other.restore(b"").is_err());
    assert!(other.restore(&[9, 0]).is_err());
    assert_eq!(other, register);
}
