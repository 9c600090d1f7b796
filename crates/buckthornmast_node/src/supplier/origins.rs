//! Versions that began streams: reports to the core, and inquiries of it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    net::SocketAddr,
    time::Duration,
};

use buckthornmast_origin::{
    inquiry::{Answer, Finding, Inquiry, Question},
    record::Record,
};
use smallvec::SmallVec;
use tokio::{sync::oneshot, time::timeout};

use super::{Core, Supplier};
use crate::message::Upstream;

/// Number of instances of the core that are told which version began a stream, so that one of them may be lost.
const ORIGIN_COPIES: usize = 2;

/// Time limit for the answers of the core about a stream: several round trips. An instance of the core that takes longer is
/// taken to be cut off.
const ORIGIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Inquiry in progress, and where its result is sent.
struct Pending {
    inquiry: Inquiry,
    found: oneshot::Sender<Finding>,
}

/// Inquiries of one entry instance.
#[derive(Default)]
pub(super) struct Inquiries {
    pending: RefCell<HashMap<u64, Pending>>,
    // Number of instances of the core.
    core_size: Cell<usize>,
}

impl Supplier {
    /// Sets the number of instances of the core, whether or not they are connected.
    pub fn set_core_size(&self, core_size: usize) {
        self.inquiries.core_size.set(core_size);
    }

    /// Records that an instance of the core keeps the versions that began streams. Returns whether that is news.
    pub fn add_origin_keeper(&self, peer: SocketAddr) -> bool {
        let mut cores = self.cores.borrow_mut();
        let core = cores.get_mut(&peer);
        core.is_some_and(|core| !std::mem::replace(&mut core.keeps_origins, true))
    }

    /// Tells an instance of the core which versions began streams.
    pub fn report_origins(&self, peer: SocketAddr, records: Vec<Record>) {
        if records.is_empty() {
            return;
        }
        if let Some(core) = self.cores.borrow().get(&peer) {
            // If the connection has ended, they are sent on the next one.
            let _ = core.outbox.send(&Upstream::Origins(records));
        }
    }

    /// Tells some instances of the core which version began a stream. Which ones depends on the stream, so that each of
    /// them keeps an equal share.
    pub(super) fn report_origin(&self, record: Record) {
        let cores = self.cores.borrow();
        let keepers = cores.iter().filter(|(_, core)| core.keeps_origins);
        let mut keepers: SmallVec<[(u64, &Core); 8]> = keepers
            .map(|(peer, core)| (record.key.spread(peer.to_string().as_bytes()), core))
            .collect();
        keepers.sort_unstable_by_key(|(spread, _)| *spread);
        let message = Upstream::Origins(vec![record]);
        for (_, core) in keepers.into_iter().take(ORIGIN_COPIES) {
            // An instance that can't be reached is told when it is connected again.
            let _ = core.outbox.send(&message);
        }
    }

    /// Passes an answer of an instance of the core to its inquiry.
    pub fn answer_origin(&self, number: u64, answer: Answer) {
        let mut inquiries = self.inquiries.pending.borrow_mut();
        // The inquiry may have ended.
        let Some(pending) = inquiries.get_mut(&number) else {
            return;
        };
        if let Some(finding) = pending.inquiry.answer(answer)
            && let Some(pending) = inquiries.remove(&number)
        {
            let _ = pending.found.send(finding);
        }
    }

    /// Asks all instances of the core which version began a stream.
    pub(super) async fn find_origin(&self, question: Question) -> Finding {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let asked = {
            let cores = self.cores.borrow();
            let keepers = cores.values().filter(|core| core.keeps_origins);
            let message = Upstream::OriginRequest {
                number,
                key: question.key.unwrap_or_default(),
                service: question.service,
            };
            keepers.filter(|core| core.outbox.send(&message)).count()
        };
        let inquiry = Inquiry::new(asked, asked > 0 && asked >= self.inquiries.core_size.get());
        if let Some(finding) = inquiry.result() {
            return finding;
        }
        let (found, finding) = oneshot::channel();
        let pending = Pending { inquiry, found };
        self.inquiries.pending.borrow_mut().insert(number, pending);
        let finding = timeout(ORIGIN_ANSWER_TIMEOUT, finding).await;
        self.inquiries.pending.borrow_mut().remove(&number);
        match finding {
            Ok(Ok(finding)) => finding,
            Ok(Err(_)) | Err(_) => Finding::Unknown,
        }
    }
}
