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
    message::{Answer, Kind, Request},
    stats,
};

/// Time after which a batch that could not be delivered is dropped.
///
/// Notices carry state that is sent again, so an old batch has less value than the next one.
const BATCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Pause after a batch that could not be delivered.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Bounded queue of notices that drops the oldest when full.
pub(crate) struct Outbox<N> {
    queue: Mutex<VecDeque<N>>,
    /// Notified for each added notice.
    added: Notify,
    max_len: usize,
    label: &'static str,
}

impl<N: Serialize + Send + 'static> Outbox<N> {
    pub(crate) fn new(limits: &Limits, label: &'static str) -> Self {
        Self {
            queue: Mutex::default(),
            added: Notify::new(),
            max_len: limits.max_queued_notices.max(1),
            label,
        }
    }

    /// Adds a notice, in place of the oldest one if the queue is full.
    pub(crate) fn push(&self, notice: N) {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let is_full = queue.len() >= self.max_len;
        if is_full {
            queue.pop_front();
        }
        queue.push_back(notice);
        drop(queue);
        if is_full {
            count_dropped(self.label, 1);
        }
        self.added.notify_one();
    }

    /// Removes and returns the oldest notices, up to the batch limit.
    fn next_batch(&self, limits: &Limits) -> Vec<N> {
        let mut queue = self.queue.lock().unwrap_or_else(PoisonError::into_inner);
        let len = queue.len().min(limits.max_batch_notices.max(1));
        queue.drain(..len).collect()
    }
}

fn count_dropped(label: &'static str, notices: usize) {
    stats::count(
        "buckthornmast_peer_notices_dropped_total",
        label,
        notices as u64,
    );
}

/// Encodes notices into as many bodies as the size limit requires; returns each with its number of notices.
///
/// The body of a notice that can't be encoded within the limit is empty.
fn encode<N: Serialize>(notices: Vec<N>, max_body_bytes: usize) -> Vec<(String, usize)> {
    let count = notices.len();
    let request = Request::<(), N>::Notices(notices);
    match serde_json::to_string(&request) {
        Ok(body) if body.len() <= max_body_bytes => vec![(body, count)],
        _ if count > 1 => {
            let Request::Notices(mut front) = request else {
                return Vec::new();
            };
            let back = front.split_off(count / 2);
            let mut bodies = encode(front, max_body_bytes);
            bodies.extend(encode(back, max_body_bytes));
            bodies
        }
        _ => vec![(String::new(), count)],
    }
}

/// Sends batches one at a time, which preserves the order of the notices, until the task is dropped.
pub(crate) async fn run<N: Serialize + Send + 'static>(
    link: Arc<Link>,
    outbox: Arc<Outbox<N>>,
    limits: Limits,
) {
    loop {
        let notices = outbox.next_batch(&limits);
        if notices.is_empty() {
            outbox.added.notified().await;
            continue;
        }
        for (body, count) in encode(notices, limits.max_body_bytes) {
            if body.is_empty() {
                log::warn!(step = "encode", peer:% = link.peer.instance; "notice dropped: it can't be encoded within the size limit");
                count_dropped(outbox.label, count);
                continue;
            }
            let sent = AtomicBool::new(false);
            let delivery = link.deliver::<()>(Kind::Notices, &body, &sent);
            let answer = tokio::time::timeout(BATCH_TIMEOUT, delivery).await;
            // A batch refused as replayed was already delivered by an earlier copy.
            let is_delivered = match answer {
                Ok(Ok((Answer::Taken, _))) => true,
                Ok(Ok((Answer::Refused(refusal), _))) => !refusal.is_never_run(),
                _ => false,
            };
            if !is_delivered {
                count_dropped(outbox.label, count);
                log::debug!(step = "notify", peer:% = link.peer.instance, sent = sent.load(Ordering::SeqCst); "{count} notices dropped: the batch could not be delivered");
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}
