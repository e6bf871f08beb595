//! Messages to and from other processes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_events::Count;
use buckthornweir_forward::agent::Answer;
use prost::Message as _;

use super::{Node, Role, agent_view, packets_address};
use crate::control::Sends;
use crate::links::{self, Incoming};
use crate::messages::{
    ASKED_FLOWS, AskMessage, AskedFlow, DATAGRAM_LIMIT, PeerBody, PeerMessage, PlanMessage,
    RosterMessage, TellMessage, ToldFlow, pack, reply_number, reply_of, unpack,
};
use crate::packets::BATCH;

impl Node {
    pub(super) fn incoming(&mut self, incoming: Incoming) {
        match incoming.body {
            PeerBody::PlanRequest(request) => {
                let document = self.plans.document();
                let plan = match document.revision > request.above {
                    true => PlanMessage::from(&**document),
                    false => PlanMessage::default(),
                };
                // The asker may have given up.
                let _ = incoming.answer.send(PeerBody::Plan(plan));
            }
            PeerBody::RosterRequest(_) => {
                let messages = self.gossip.roster();
                // The asker may have given up.
                let _ = incoming
                    .answer
                    .send(PeerBody::Roster(RosterMessage { messages }));
            }
            body => self.message(incoming.from, body),
        }
    }

    pub(super) fn read_inner(&mut self, buffer: &mut [u8]) {
        for _ in 0..BATCH {
            let Ok((length, from)) = self.inner.try_recv_from(buffer) else {
                return;
            };
            self.metrics.count_by(Count::ControlBytesIn, length as u64);
            match PeerMessage::decode(&buffer[..length]) {
                Ok(PeerMessage { body: Some(body) }) => self.message(from, body),
                _ => self.metrics.count(Count::DatagramsMalformed),
            }
        }
    }

    pub(super) fn message(&mut self, from: SocketAddr, body: PeerBody) {
        let now = self.now();
        let sends = match (&mut self.role, body) {
            (_, PeerBody::Members(bytes)) => {
                let outcome = self.gossip.handle(now, from, &bytes);
                return self.carry_out(outcome);
            }
            (Role::Agent { core, .. }, PeerBody::Ask(ask)) => {
                let agent = packets_address(&self.settings).map(|own| self.settings.announce(own));
                let told = |asked: &AskedFlow| ToldFlow {
                    flow: asked.flow,
                    reply: reply_number(core.answer(&(*asked).into())),
                };
                let tell = TellMessage {
                    agent: agent.map_or(0, pack),
                    known: self.peers.fingerprint(),
                    flows: ask.flows.iter().take(ASKED_FLOWS).map(told).collect(),
                };
                let to = SocketAddr::V4(unpack(ask.asker));
                return self.send(to, &PeerMessage::of(PeerBody::Tell(tell)));
            }
            (Role::Agent { .. }, PeerBody::Tell(tell)) => return self.told(now, &tell),
            (Role::Agent { core, .. }, PeerBody::Hint(hint)) => {
                return core.hint(hint.flow.into(), unpack(hint.agent));
            }
            (Role::Balancer { core, .. }, PeerBody::Hint(hint)) => {
                return core.hint(now, hint.flow.into(), unpack(hint.agent));
            }
            (Role::Control(replica), PeerBody::Quorum(frame)) => replica.quorum(now, frame),
            (Role::Control(replica), PeerBody::Presence(bytes)) => replica.presence(now, bytes),
            (Role::Control(replica), PeerBody::Expelled(notice)) => {
                replica.expelled(now, notice);
                Sends::new()
            }
            _ => return self.metrics.count(Count::DatagramsMalformed),
        };
        self.send_all(sends);
        self.publish();
    }

    /// Takes another agent's answers.
    pub(super) fn told(&mut self, now: Duration, tell: &TellMessage) {
        let Role::Agent { core, .. } = &mut self.role else {
            return;
        };
        let view = agent_view(&self.plans, &self.peers, &self.gossip, now);
        let mut actions = std::mem::take(&mut self.actions);
        for told in &tell.flows {
            if let Some(reply) = reply_of(told.reply) {
                let answer = Answer {
                    agent: unpack(tell.agent),
                    reply,
                    known: tell.known,
                };
                core.answered(now, view, told.flow.into(), answer, &mut actions);
            }
        }
        self.act(actions, &mut [], None);
    }

    /// Sends the questions that came up in this turn of the loop. Many come up at once after a restart
    /// of many VMs; each agent then gets a few datagrams, not one for each flow.
    pub(super) fn ask(&mut self) {
        let mut by_agent: BTreeMap<SocketAddrV4, Vec<AskedFlow>> = BTreeMap::new();
        for (to, question) in self.asks.drain(..) {
            by_agent.entry(to).or_default().push(question.into());
        }
        let asker = pack(self.settings.announced_inner());
        for (to, flows) in by_agent {
            for part in flows.chunks(ASKED_FLOWS) {
                let flows = part.to_vec();
                let ask = AskMessage { asker, flows };
                self.send(SocketAddr::V4(to), &PeerMessage::of(PeerBody::Ask(ask)));
            }
        }
    }

    pub(super) fn send_all(&self, sends: Sends) {
        for (to, body) in sends {
            self.send(to, &PeerMessage::of(body));
        }
    }

    /// Sends a message: in a datagram if it fits, else over a connection of its own.
    pub(super) fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let bytes = message.encode_to_vec();
        self.metrics
            .count_by(Count::ControlBytesOut, bytes.len() as u64);
        if bytes.len() <= DATAGRAM_LIMIT {
            if self.inner.try_send_to(&bytes, to).is_err() {
                self.metrics.count(Count::DatagramsUnsent);
            }
            return;
        }
        if let Some(body) = message.body.clone() {
            let source = self.link_source();
            tokio::spawn(async move {
                if let Err(error) = links::send(source, to, body).await {
                    tracing::debug!(event = "link_failed", %to, %error);
                }
            });
        }
    }
}
