//! Packets and messages between processes, and execution of the agents' decisions.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::agent::{Action, Agent, Answer, Question, Reply, ResetReason, View};
use buckthornweir_forward::balancer::Decision;
use buckthornweir_forward::segment::FlowKey;
use buckthornweir_forward::tag::Tag;

use crate::model::{Event, Model, ms, packet_addr};
use crate::packets::Packet;

const VM_DELAY: Duration = Duration::from_micros(100);
pub(crate) const CALLER_DELAY: Duration = ms(1);
const HINT_DELAY: Duration = ms(1);
const TICK_PERIOD: Duration = ms(25);

fn balancer_addr(balancer: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 1, 0, balancer as u8), 7000)
}

fn agent_at(addr: SocketAddrV4) -> usize {
    let [_, _, high, low] = addr.ip().octets();
    usize::from(u16::from_be_bytes([high, low])) - 1
}

impl Model {
    pub(crate) fn route(&mut self, packet: Packet) {
        // The fabric hands all packets of a flow to one balancer.
        let hash = packet.attempt.wrapping_mul(0x9e37_79b1) >> 16;
        let balancer = hash % self.balancers.len();
        let segment = packet.segment(Tag::default());
        let core = &mut self.balancers[balancer];
        match core.route(self.now, &self.plan, &self.peers, &segment) {
            Decision::Forward { to, tag } => {
                let from = balancer_addr(balancer);
                self.push(VM_DELAY, Event::ToAgent(agent_at(to), from, packet, tag));
            }
            Decision::Reset(_) => self.push(CALLER_DELAY, Event::Reset(packet.attempt)),
            Decision::Drop(_) => {}
        }
    }

    /// Calls an agent, if it runs, and executes its actions; `packet` is the current packet.
    pub(crate) fn with_agent(
        &mut self,
        at: usize,
        packet: Option<Packet>,
        call: impl FnOnce(&mut Agent, View<'_>, &mut Vec<Action>),
    ) {
        let site = &mut self.sites[at];
        if site.down_since.is_some() {
            return;
        }
        let view = View {
            plan: [&self.plan, &self.old_plan][usize::from(site.stale_plan)],
            peers: &self.peers,
            grace_elapsed: true,
            peers_synced: true,
        };
        let mut actions = Vec::new();
        call(&mut site.agent, view, &mut actions);
        for action in actions {
            self.execute(at, action, packet);
        }
        let site = &mut self.sites[at];
        if site.agent.is_waiting() && !std::mem::replace(&mut site.ticking, true) {
            self.push(TICK_PERIOD, Event::Tick(at));
        }
    }

    fn execute(&mut self, at: usize, action: Action, current: Option<Packet>) {
        let own = packet_addr(at);
        let packet = |held: Option<Vec<u8>>| held.map(|bytes| Packet::read(&bytes)).or(current);
        match action {
            Action::Deliver { bytes, tag } => {
                if let Some(packet) = packet(bytes) {
                    self.deliver(at, packet, tag);
                }
            }
            Action::Pass { bytes, to, tag, .. } => {
                if let Some(packet) = packet(bytes) {
                    self.push(VM_DELAY, Event::ToAgent(agent_at(to), own, packet, tag));
                }
            }
            Action::Reset { key, reason, .. } => self.send_reset(Packet::attempt_of(&key), reason),
            Action::Ask { to, question } => {
                self.push(VM_DELAY, Event::Ask(agent_at(to), at, question));
            }
            Action::AnswerProbe { to, key, reply } => {
                self.send_answer(at, agent_at(to), key, reply);
            }
            Action::Hint {
                to,
                key,
                agent,
                load,
            } => {
                let to_agent = self.peers.has(&to);
                if to_agent && self.hint_fault.lost {
                    return;
                }
                self.push(HINT_DELAY, Event::Hint(to, key, agent));
                if let Some(load) = load.filter(|_| to_agent) {
                    let delay = HINT_DELAY + self.hint_fault.load_delay;
                    self.push(delay, Event::Load(agent_at(to), own, load));
                }
            }
            // `reply` sends the packets for callers. The others change nothing outside the agent.
            _ => {}
        }
    }

    fn send_reset(&mut self, attempt: usize, reason: ResetReason) {
        let lost = [
            ResetReason::Lost,
            ResetReason::Restarted,
            ResetReason::Unowned,
        ];
        if !lost.contains(&reason) {
            self.note_rejected(attempt);
        }
        self.push(CALLER_DELAY, Event::Reset(attempt));
    }

    fn send_answer(&mut self, at: usize, to: usize, key: FlowKey, reply: Reply) {
        let answer = Answer {
            agent: packet_addr(at),
            reply,
            known: self.peers.fingerprint(),
            instances: self.peers.instances(),
        };
        self.push(VM_DELAY, Event::Answer(to, key, answer));
    }

    pub(crate) fn answer_question(&mut self, at: usize, from: usize, question: &Question) {
        let now = self.now;
        let site = &mut self.sites[at];
        if site.down_since.is_none() {
            let reply = site.agent.answer(now, packet_addr(from), question);
            self.send_answer(at, from, question.key, reply);
        }
    }

    pub(crate) fn hint(&mut self, to: SocketAddrV4, key: FlowKey, agent: SocketAddrV4) {
        let balancer = (0..self.balancers.len()).find(|i| balancer_addr(*i) == to);
        match balancer {
            Some(balancer) => self.balancers[balancer].hint(self.now, key, agent),
            None => self.with_agent(agent_at(to), None, |own, _, _| own.hint(key, agent)),
        }
    }
}
