//! Bounded queue of notices for one peer.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use serde::Serialize;
use tokio::sync::Notify;

use crate::{
    client::Link,
    config::Limits,
    message::{Answer, Ask, Kind},
    stats,
};

/// Longest time that a batch is tried before it is dropped.
///
/// Notices are state that is sent again, so an old batch is worth less than the next one.
const BATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause after a batch that could not be delivered.
const PAUSE: Duration = Duration::from_millis(100);

/// Queue of notices that drops the oldest.
pub(crate) struct Outbox<N> {
    queue: Mutex<VecDeque<N>>,
    ready: Notify,
    limit: usize,
    kind: &'static str,
}

impl<N: Serialize + Send + 'static> Outbox<N> {
    pub(crate) fn new(limits: &Limits, kind: &'static str) -> Self {
        Self {
            queue: Mutex::default(),
            ready: Notify::new(),
            limit: limits.notices.max(1),
            kind,
        }
    }

    /// Adds a notice.
    pub(crate) fn push(&self, notice: N) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = queue.len() >= self.limit;
        if dropped {
            queue.pop_front();
        }
        queue.push_back(notice);
        drop(queue);
        if dropped {
            count_dropped(self.kind, 1);
        }
        self.ready.notify_one();
    }

    /// Takes the oldest notices that fit a batch.
    fn take(&self, limits: &Limits) -> Vec<N> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let len = queue.len().min(limits.batch.max(1));
        queue.drain(..len).collect()
    }
}

fn count_dropped(kind: &'static str, notices: usize) {
    stats::count(
        "buckthornmast_peer_notices_dropped_total",
        kind,
        notices as u64,
    );
}

/// Encodes as many bodies as the size bound needs; returns the number of notices next to each.
fn encode<N: Serialize>(notices: Vec<N>, limit: usize) -> Vec<(String, usize)> {
    let count = notices.len();
    let ask = Ask::<(), N>::Notices(notices);
    match serde_json::to_string(&ask) {
        Ok(body) if body.len() <= limit => vec![(body, count)],
        _ if count > 1 => {
            let Ask::Notices(mut front) = ask else {
                return Vec::new();
            };
            let back = front.split_off(count / 2);
            let mut bodies = encode(front, limit);
            bodies.extend(encode(back, limit));
            bodies
        }
        _ => vec![(String::new(), count)],
    }
}

/// Sends batches one after another, which keeps the order of notices, until the task is dropped.
pub(crate) async fn run<N: Serialize + Send + 'static>(
    link: Arc<Link>,
    outbox: Arc<Outbox<N>>,
    limits: Limits,
) {
    loop {
        let notices = outbox.take(&limits);
        if notices.is_empty() {
            outbox.ready.notified().await;
            continue;
        }
        for (body, count) in encode(notices, limits.body) {
            if body.is_empty() {
                log::warn!(step = "encode", peer:% = link.peer.instance; "drop a notice that exceeds the size bound");
                count_dropped(outbox.kind, count);
                continue;
            }
            let sent = AtomicBool::new(false);
            let delivery = link.deliver::<()>(Kind::Notices, &body, &sent);
            let answer = tokio::time::timeout(BATCH_TIMEOUT, delivery).await;
            // A replayed batch was taken from an earlier copy.
            let taken = match answer {
                Ok(Ok((Answer::Taken, _))) => true,
                Ok(Ok((Answer::Refused(refusal), _))) => !refusal.is_unsent(),
                _ => false,
            };
            if !taken {
                count_dropped(outbox.kind, count);
                log::debug!(step = "notify", peer:% = link.peer.instance, sent = sent.load(Ordering::SeqCst); "drop {count} notices");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
