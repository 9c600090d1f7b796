//! Versions that began streams, from the entry instances that served them, for those that are asked to resume them.

use buckthornmast_link::Outbox;
use buckthornmast_origin::record::{Key, Record};
use buckthornmast_types::time::Clock;

use crate::{core::Core, message::Downstream, platform::Platform};

impl<P: Platform> Core<P> {
    /// Records which versions began streams.
    pub(super) fn record_origins(&self, records: Vec<Record>) {
        let now = self.clock.now();
        let origins = &mut self.state.borrow_mut().origins;
        for record in records {
            origins.record(record, now);
        }
    }

    /// Tells an entry instance which version began a stream, if that is known here.
    pub(super) fn answer_origin(&self, number: u64, key: Key, outbox: &Outbox<Downstream>) {
        let mark = self.state.borrow().origins.get(key);
        // An entry instance that has disconnected needs no answer.
        let _ = outbox.send(&Downstream::Origin { number, mark });
    }
}
