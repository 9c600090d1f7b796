//! Reception of request bodies within a memory.
#![allow(clippy::unwrap_used, reason = "helpers of tests may panic")]

use std::{
    collections::VecDeque,
    convert::Infallible,
    future::Future,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
    time::Duration,
};

use buckthornmast_forward::{
    budget::Budget,
    memory::Memory,
    places::Places,
    receive::{Fault, GRACE, Intake, MAX_WAIT, MIN_RATE, Pace, RESERVE_DIVISOR, SMALL_BYTES},
};
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use tokio::{
    task::{LocalSet, spawn_local, yield_now},
    time::{Instant, Sleep, sleep},
};

const TOTAL: usize = 256 << 10;
const LIMIT: usize = 128 << 10;
const TIME_LEFT: Duration = Duration::from_secs(8);

/// Body that arrives in chunks, with a pause before each.
struct Chunks {
    chunks: VecDeque<Bytes>,
    announced: Option<u64>,
    pause: Duration,
    sleep: Pin<Box<Sleep>>,
    /// Whether it stays open after its chunks.
    is_open: bool,
}

impl Chunks {
    fn new(chunks: impl IntoIterator<Item = Bytes>, announced: Option<u64>) -> Self {
        Self {
            chunks: chunks.into_iter().collect(),
            announced,
            pause: Duration::ZERO,
            sleep: Box::pin(sleep(Duration::ZERO)),
            is_open: false,
        }
    }

    /// Returns a body that stops a byte before its end.
    fn stopping(bytes: usize) -> Self {
        let sent = Bytes::from(vec![b'x'; bytes - 1]);
        Self {
            is_open: true,
            ..Self::new([sent], Some(bytes as u64))
        }
    }
}

impl Body for Chunks {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.chunks.is_empty() {
            return if self.is_open {
                Poll::Pending
            } else {
                Poll::Ready(None)
            };
        }
        if self.sleep.as_mut().poll(context).is_pending() {
            return Poll::Pending;
        }
        let next = Instant::now() + self.pause;
        self.sleep.as_mut().reset(next);
        let chunk = self.chunks.pop_front();
        Poll::Ready(chunk.map(|chunk| Ok(Frame::data(chunk))))
    }

    fn size_hint(&self) -> SizeHint {
        self.announced
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

/// Runs a future, and the tasks that it spawns.
fn block_on<F: Future>(future: F) -> F::Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, future)
}

fn intake() -> Rc<Intake> {
    Rc::new(Intake::new(Memory::new(TOTAL)))
}

/// Guards against bodies that change with the places at which they are split, and against memory that is not accounted for.
#[test]
fn receive_split_anywhere() {
    arbtest::arbtest(|u| {
        let bodies: Vec<Vec<u8>> = u.arbitrary()?;
        let sizes: Vec<u16> = u.arbitrary()?;
        let repeats = u.int_in_range(1..=2000)?;
        let announces: bool = u.arbitrary()?;
        block_on(async {
            let intake = intake();
            for body in bodies {
                let body = body.repeat(repeats);
                let mut rest = Bytes::from(body.clone());
                let mut chunks = Vec::new();
                let mut sizes = sizes.iter().map(|size| usize::from(*size).max(1)).cycle();
                while !rest.is_empty() {
                    let size = sizes.next().unwrap_or(1).min(rest.len());
                    chunks.push(rest.split_to(size));
                }
                let announced = announces.then_some(body.len() as u64);
                let received = intake.receive(Chunks::new(chunks, announced), LIMIT, TIME_LEFT);
                match received.await {
                    Ok(received) => {
                        assert_eq!(received, body);
                        assert!(body.len() <= LIMIT);
                        assert!(intake.memory().used() >= body.len());
                        assert!(intake.memory().used() <= TOTAL);
                    }
                    Err(fault) => {
                        assert_eq!(fault, Fault::TooLarge);
                        assert!(body.len() > LIMIT);
                    }
                }
                assert_eq!(intake.memory().used(), 0);
            }
        });
        Ok(())
    });
}

/// Guards against a crowd that takes more than the memory, or that holds it although others make progress.
#[test]
fn receive_crowd_stopping() {
    block_on(async {
        let intake = intake();
        let crowd: Vec<_> = (0..50)
            .map(|_| {
                let intake = Rc::clone(&intake);
                spawn_local(async move {
                    let body = Chunks::stopping(LIMIT / 2);
                    intake.receive(body, LIMIT, TIME_LEFT).await
                })
            })
            .collect();
        yield_now().await;
        assert!(intake.memory().used() <= TOTAL - TOTAL / RESERVE_DIVISOR);
        let small = Chunks::new([Bytes::from(vec![b'x'; SMALL_BYTES])], None);
        assert!(intake.receive(small, LIMIT, TIME_LEFT).await.is_ok());
        let holding = crowd.iter().filter(|body| !body.is_finished());
        assert!(holding.count() > 0, "small bodies have a reserve");
        sleep(MAX_WAIT + GRACE).await;
        let large = Chunks::new([Bytes::from(vec![b'x'; LIMIT])], Some(LIMIT as u64));
        assert!(intake.receive(large, LIMIT, TIME_LEFT).await.is_ok());
        for body in crowd {
            let fault = body.await.unwrap().unwrap_err();
            assert!(
                matches!(fault, Fault::Slow | Fault::NoRoom | Fault::Late),
                "{fault:?}"
            );
        }
        assert_eq!(intake.memory().used(), 0);
    });
}

/// Guards against bodies that give way although nobody needs their memory, and although they make progress.
#[test]
fn receive_slow_alone_and_steady() {
    block_on(async {
        let intake = intake();
        let chunks = (0..3).map(|_| Bytes::from_static(b"x"));
        let mut slow = Chunks::new(chunks, None);
        slow.pause = GRACE + GRACE / 10;
        assert!(intake.receive(slow, LIMIT, TIME_LEFT).await.is_ok());

        let waiting = {
            let intake = Rc::clone(&intake);
            spawn_local(async move {
                let chunk = Bytes::from(vec![b'x'; MIN_RATE as usize / 4]);
                let chunks = (0..8).map(|_| chunk.clone());
                let mut steady = Chunks::new(chunks, Some(LIMIT as u64));
                steady.pause = Duration::from_millis(250);
                intake.receive(steady, LIMIT, TIME_LEFT).await.map(drop)
            })
        };
        yield_now().await;
        let large = Chunks::new([Bytes::from(vec![b'x'; LIMIT])], Some(LIMIT as u64));
        assert!(intake.receive(large, LIMIT, TIME_LEFT).await.is_ok());
        assert!(waiting.await.unwrap().is_ok());
    });
}

/// Guards against bytes that are read although their announced number is beyond the limit.
#[test]
fn receive_oversized_announced() {
    block_on(async {
        let body = Chunks::new([], Some(LIMIT as u64 + 1));
        let fault = intake().receive(body, LIMIT, TIME_LEFT).await.unwrap_err();
        assert_eq!(fault, Fault::TooLarge);
        assert_eq!(fault.response::<String>().status(), 413);
        assert!(
            Fault::NoRoom
                .response::<String>()
                .headers()
                .contains_key("retry-after")
        );
    });
}

/// Guards against a rate of a byte now and then that counts as progress.
#[test]
fn pace_due() {
    let start = Instant::now();
    let mut pace = Pace::start(start);
    for second in 0..4 {
        pace = pace.advance(1, start + GRACE * second / 4);
    }
    assert!(pace.due() < start + GRACE + Duration::from_millis(1));
    let now = start + Duration::from_secs(5);
    assert_eq!(pace.advance(usize::MAX, now).due(), now + GRACE);
    let half = pace.advance(MIN_RATE as usize / 2, now);
    assert_eq!(half.due(), now + Duration::from_millis(500));
}

/// Guards against connections that keep others out, or give way while they are in use.
#[test]
fn places_give_way() {
    block_on(async {
        let places = Places::new(2);
        let kept = Rc::new(places.take(|| false).unwrap());
        drop(kept.begin());
        let fresh = places.take(|| false).unwrap();
        let third = Rc::new(places.take(|| false).unwrap());
        // It has never brought a request.
        fresh.evicted().await;
        drop(fresh);
        let request = third.begin();
        let fourth = Rc::new(places.take(|| false).unwrap());
        kept.evicted().await;
        drop(kept);
        let other = fourth.begin();
        assert!(places.take(|| false).is_none(), "all have requests");
        assert!(places.take(|| true).is_some());
        drop((request, other));
        assert_eq!(places.open(), 2);
    });
}

/// Guards against a budget beyond the memory, and one without room for a body.
#[test]
fn budget_sizes() {
    for mib in [24, 64, 112, 256, 260, 1024] {
        let memory = mib << 20;
        let budget = Budget::new(memory, 2800);
        assert!(budget.bytes <= memory);
        assert!(budget.bytes - budget.bytes / RESERVE_DIVISOR >= 4 << 20);
        assert!(budget.connections >= 500);
    }
    assert_eq!(Budget::new(260 << 20, 2800).connections, 2800);
}
