//! Elections: pre-vote, votes, leader stickiness.

use buckthornmast_storage::record::HardState;
use buckthornmast_types::{id, time::Point};

use crate::{
    core::{Core, Effect, Effects, State},
    message::{Body, Member, Position},
};

impl<C: Clone> Core<C> {
    /// Requests pre-votes, or votes in a new term.
    pub(crate) fn request_votes(
        &mut self,
        is_pre_vote: bool,
        founding: Vec<Member>,
        now: Point,
        out: &mut Effects<C>,
    ) {
        let term = self.hard.term.next();
        self.leader = None;
        if !is_pre_vote {
            self.hard = HardState {
                term,
                vote: Some(self.me.disk),
                ..self.hard
            };
            out.push(Effect::Hard(self.hard));
            self.reset_deadline(now);
        }
        let voters: Vec<Member> = if founding.is_empty() {
            let members = self.voters.members();
            members.into_iter().cloned().collect()
        } else {
            founding.clone()
        };
        let last = self.log.last();
        for member in voters.iter().filter(|member| **member != self.me) {
            let body = Body::Vote {
                pre: is_pre_vote,
                voter: member.disk,
                last,
                founding: founding.clone(),
            };
            self.send_in(term, &member.instance, body, out);
        }
        self.state = State::Candidate {
            is_pre_vote,
            grants: vec![self.me.clone()],
            founding,
        };
        self.count_votes(now, out);
    }

    /// Answers a vote request.
    pub(crate) fn handle_vote_request(
        &mut self,
        now: Point,
        sender: &Member,
        (is_pre_vote, asked, last): (bool, id::Term, Position),
        founding: &[Member],
        out: &mut Effects<C>,
    ) {
        if !self.is_writable {
            // A vote can't become durable, and a granted pre-vote would start an election in vain.
            return;
        }
        let may_vote = !self.has_live_leader(now)
            && asked >= self.hard.term
            && if founding.is_empty() {
                last >= self.log.last()
            } else {
                self.is_fresh() && founding.contains(&self.me)
            };
        let granted = if is_pre_vote {
            may_vote && asked > self.hard.term
        } else if may_vote {
            if asked > self.hard.term {
                self.adopt_term(asked, now, out);
            }
            self.hard.vote.is_none_or(|vote| vote == sender.disk)
        } else {
            false
        };
        if granted && !is_pre_vote {
            if self.hard.vote.is_none() {
                self.hard.vote = Some(sender.disk);
                out.push(Effect::Hard(self.hard));
            }
            self.reset_deadline(now);
        }
        let body = Body::Voted {
            pre: is_pre_vote,
            asked,
            granted,
            settled: self.voters.settled(),
        };
        self.send(&sender.instance, body, out);
    }

    fn has_live_leader(&self, now: Point) -> bool {
        matches!(self.state, State::Leader(_))
            || now < self.leader_contact + self.timing.election_min
    }

    /// Counts an answer to a vote request.
    pub(crate) fn handle_vote(
        &mut self,
        now: Point,
        sender: Member,
        (answers_pre_vote, asked, granted): (bool, id::Term, bool),
        out: &mut Effects<C>,
    ) {
        let State::Candidate {
            is_pre_vote,
            grants,
            ..
        } = &mut self.state
        else {
            return;
        };
        let current_term = if *is_pre_vote {
            self.hard.term.next()
        } else {
            self.hard.term
        };
        if !granted
            || answers_pre_vote != *is_pre_vote
            || asked != current_term
            || grants.contains(&sender)
        {
            return;
        }
        grants.push(sender);
        self.count_votes(now, out);
    }

    fn count_votes(&mut self, now: Point, out: &mut Effects<C>) {
        let State::Candidate {
            is_pre_vote,
            grants,
            founding,
        } = &self.state
        else {
            return;
        };
        let has_won = if founding.is_empty() {
            self.voters.has_quorum(|member| grants.contains(member))
        } else {
            founding.iter().all(|member| grants.contains(member))
        };
        if !has_won {
            return;
        }
        if *is_pre_vote {
            self.request_votes(false, Vec::new(), now, out);
        } else {
            let founding = founding.clone();
            self.become_leader(founding, now, out);
        }
    }

    /// Adopts a higher term.
    pub(crate) fn adopt_term(&mut self, term: id::Term, now: Point, out: &mut Effects<C>) {
        self.hard = HardState {
            term,
            vote: None,
            ..self.hard
        };
        out.push(Effect::Hard(self.hard));
        self.become_follower(None, now);
    }

    /// Becomes or stays a follower.
    pub(crate) fn become_follower(&mut self, leader: Option<&id::Instance>, now: Point) {
        if matches!(self.state, State::Leader(_)) {
            self.reset_deadline(now);
        }
        self.state = State::Follower;
        self.leader = leader.cloned();
    }
}
