//! Simulated backend servers: workers with a bounded queue.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use buckthornweir_forward::segment::Segment;
use buckthornweir_forward::tag::Tag;

use crate::model::{Event, Model, ms};
use crate::network::CALLER_DELAY;
use crate::packets::{Packet, PacketKind, flow_key};

/// Number of workers.
pub(crate) const SLOTS: u32 = 3;

/// Requests that wait for each worker; further ones are answered with 503 "not run".
const QUEUE_PER_SLOT: u32 = 4;
const NOT_RUN_DELAY: Duration = ms(1);

/// Interval at which a response that the agent did not take is retransmitted.
const RESPONSE_RETRY: Duration = ms(200);

/// How far the sequence numbers of two backend servers' SYN-ACKs lie apart.
const SYN_ACK_DISTANCE: u32 = 1_000_000;

/// A packet of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ReplyKind {
    SynAck { sequence: u32 },
    Ack,
    Response,
    NotRun,
}

#[derive(Debug)]
pub(crate) struct Server {
    /// Requests that began within the measured time.
    pub(crate) begun: usize,
    speed: f64,
    busy: u32,
    queue: VecDeque<usize>,
    /// Flows by attempt, and whether their request has arrived.
    flows: HashMap<usize, bool>,
}

impl Server {
    pub(crate) fn new(speed: f64) -> Self {
        Self {
            begun: 0,
            speed,
            busy: 0,
            queue: VecDeque::new(),
            flows: HashMap::new(),
        }
    }
}

fn syn_ack_sequence(agent: usize) -> u32 {
    (agent as u32 + 1) * SYN_ACK_DISTANCE
}

impl Model {
    /// Delivers a packet to the backend server of an agent.
    pub(crate) fn deliver(&mut self, at: usize, packet: Packet, tag: Tag) {
        let (now, attempt, sequence) = (self.now, packet.attempt, syn_ack_sequence(at));
        let flows = &mut self.sites[at].server.flows;
        let acknowledged = packet.number == sequence + 1;
        match (packet.kind, flows.get(&attempt).copied()) {
            (PacketKind::Syn, known) => {
                flows.insert(attempt, known.unwrap_or(false));
                self.note_offered(attempt);
                self.reply(at, attempt, ReplyKind::SynAck { sequence });
            }
            (PacketKind::Data, Some(has_request)) if acknowledged => {
                flows.insert(attempt, true);
                self.reply(at, attempt, ReplyKind::Ack);
                if !has_request {
                    self.accept(at, attempt);
                }
            }
            (PacketKind::Fin, Some(_)) if acknowledged => drop(flows.remove(&attempt)),
            _ => {
                let segment = Segment {
                    returned: true,
                    ..packet.segment(tag)
                };
                self.with_agent(at, Some(packet), |agent, view, out| {
                    agent.backend_packet(now, view, &segment, &packet.bytes(), out);
                });
            }
        }
    }

    fn accept(&mut self, at: usize, attempt: usize) {
        let server = &mut self.sites[at].server;
        if server.busy < SLOTS {
            server.busy += 1;
            return self.begin(at, attempt);
        }
        if server.queue.len() < (SLOTS * QUEUE_PER_SLOT) as usize {
            return server.queue.push_back(attempt);
        }
        self.callers.shed += usize::from(self.is_measured(self.now));
        let event = Event::Reply(at, attempt, ReplyKind::NotRun);
        self.push(NOT_RUN_DELAY, event);
    }

    fn begin(&mut self, at: usize, attempt: usize) {
        let work = self.note_begun(attempt);
        let measured = self.is_measured(self.now);
        let server = &mut self.sites[at].server;
        server.begun += usize::from(measured);
        let took = work.div_f64(server.speed);
        self.push(took, Event::Completed(at, attempt));
    }

    pub(crate) fn complete(&mut self, at: usize, attempt: usize) {
        match self.sites[at].server.queue.pop_front() {
            Some(next) => self.begin(at, next),
            None => self.sites[at].server.busy -= 1,
        }
        self.reply(at, attempt, ReplyKind::Response);
    }

    /// Sends a packet of a backend server to a caller, through the agent.
    pub(crate) fn reply(&mut self, at: usize, attempt: usize, kind: ReplyKind) {
        let is_response = matches!(kind, ReplyKind::Response | ReplyKind::NotRun);
        if self.sites[at].down_since.is_some() {
            if is_response {
                self.push(RESPONSE_RETRY, Event::Reply(at, attempt, kind));
            }
            return;
        }
        let key = flow_key(attempt, self.callers.class_of(attempt));
        let is_syn_ack = matches!(kind, ReplyKind::SynAck { .. });
        let segment = Segment {
            source: key.service,
            target: key.caller,
            syn: is_syn_ack,
            fin: is_response,
            rst: false,
            returned: false,
            sequence: syn_ack_sequence(at) + u32::from(!is_syn_ack),
            acknowledged: 2,
            length: if is_response { 200 } else { 0 },
            tag: 0,
        };
        let now = self.now;
        self.with_agent(at, None, |agent, view, out| {
            agent.backend_packet(now, view, &segment, &[], out);
        });
        self.push(CALLER_DELAY, Event::ToCaller(attempt, kind));
    }
}
