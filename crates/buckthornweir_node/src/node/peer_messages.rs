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
    TellMessage, pack, reply_of, told_flow, unpack,
};
use crate::packets::BATCH;

/// How long questions wait for others to the same agent; callers send again after 200 ms.
const ASK_PERIOD: Duration = Duration::from_millis(10);

/// Questions that are sent without waiting for more.
const ASKS_AT_ONCE: usize = 1_024;

/// Groups flows by the process that they go to, in messages that fit into a datagram.
fn parts<T: Clone>(
    flows: impl IntoIterator<Item = (SocketAddrV4, T)>,
) -> Vec<(SocketAddrV4, Vec<T>)> {
    let mut by_process: BTreeMap<SocketAddrV4, Vec<T>> = BTreeMap::new();
    for (to, flow) in flows {
        by_process.entry(to).or_default().push(flow);
    }
    let mut parts = Vec::new();
    for (to, flows) in by_process {
        parts.extend(flows.chunks(ASKED_FLOWS).map(|part| (to, part.to_vec())));
    }
    parts
}

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
            PeerBody::RosterRequest(request) => match request.read() {
                Ok((asker, request)) => {
                    let now = self.now();
                    let asker = SocketAddr::V4(asker);
                    let (roster, outcome) = self.gossip.answer_roster(now, asker, request);
                    self.carry_out(outcome);
                    // The asker may have given up.
                    let _ = incoming.answer.send(PeerBody::Roster((&roster).into()));
                }
                Err(error) => {
                    tracing::warn!(event = "message_malformed", from = %incoming.from, %error);
                }
            },
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
                let agent =
                    packets_address(&self.settings).map(|own| self.settings.announced_addr(own));
                let told = |asked: &AskedFlow| told_flow(asked.flow, core.answer(&(*asked).into()));
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
                core.handle_answer(now, view, told.flow.into(), answer, &mut actions);
            }
        }
        self.act(actions, &mut [], None);
    }

    /// Sends the questions that came up, and answers to those that came with a packet, some time after
    /// the first: many come up after a restart of many VMs, and each agent then gets a few datagrams, not
    /// one for each flow.
    pub(super) fn ask(&mut self, now: Duration) {
        if self.asks.is_empty() && self.tells.is_empty() {
            self.next_asks = now + ASK_PERIOD;
            return;
        }
        if now < self.next_asks && self.asks.len() < ASKS_AT_ONCE {
            return;
        }
        self.next_asks = now + ASK_PERIOD;
        let asks = std::mem::take(&mut self.asks).into_iter();
        let asks = asks.map(|(to, question)| (to, AskedFlow::from(question)));
        let asker = pack(self.settings.announced_peer_addr());
        for (to, flows) in parts(asks) {
            let ask = AskMessage { asker, flows };
            self.send(SocketAddr::V4(to), &PeerMessage::of(PeerBody::Ask(ask)));
        }
        let agent = packets_address(&self.settings).map(|own| self.settings.announced_addr(own));
        let known = self.peers.fingerprint();
        for (to, flows) in parts(std::mem::take(&mut self.tells)) {
            let agent = agent.map_or(0, pack);
            let tell = TellMessage {
                agent,
                known,
                flows,
            };
            self.send(SocketAddr::V4(to), &PeerMessage::of(PeerBody::Tell(tell)));
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
