//! Measures the processor time of the identity of a request, which is computed while any request is suspected, and of the
//! check of the quarantines.
//!
//! `cargo run --release -p buckthornmast_forward --example identity_cost`
#![allow(clippy::unwrap_used, reason = "a measurement may panic")]

use std::{
    hint::black_box,
    time::{Duration, Instant},
};

use buckthornmast_forward::identity::of_request;
use buckthornmast_quarantine::prelude::*;
use buckthornmast_types::{id, time::Point};
use http::Request;

/// Sizes of bodies in bytes: none, the usual ones of the users' requests, and a large one.
const BODIES: [usize; 4] = [0, 600, 1400, 8600];

const REQUESTS: u32 = 20_000;

fn measure(mut run: impl FnMut()) -> Duration {
    let start = Instant::now();
    for _ in 0..REQUESTS {
        run();
    }
    start.elapsed() / REQUESTS
}

fn main() {
    let service: id::Service = "plain".parse().unwrap();
    let request = Request::builder().uri("/ziny364/5c1e27?page=39&sort=new");
    let request = request.header("host", "cuda99.example").body(()).unwrap();
    let (head, ()) = request.into_parts();
    for bytes in BODIES {
        let body = vec![7; bytes];
        let time = measure(|| {
            black_box(of_request(
                &service,
                &head,
                &Set::default(),
                black_box(&body),
            ));
        });
        println!("identity, body of {bytes} bytes: {time:?}");
    }
    let mut guard = Guard::default();
    let now = Point::from_millis(1000);
    for number in 0..64_u8 {
        for target in 0..3 {
            let crash = Crash {
                target: format!("t{target}-{number}").parse().unwrap(),
                incarnation: id::Incarnation(1),
            };
            let evidence = Evidence::against_request(crash, Part::of_request(&[number; 32]));
            guard.record_crash(evidence, now);
        }
    }
    let identity = Set::of(Part::of_request(&[200; 32]));
    let time = measure(|| {
        black_box(guard.check(black_box(&identity), now));
    });
    println!("check beside 64 quarantined requests: {time:?}");
}
