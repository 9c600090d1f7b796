//! Reports of requests at targets in messages, also between builds.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use buckthornmast_node::message::Upstream;
use buckthornmast_supply::{
    demand::Row as DemandRow,
    occupancy::{Row, Statement},
};
use buckthornmast_types::{id, slowdown::Slowdown};

/// Largest encoded row about one target with an id of this platform's length.
const MAX_ROW_BYTES: usize = 40;

/// Guards against reports that an older build can't read, and against rows that outgrow what the documentation states.
#[test]
fn encode_demand_with_occupancy() {
    let row = Row {
        target: "i-0123456789".parse().unwrap(),
        incarnation: id::Incarnation(1_772_446_955_549),
        running: 300,
        begun: 300,
        stated: Some(Statement {
            requests: 300,
            slowdown: Slowdown::percent(250).unwrap(),
            age_ms: 1000,
        }),
    };
    let bytes = postcard::to_stdvec(&Upstream::Demand(Vec::new(), vec![row.clone(); 10])).unwrap();
    assert!(bytes.len() <= 10 * MAX_ROW_BYTES, "{}", bytes.len());
    // An older build reads the variant and the demand, and nothing that follows.
    let older: Vec<DemandRow> = postcard::from_bytes(&bytes[1..]).unwrap();
    assert!(older.is_empty());
    // Where an older build has sent nothing, zeros are read.
    let mut from_older = bytes[..2].to_vec();
    from_older.push(0);
    let Upstream::Demand(demand, occupancy) = postcard::from_bytes(&from_older).unwrap() else {
        panic!("another message");
    };
    assert!(demand.is_empty() && occupancy.is_empty());
    let Upstream::Demand(_, occupancy) = postcard::from_bytes(&bytes).unwrap() else {
        panic!("another message");
    };
    assert_eq!(occupancy.first(), Some(&row));
}
