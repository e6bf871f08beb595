//! Sending, receiving and handling of peer messages.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_events::Count;
use buckthornweir_forward::agent::Answer;
use prost::Message as _;

use super::{Node, Role, agent_view, packet_addr};
use crate::control::Outbox;
use crate::links::{self, Incoming};
use crate::messages::{
    AskMessage, AskedFlow, LoadMessage, MAX_DATAGRAM_BYTES, MAX_FLOWS_PER_MESSAGE, PeerBody,
    PeerMessage, PlanMessage, TellMessage, WithdrawnMessage, flow_answer, pack, unpack,
};
use crate::packets::MAX_BATCH;

/// How long questions are held back so that several to the same agent share a datagram. It is short
/// compared with the 200 ms after which callers retransmit.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Number of queued questions from which they are sent without further delay.
const MAX_QUEUED_QUESTIONS: usize = 1_024;

/// Groups flows by destination, in batches that fit into a datagram.
fn batch<T: Clone>(
    flows: impl IntoIterator<Item = (SocketAddrV4, T)>,
) -> Vec<(SocketAddrV4, Vec<T>)> {
    let mut by_process: BTreeMap<SocketAddrV4, Vec<T>> = BTreeMap::new();
    for (to, flow) in flows {
        by_process.entry(to).or_default().push(flow);
    }
    let mut batches = Vec::new();
    for (to, flows) in by_process {
        batches.extend(
            flows
                .chunks(MAX_FLOWS_PER_MESSAGE)
                .map(|chunk| (to, chunk.to_vec())),
        );
    }
    batches
}

impl Node {
    pub(super) fn handle_incoming(&mut self, incoming: Incoming) {
        match incoming.body {
            PeerBody::PlanRequest(request) => {
                let document = self.plans.document();
                let plan = match document.revision > request.above {
                    true => PlanMessage::from(&**document),
                    false => PlanMessage::default(),
                };
                // The requester may have given up.
                let _ = incoming.response.send(PeerBody::Plan(plan));
            }
            PeerBody::RosterRequest(request) => match request.read() {
                Ok((requester, request)) => {
                    let now = self.now();
                    let requester = SocketAddr::V4(requester);
                    let (roster, outcome) = self.gossip.answer_roster(now, requester, request);
                    self.apply(outcome);
                    // The requester may have given up.
                    let _ = incoming.response.send(PeerBody::Roster((&roster).into()));
                }
                Err(error) => {
                    tracing::warn!(event = "message_malformed", from = %incoming.from, %error);
                }
            },
            body => self.handle_message(incoming.from, body),
        }
    }

    pub(super) fn read_peer_messages(&mut self, buffer: &mut [u8]) {
        for _ in 0..MAX_BATCH {
            let Ok((length, from)) = self.peer_socket.try_recv_from(buffer) else {
                return;
            };
            self.metrics.count_by(Count::ControlBytesIn, length as u64);
            match PeerMessage::decode(&buffer[..length]) {
                Ok(PeerMessage { body: Some(body) }) => self.handle_message(from, body),
                _ => self.metrics.count(Count::DatagramsMalformed),
            }
        }
    }

    pub(super) fn handle_message(&mut self, from: SocketAddr, body: PeerBody) {
        let now = self.now();
        let outbox = match (&mut self.role, body) {
            (_, PeerBody::Members(bytes)) => {
                let outcome = self.gossip.handle(now, from, &bytes);
                return self.apply(outcome);
            }
            (Role::Agent { core, .. }, PeerBody::Ask(ask)) => {
                let agent =
                    packet_addr(&self.settings).map(|own| self.settings.announced_addr(own));
                let asker = unpack(ask.asker);
                let answer = |asked: &AskedFlow| {
                    flow_answer(asked.flow, core.answer(now, asker, &(*asked).into()))
                };
                let tell = TellMessage {
                    agent: agent.map_or(0, pack),
                    known: self.peers.fingerprint(),
                    instances: self.peers.instances(),
                    flows: ask
                        .flows
                        .iter()
                        .take(MAX_FLOWS_PER_MESSAGE)
                        .map(answer)
                        .collect(),
                    promises: true,
                };
                return self.send(
                    SocketAddr::V4(asker),
                    &PeerMessage::new(PeerBody::Tell(tell)),
                );
            }
            (Role::Agent { .. }, PeerBody::Tell(tell)) => return self.handle_answers(now, &tell),
            (Role::Agent { core, .. }, PeerBody::Withdraw(withdrawal)) => {
                let agent = unpack(withdrawal.agent);
                if !core.note_withdrawn(now, agent) {
                    return;
                }
                if self.log_budget.try_acquire(now) {
                    tracing::info!(event = "promise_withdrawn", %agent);
                }
                let acknowledgement = WithdrawnMessage {
                    asker: pack(self.settings.announced_peer_addr()),
                    started_ms: withdrawal.started_ms,
                };
                let to = SocketAddr::V4(unpack(withdrawal.sender));
                let body = PeerBody::Withdrawn(acknowledgement);
                return self.send(to, &PeerMessage::new(body));
            }
            (Role::Agent { core, .. }, PeerBody::Withdrawn(acknowledgement)) => {
                let WithdrawnMessage { asker, started_ms } = acknowledgement;
                return core.note_acknowledged(&unpack(asker), started_ms);
            }
            (Role::Agent { core, .. }, PeerBody::Hint(hint)) => {
                if let Some((agent, load)) = hint.load.map(LoadMessage::read) {
                    core.note_load(now, agent, load);
                }
                return core.hint(hint.flow.into(), unpack(hint.agent));
            }
            (Role::Balancer { core, .. }, PeerBody::Hint(hint)) => {
                return core.hint(now, hint.flow.into(), unpack(hint.agent));
            }
            (Role::Control(replica), PeerBody::Quorum(frame)) => replica.on_quorum(now, frame),
            (Role::Control(replica), PeerBody::Presence(bytes)) => replica.on_presence(now, bytes),
            (Role::Control(replica), PeerBody::Expelled(notice)) => {
                replica.on_expelled(now, notice);
                Outbox::new()
            }
            _ => return self.metrics.count(Count::DatagramsMalformed),
        };
        self.send_all(outbox);
        self.apply_committed();
    }

    /// Handles another agent's answers.
    pub(super) fn handle_answers(&mut self, now: Duration, tell: &TellMessage) {
        let Role::Agent { core, .. } = &mut self.role else {
            return;
        };
        let view = agent_view(&self.plans, &self.peers, &self.gossip, now);
        let mut actions = std::mem::take(&mut self.actions);
        for answered in &tell.flows {
            if let Some(reply) = tell.reply(answered) {
                let answer = Answer {
                    agent: unpack(tell.agent),
                    reply,
                    known: tell.known,
                    instances: tell.instances,
                };
                core.handle_answer(now, view, answered.flow.into(), answer, &mut actions);
            }
        }
        self.execute_all(actions, &mut [], None);
    }

    /// Sends the queued questions and answers to probes, at most [`BATCH_DELAY`] after the first.
    ///
    /// Many questions arise when many VMs restart; each agent then receives a few datagrams instead of one
    /// for each flow.
    pub(super) fn flush_questions(&mut self, now: Duration) {
        if self.questions.is_empty() && self.answers.is_empty() {
            self.next_flush = now + BATCH_DELAY;
            return;
        }
        if now < self.next_flush && self.questions.len() < MAX_QUEUED_QUESTIONS {
            return;
        }
        self.next_flush = now + BATCH_DELAY;
        let questions = std::mem::take(&mut self.questions).into_iter();
        let questions = questions.map(|(to, question)| (to, AskedFlow::from(question)));
        let asker = pack(self.settings.announced_peer_addr());
        for (to, flows) in batch(questions) {
            let ask = AskMessage { asker, flows };
            self.send(SocketAddr::V4(to), &PeerMessage::new(PeerBody::Ask(ask)));
        }
        let agent = packet_addr(&self.settings).map(|own| self.settings.announced_addr(own));
        let (known, instances) = (self.peers.fingerprint(), self.peers.instances());
        for (to, flows) in batch(std::mem::take(&mut self.answers)) {
            let agent = agent.map_or(0, pack);
            let tell = TellMessage {
                agent,
                known,
                instances,
                flows,
                promises: true,
            };
            self.send(SocketAddr::V4(to), &PeerMessage::new(PeerBody::Tell(tell)));
        }
    }

    pub(super) fn send_all(&self, outbox: Outbox) {
        for (to, body) in outbox {
            self.send(to, &PeerMessage::new(body));
        }
    }

    /// Sends a message: as a datagram if it fits into one, otherwise over a new connection.
    pub(super) fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let bytes = message.encode_to_vec();
        self.metrics
            .count_by(Count::ControlBytesOut, bytes.len() as u64);
        if bytes.len() <= MAX_DATAGRAM_BYTES {
            if self.peer_socket.try_send_to(&bytes, to).is_err() {
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
