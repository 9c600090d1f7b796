//! Versions of targets' software in messages and in the file of the known targets, also between builds.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{fs, time::Duration};

use buckthornmast_fleet::prelude::*;
use buckthornmast_node::{
    memory::{Content, Store},
    message::{Downstream, UNDERSTANDS_ORIGINS, Upstream, with_versions},
};
use buckthornmast_origin::prelude::*;
use buckthornmast_routes::register::Revision;
use buckthornmast_types::{id, time::Point};

/// Largest encoded message about one stream, without the length of its frame.
const MAX_RECORD_BYTES: usize = 22;

fn update(number: u64) -> Update {
    let announcement = Announcement {
        target: format!("t{number}").parse().unwrap(),
        incarnation: id::Incarnation(1),
        sequence: 1,
        service: "plain".parse().unwrap(),
        address: format!("127.0.0.1:{}", 1000 + number).parse().unwrap(),
        domain: "d1".parse().unwrap(),
        slots: 4,
        state: State::Ready,
        cold: Duration::ZERO,
        resident: Vec::new(),
        in_memory: Vec::new(),
        on_disk: Vec::new(),
        version: format!("v{number}").parse().ok(),
    };
    Update {
        announcement,
        withdrawn: false,
    }
}

/// Guards against messages about streams that outgrow what the documentation states.
#[test]
fn encode_origins_bounded() {
    for request in 0..1000 {
        let record = Record {
            key: Key::new(&request.to_string()),
            mark: Mark::new(&request.to_string()),
        };
        let message = postcard::to_stdvec(&Upstream::Origins(vec![record])).unwrap();
        assert!(message.len() <= MAX_RECORD_BYTES, "{}", message.len());
    }
}

/// Guards against a message about targets that loses their versions, or that an older build can't read.
#[test]
fn encode_targets_with_versions() {
    let updates = vec![update(1), update(2)];
    let bytes = postcard::to_stdvec(&Downstream::targets(updates.clone())).unwrap();
    let Downstream::Targets(received, versions) = postcard::from_bytes(&bytes).unwrap() else {
        panic!("another message");
    };
    let received: Vec<Update> = with_versions(received, versions).collect();
    assert_eq!(received, updates);
    // An older build reads the variant and the updates, and nothing that follows.
    let (variant, rest) = bytes.split_first().unwrap();
    let older: Vec<Update> = postcard::from_bytes(rest).unwrap();
    assert_eq!((*variant, older.len()), (3, 2));
    assert!(
        older
            .iter()
            .all(|update| update.announcement.version.is_none())
    );
    let count = postcard::to_stdvec(&Downstream::EntryCount(7, UNDERSTANDS_ORIGINS)).unwrap();
    let older: u32 = postcard::from_bytes(&count[1..]).unwrap();
    assert_eq!(older, 7);
}

/// Guards against targets whose versions are forgotten with a restart of the core, and against files of older builds.
#[test]
fn load_versions() {
    let folder = tempfile::TempDir::new().unwrap();
    let file = folder.path().join("targets");
    let stored = |updates: &[Update], with: &[u8]| {
        let mut body = postcard::to_stdvec(updates).unwrap();
        body.extend_from_slice(with);
        let mut bytes = crc32fast::hash(&body).to_le_bytes().to_vec();
        bytes.extend_from_slice(&body);
        fs::write(&file, bytes).unwrap();
        let mut registry = Registry::default();
        Store::new(folder.path(), Content::Ready).restore(&mut registry, Point::ZERO);
        let entries = registry.entries();
        let versions = entries.map(|entry| entry.announcement.version.clone());
        versions.collect::<Vec<_>>()
    };
    let updates = [update(1), update(2)];
    let versions: Vec<Option<Version>> = ["v1", "v2"].map(|text| text.parse().ok()).into();
    let encoded = postcard::to_stdvec(&versions).unwrap();
    assert_eq!(stored(&updates, &encoded), versions);
    assert_eq!(stored(&updates, &[]), [None, None]);
}

/// Guards against a question or an answer of an older build that is taken for evidence, and against one that it can't read.
#[test]
fn encode_evidence_between_builds() {
    let key = Key::new("r");
    let service = Service::new(&"engines".parse().unwrap());
    let question = Upstream::OriginRequest {
        number: 7,
        key,
        service,
    };
    let question = postcard::to_stdvec(&question).unwrap();
    let mut older = postcard::to_stdvec(&(question[0], 7_u64, key)).unwrap();
    assert!(question.starts_with(&older));
    older.push(0);
    let Upstream::OriginRequest { service, .. } = postcard::from_bytes(&older).unwrap() else {
        panic!("another message");
    };
    assert_eq!(service, Service::default());

    let mark = None::<Mark>;
    let answer = Downstream::Origin {
        number: 7,
        mark,
        is_void: false,
        sole: Some(Sole {
            mark: Mark::new("v1"),
            age: Duration::from_secs(9),
        }),
        routes: Revision(7),
    };
    let answer = postcard::to_stdvec(&answer).unwrap();
    let mut older = postcard::to_stdvec(&(answer[0], 7_u64, mark)).unwrap();
    assert!(answer.starts_with(&older));
    // Zeros stand for what an older build has not sent.
    older.extend_from_slice(&[0; 3]);
    let received = postcard::from_bytes(&older).unwrap();
    let Downstream::Origin {
        is_void,
        sole,
        routes,
        ..
    } = received
    else {
        panic!("another message");
    };
    assert_eq!((is_void, sole), (false, None));
    assert_eq!(routes, Revision(0));
}
