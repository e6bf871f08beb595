//! Flows that are not known here: the search for their owners, and packets that the backend server
//! returned.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{
    Action, Agent, Answer, Arrival, DropReason, PassReason, Question, Reply, ResetReason, View,
};
use crate::flows::Holder;
use crate::lookup::{Found, Held};
use crate::peers::Peer;
use crate::segment::FlowKey;

/// How much later than its backend server an agent must have started to have missed flows.
const BIRTH_MARGIN: Duration = Duration::from_millis(1_500);

/// How many agents are asked for a flow at most: questions of one turn share datagrams, and in the largest
/// deployment that was played 300 VMs have some 200 agents.
const ASK_LIMIT: usize = 512;

impl Agent {
    /// Answers another agent's question.
    #[must_use]
    pub fn answer(&self, question: &Question) -> Reply {
        match self.flows.get(&question.key) {
            Some(flow) if flow.holder != Holder::Here => Reply::NotMine,
            _ if self.denied.contains(&question.key) => Reply::NotMine,
            Some(flow) if flow.assumed => Reply::Perhaps,
            Some(flow) if flow.opened => Reply::Mine,
            Some(flow) if flow.is_answer(question.acknowledged) => Reply::Mine,
            Some(_) => Reply::NotMine,
            None if self.may_have_missed() => Reply::Perhaps,
            None => Reply::NotMine,
        }
    }

    /// Returns whether the backend server may hold flows that began before this agent started.
    pub(super) fn may_have_missed(&self) -> bool {
        let margin = BIRTH_MARGIN.as_millis() as u64;
        match self.backend.last_report() {
            Some(report) => report.born + margin < self.limits.started,
            None => true,
        }
    }

    /// Takes another agent's answer to a question about a flow.
    pub fn answered(
        &mut self,
        now: Duration,
        view: View<'_>,
        key: FlowKey,
        answer: Answer,
        out: &mut Vec<Action>,
    ) {
        let agent = answer.agent;
        let may_hold = match answer.reply {
            Reply::Mine => {
                if let Some((asker, held)) = self.lookups.end(&key) {
                    self.settle(now, key, agent, asker, held, out);
                }
                return;
            }
            Reply::NotMine => false,
            Reply::Perhaps => true,
        };
        let same_view = answer.known == view.peers.fingerprint();
        let found = self.lookups.deny(&key, agent, may_hold, same_view);
        self.conclude(view, key, found, out);
    }

    /// Takes another agent's hint about a flow that was passed on to it.
    pub fn hint(&mut self, key: FlowKey, agent: SocketAddrV4) {
        let own = self.limits.packets;
        if let Some(flow) = self.flows.get_mut(&key)
            && flow.holder != Holder::Here
            && agent != own
        {
            flow.holder = Holder::Peer(agent);
        }
    }

    /// Decides about a packet of a flow that is not known here.
    pub(super) fn unknown(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            segment,
            tag,
            bytes,
            ..
        } = arrival;
        let key = segment.from_caller();
        if segment.rst {
            // The flow's end is all that it says; whoever holds it forgets it in time.
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        let held = Held {
            bytes: bytes.to_vec(),
            tag,
        };
        if self.lookups.hold(now, &key, held) {
            return out.push(Action::Drop(DropReason::Held));
        }
        if !self.backend.is_present() {
            return self.ask(arrival, out);
        }
        // The backend server knows best; it returns the packet if the flow is not its own.
        let flow = self.flows.start(now, key, Holder::Here);
        flow.assumed = true;
        self.deliver(now, &key, segment, tag, out);
    }

    /// Decides about a packet that the backend server returned.
    pub(super) fn returned(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now, segment, tag, ..
        } = arrival;
        let key = segment.from_caller();
        if segment.syn {
            return self.returned_syn(arrival, out);
        }
        self.denied.note(now, key);
        let opened = self.flows.get(&key).is_some_and(|flow| flow.opened);
        let own = self.limits.packets;
        if opened {
            // The backend server held the flow and does no more: it restarted, or discarded it.
            self.flows.remove(&key);
            self.backend.doubt(now);
            return out.push(Action::Reset {
                key,
                sequence: segment.acknowledged,
                reason: ResetReason::Lost,
            });
        }
        match self.flows.get(&key).map(|flow| flow.holder) {
            Some(Holder::Peer(to)) => self.pass_on(own, key, to, tag, PassReason::Owner, out),
            Some(Holder::Here) | None => self.ask(arrival, out),
        }
    }

    /// Asks the other agents for the owner of a flow and keeps the packet until one answers.
    pub(super) fn ask(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            view,
            from,
            segment,
            tag,
            bytes,
        } = arrival;
        let key = segment.from_caller();
        let held = Held {
            bytes: bytes.to_vec(),
            tag,
        };
        self.flows.remove(&key);
        if self.lookups.hold(now, &key, held.clone()) {
            return out.push(Action::Drop(DropReason::Held));
        }
        let own = self.limits.node;
        let others = view.peers.iter().filter(|peer| peer.node != own);
        let asked: Vec<&Peer> = others.take(ASK_LIMIT).collect();
        let awaited: Vec<SocketAddrV4> = asked.iter().map(|peer| peer.packets).collect();
        if awaited.is_empty() {
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        let sequence = segment.acknowledged;
        let whole = view.peers.len() <= ASK_LIMIT;
        if !self
            .lookups
            .start(now, key, from, awaited, whole, sequence, held)
        {
            return out.push(Action::Drop(DropReason::LookupsFull));
        }
        let question = Question {
            key,
            acknowledged: segment.acknowledged,
        };
        out.extend(asked.into_iter().map(|peer| Action::Ask {
            to: peer.questions,
            question,
        }));
        out.push(Action::Drop(DropReason::Held));
    }

    pub(super) fn conclude(
        &mut self,
        view: View<'_>,
        key: FlowKey,
        found: Found,
        out: &mut Vec<Action>,
    ) {
        match found {
            Found::Open => {}
            Found::Perhaps(agent, held) => out.extend(held.into_iter().map(|held| Action::Pass {
                bytes: Some(held.bytes),
                to: agent,
                tag: held.tag.passed_on(),
                reason: PassReason::MayOwn,
            })),
            Found::Nobody {
                complete: Some(sequence),
                ..
            } if self.may_reset(view, &key) => out.push(Action::Reset {
                key,
                sequence,
                reason: ResetReason::Unowned,
            }),
            Found::Nobody { missing, .. } => out.push(Action::Unfound { key, missing }),
        }
    }

    /// Returns whether a flow that all other agents deny is certainly gone.
    fn may_reset(&self, view: View<'_>, key: &FlowKey) -> bool {
        view.complete && !view.peers.has_away() && self.denied.contains(key)
    }

    /// Sends the packets that waited to the owner, and remembers it.
    pub(super) fn settle(
        &mut self,
        now: Duration,
        key: FlowKey,
        owner: SocketAddrV4,
        asker: SocketAddrV4,
        held: Vec<Held>,
        out: &mut Vec<Action>,
    ) {
        self.flows.start(now, key, Holder::Peer(owner));
        out.extend(held.into_iter().map(|held| Action::Pass {
            bytes: Some(held.bytes),
            to: owner,
            tag: held.tag.passed_on(),
            reason: PassReason::Owner,
        }));
        if asker != self.limits.packets {
            out.push(Action::Hint {
                to: asker,
                key,
                agent: owner,
            });
        }
    }
}
