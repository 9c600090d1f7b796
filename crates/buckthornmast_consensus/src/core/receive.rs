//! Dispatch of messages: rejection of outdated answers, adoption of higher terms.

use buckthornmast_types::{id, time::Point};

use crate::{
    core::{Core, Effects},
    message::{Body, Member, Message},
};

impl<C: Clone> Core<C> {
    /// Processes a message.
    pub(crate) fn receive(
        &mut self,
        now: Point,
        from: &id::Instance,
        message: Message<C>,
        out: &mut Effects<C>,
    ) {
        if !message.is_plausible() {
            return;
        }
        let Message { term, disk, body } = message;
        let sender = Member {
            instance: from.clone(),
            disk,
        };
        match body {
            // A vote request may be refused without adopting its term.
            Body::Vote {
                pre,
                voter,
                last,
                founding,
            } => {
                if voter == self.me.disk {
                    self.handle_vote_request(now, &sender, (pre, term, last), &founding, out);
                }
                return;
            }
            Body::Probe => {
                let fresh = self.is_fresh();
                return self.send(from, Body::Probed { fresh }, out);
            }
            Body::Probed { fresh } => {
                return self.handle_probe_answer(now, sender, fresh, term, out);
            }
            _ => {}
        }
        if term > self.hard.term {
            self.adopt_term(term, now, out);
        }
        // An answer of an older term is not valid in the current one: the entries that it
        // acknowledges may have been replaced since. An answer to a pre-vote is valid, since a voter
        // grants it without adopting the term.
        let is_answer = matches!(
            body,
            Body::Voted { .. } | Body::Appended { .. } | Body::Received { .. }
        );
        if is_answer && term < self.hard.term && !matches!(body, Body::Voted { pre: true, .. }) {
            return;
        }
        self.process(now, &sender, term, body, out);
    }

    /// Processes a message of the current term, or an append or chunk of an older one.
    fn process(
        &mut self,
        now: Point,
        sender: &Member,
        term: id::Term,
        body: Body<C>,
        out: &mut Effects<C>,
    ) {
        let from = &sender.instance;
        match body {
            Body::Voted {
                pre,
                asked,
                granted,
                settled,
            } => {
                if self.voters.settle(settled) {
                    self.record_settled(out);
                }
                self.handle_vote(now, sender.clone(), (pre, asked, granted), out);
            }
            Body::Append {
                sent,
                prev,
                commit,
                entries,
            } => self.handle_append(now, from, term, (sent, prev, commit), entries, out),
            Body::Appended {
                sent,
                accepted,
                index,
            } => self.handle_append_answer(now, sender, sent, accepted, index, out),
            Body::Chunk {
                sent,
                position,
                total,
                offset,
                data,
            } => self.handle_chunk(now, from, term, sent, (position, total, offset), &data, out),
            Body::Received {
                sent,
                index,
                offset,
                done,
            } => self.handle_chunk_answer(now, sender, sent, (index, offset, done), out),
            Body::Vote { .. } | Body::Probe | Body::Probed { .. } => {}
        }
    }
}
