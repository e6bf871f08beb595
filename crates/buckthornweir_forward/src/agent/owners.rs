//! Flows that are not known here: the search for their owners, and packets that the backend server
//! returned.

use std::net::SocketAddrV4;
use std::time::Duration;

use super::{
    Action, Agent, Answer, Arrival, DropReason, PassReason, Question, Reply, ResetReason, View,
};
use crate::flows::Holder;
use crate::lookup::{Ended, Found, Held, Search};
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
            _ if self.began_alone => false,
            Some(report) => report.born + margin < self.limits.started,
            None => true,
        }
    }

    /// Returns whether the backend server certainly holds no flow: it was not there when this agent started,
    /// and has not reported since.
    fn holds_nothing(&self) -> bool {
        self.began_alone && self.backend.last_report().is_none()
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
        let found = match answer.reply {
            Reply::Mine => {
                if let Some(ended) = self.lookups.end(&key, agent) {
                    self.settle(now, key, agent, ended, out);
                }
                return;
            }
            Reply::NotMine => self.lookups.deny(&key, agent, answer.known),
            Reply::Perhaps => {
                let copy = self.lookups.probe(now, &key, agent);
                out.extend(copy.map(|held| Action::Pass {
                    bytes: Some(held.bytes),
                    to: agent,
                    tag: held.tag.probing(),
                    reason: PassReason::MayOwn,
                }));
                return;
            }
        };
        self.conclude(now, view, key, found, out);
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
        if self.holds_nothing() {
            self.denied.note(now, key);
            return self.ask(arrival, out);
        }
        if self.denied.contains(&key) || !self.backend.is_present() {
            return self.ask(arrival, out);
        }
        // The backend server knows best; it returns the packet if the flow is not its own.
        let flow = self.flows.start(now, key, Holder::Here);
        flow.assumed = true;
        self.deliver(now, &key, segment, tag, out);
    }

    /// Decides about a copy of a packet by which another agent asks for a flow.
    pub(super) fn probed(&mut self, arrival: Arrival<'_>, out: &mut Vec<Action>) {
        let Arrival {
            now,
            from,
            segment,
            tag,
            ..
        } = arrival;
        let key = segment.from_caller();
        let question = Question {
            key,
            acknowledged: segment.acknowledged,
        };
        let reply = self.answer(&question);
        if reply == Reply::NotMine || !self.backend.is_present() {
            let reply = Reply::NotMine;
            out.push(Action::Tell {
                to: from,
                key,
                reply,
            });
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        if self.flows.get(&key).is_none() {
            self.flows.start(now, key, Holder::Here).assumed = true;
        }
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.asker = Some(from);
        }
        if reply == Reply::Mine {
            self.tell_asker(&key, reply, out);
        }
        self.deliver(now, &key, segment, tag, out);
    }

    /// Answers the agent that asked for a flow by a copy of a packet, if there is one.
    pub(super) fn tell_asker(&mut self, key: &FlowKey, reply: Reply, out: &mut Vec<Action>) {
        let flow = self.flows.get_mut(key);
        if let Some(to) = flow.and_then(|flow| flow.asker.take()) {
            out.push(Action::Tell {
                to,
                key: *key,
                reply,
            });
        }
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
        if tag.probe {
            self.tell_asker(&key, Reply::NotMine, out);
            self.flows.remove(&key);
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        match self.flows.get(&key).map(|flow| flow.holder) {
            Some(Holder::Peer(to)) => self.pass_on(own, key, to, tag, PassReason::Owner, out),
            Some(Holder::Here) | None => self.ask(arrival, out),
        }
    }

    /// Asks the other agents of the own failure domain for the owner of a flow, then all others, and keeps
    /// the packet until one answers.
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
        let near = self.candidates(view, true);
        let is_last = near.is_empty();
        let asked = match is_last {
            true => self.candidates(view, false),
            false => near,
        };
        if asked.is_empty() {
            return out.push(Action::Drop(DropReason::NoOwner));
        }
        let search = Search {
            asker: from,
            acknowledged: segment.acknowledged,
            fingerprint: view.peers.fingerprint(),
            whole: view.peers.len() <= ASK_LIMIT,
            is_last,
        };
        if !self.lookups.start(now, key, search, &asked, held) {
            return out.push(Action::Drop(DropReason::LookupsFull));
        }
        ask_each(&asked, key, segment.acknowledged, out);
        out.push(Action::Drop(DropReason::Held));
    }

    /// Returns the other agents in the own failure domain, or those elsewhere.
    fn candidates<'a>(&self, view: View<'a>, near: bool) -> Vec<&'a Peer> {
        let own = self.limits.node;
        let fits = |peer: &&Peer| (peer.domain == self.limits.domain) == near;
        let others = view.peers.iter().filter(|peer| peer.node != own);
        others.filter(fits).take(ASK_LIMIT).collect()
    }

    pub(super) fn conclude(
        &mut self,
        now: Duration,
        view: View<'_>,
        key: FlowKey,
        found: Found,
        out: &mut Vec<Action>,
    ) {
        let found = match found {
            Found::NotNear { acknowledged } => {
                let far = self.candidates(view, false);
                ask_each(&far, key, acknowledged, out);
                let fingerprint = view.peers.fingerprint();
                self.lookups.widen(now, &key, fingerprint, &far)
            }
            found => found,
        };
        match found {
            Found::Open | Found::NotNear { .. } => {}
            Found::Nobody {
                complete: Some(sequence),
                fingerprint,
                ..
            } if self.may_reset(view, &key, fingerprint) => out.push(Action::Reset {
                key,
                sequence,
                reason: ResetReason::Unowned,
            }),
            Found::Nobody { missing, asked, .. } => out.push(Action::Unfound {
                key,
                missing,
                asked,
            }),
        }
    }

    /// Returns whether a flow that all other agents deny is certainly gone; `asked` is the fingerprint of
    /// the agents that were known when the search began. One that came since may hold the flow.
    fn may_reset(&self, view: View<'_>, key: &FlowKey, asked: u64) -> bool {
        let same = view.peers.fingerprint() == asked;
        same && view.complete && !view.peers.has_away() && self.denied.contains(key)
    }

    /// Sends the packets that waited to the owner, and remembers it.
    fn settle(
        &mut self,
        now: Duration,
        key: FlowKey,
        owner: SocketAddrV4,
        ended: Ended,
        out: &mut Vec<Action>,
    ) {
        self.flows.start(now, key, Holder::Peer(owner));
        out.extend(ended.held.into_iter().map(|held| Action::Pass {
            bytes: Some(held.bytes),
            to: owner,
            tag: held.tag.passed_on(),
            reason: PassReason::Owner,
        }));
        if ended.asker != self.limits.packets {
            out.push(Action::Hint {
                to: ended.asker,
                key,
                agent: owner,
            });
        }
    }
}

fn ask_each(agents: &[&Peer], key: FlowKey, acknowledged: u32, out: &mut Vec<Action>) {
    let question = Question { key, acknowledged };
    out.extend(agents.iter().map(|peer| Action::Ask {
        to: peer.questions,
        question,
    }));
}
