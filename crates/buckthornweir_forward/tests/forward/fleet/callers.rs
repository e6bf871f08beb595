//! Callers, which open flows and send requests through changing entry agents.

use std::time::Duration;

use buckthornweir_forward::segment::Segment;
use rand::RngExt;

use super::model::{BUSY_TIME, Caller, Event, Fleet, Flow, vm_of};
use crate::common::{BALANCER, data, ms, syn};

/// First port of the callers; each flow uses a new one.
pub(super) const FIRST_PORT: u16 = 20_000;
const FLOW_PERIOD: Duration = Duration::from_millis(40);
const SYN_COPIES: [u64; 3] = [200, 600, 1_400];
/// When each caller of an open flow sends a last request, long after the last change.
pub(super) const LAST_REQUESTS: Duration = Duration::from_secs(32);
/// Packets that reach other backend servers, and for how long, until a flow counts as astray.
const MAX_STRAYS: u32 = 3;
const ASTRAY_TIME: Duration = Duration::from_secs(2);
/// How long an agent may take from its start until it gets packets of its flows again.
const RETURN_TIME: Duration = Duration::from_millis(1_500);

impl Fleet {
    /// Checks that each caller of an open flow got an answer, and each caller of a lost one a reset.
    pub(super) fn check_end(&mut self) {
        for (port, flow) in self.flows.clone() {
            if let Caller::Open { .. } = flow.caller
                && flow.asked.is_some()
            {
                let lost = !self.is_held(&flow.caller, port);
                let reason = match lost {
                    true => "the caller of a lost flow was not told",
                    false => "the caller of an open flow got no answer",
                };
                self.fail(port, reason);
            }
        }
    }

    /// Returns whether a living backend server holds the flow.
    pub(super) fn is_held(&self, caller: &Caller, port: u16) -> bool {
        let Caller::Open { vm, start, .. } = caller else {
            return false;
        };
        let server = self.vms.get(vm).and_then(|vm| vm.server.as_ref());
        let server = server.filter(|server| server.start == *start);
        server.is_some_and(|server| server.flows.get(&port).is_some_and(|(_, open)| *open))
    }

    /// Records that a backend server got a packet of a caller that waits for an answer, and checks that the
    /// packets of an open flow don't reach only others although the agent of its own is there.
    pub(super) fn note_arrival(&mut self, port: u16, vm: u8) {
        let now = self.now;
        let Some(flow) = self.flows.get(&port).copied() else {
            return;
        };
        let Caller::Open { vm: owner, .. } = flow.caller else {
            return;
        };
        if flow.asked.is_none() {
            return;
        }
        self.note(format!("flow {port} has a packet at VM {vm}"));
        let up = self.process_time(owner);
        let strays = match flow.strays {
            _ if vm == owner || up < RETURN_TIME => (0, now),
            (count, first) if count > 0 && now - first <= up - RETURN_TIME => (count + 1, first),
            // The earlier ones came before the owner's agent was back.
            _ => (1, now),
        };
        let (count, first) = strays;
        let is_astray = count >= MAX_STRAYS && now >= first + ASTRAY_TIME;
        // An agent that is killed may lose packets more often than a caller repeats them in that time.
        if is_astray && !self.unplanned && self.is_held(&flow.caller, port) {
            self.fail(port, "the packets of an open flow went astray");
        }
        if let Some(flow) = self.flows.get_mut(&port) {
            flow.strays = strays;
        }
    }

    pub(super) fn receive(&mut self, segment: Segment, vm: u8) {
        let port = segment.target.port();
        let server = self.vms.get(&vm).and_then(|vm| vm.server.as_ref());
        let start = server.map_or(0, |server| server.start);
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        match flow.caller {
            Caller::Opening { .. } if segment.syn => {
                let acknowledged = segment.sequence.wrapping_add(1);
                flow.caller = Caller::Open {
                    vm,
                    start,
                    acknowledged,
                };
                self.note(format!(
                    "flow {port} opens at VM {vm}, backend server {start}"
                ));
                self.send_data(port, 0);
                let pause = self.between(1, 400);
                self.push(pause, Event::Request { port });
            }
            Caller::Open { .. }
                if segment.length > 0 && flow.asked.take().is_some() && self.now < BUSY_TIME =>
            {
                let pause = self.between(300, 3_000);
                self.push(pause, Event::Request { port });
            }
            _ => {}
        }
    }

    pub(super) fn open_flow(&mut self) {
        if self.now > BUSY_TIME {
            return;
        }
        let port = self.next_port;
        self.next_port += 1;
        let flow = Flow {
            caller: Caller::Opening { copies: 0 },
            asked: None,
            hint: None,
            strays: (0, Duration::ZERO),
        };
        self.flows.insert(port, flow);
        self.send_syn(port);
        self.push(FLOW_PERIOD, Event::Open);
        self.push(LAST_REQUESTS - self.now, Event::Request { port });
    }

    pub(super) fn send_syn(&mut self, port: u16) {
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        let Caller::Opening { copies } = flow.caller else {
            return;
        };
        if copies as usize == SYN_COPIES.len() {
            flow.caller = Caller::Closed;
            return;
        }
        flow.caller = Caller::Opening { copies: copies + 1 };
        let before = if copies == 0 {
            0
        } else {
            SYN_COPIES[copies as usize - 1]
        };
        self.push(
            ms(SYN_COPIES[copies as usize] - before),
            Event::CopySyn { port },
        );
        let accepting = self.balancer.peers().iter().filter(|peer| peer.accepts);
        let accepting: Vec<u8> = accepting.map(|peer| vm_of(peer.packet_addr)).collect();
        if !accepting.is_empty() {
            let to = accepting[self.rng.random_range(0..accepting.len())];
            let segment = syn(port, copies);
            let delay = self.between(1, 4);
            self.push(
                delay,
                Event::Packet {
                    to,
                    from: BALANCER,
                    segment,
                },
            );
        }
    }

    pub(super) fn request(&mut self, port: u16) {
        let now = self.now;
        let Some(flow) = self.flows.get_mut(&port) else {
            return;
        };
        if !matches!(flow.caller, Caller::Open { .. }) || flow.asked.is_some() {
            return;
        }
        flow.asked = Some(now);
        flow.strays = (0, now);
        self.send_data(port, 90);
        self.push(
            ms(200),
            Event::Repeat {
                port,
                asked: now,
                gap: 200,
            },
        );
    }

    /// Sends a caller's packet through the flow's agent or any other one, as routers select another
    /// balancer after each change of theirs.
    pub(super) fn send_data(&mut self, port: u16, length: u16) {
        let flow = self.flows[&port];
        let Caller::Open {
            vm, acknowledged, ..
        } = flow.caller
        else {
            return;
        };
        let known: Vec<u8> = self
            .balancer
            .peers()
            .iter()
            .map(|p| vm_of(p.packet_addr))
            .collect();
        if known.is_empty() {
            return;
        }
        let hinted = Some(flow.hint.unwrap_or(vm)).filter(|vm| known.contains(vm));
        let to = match hinted.filter(|_| self.rng.random_bool(0.5)) {
            Some(vm) => vm,
            None => known[self.rng.random_range(0..known.len())],
        };
        let segment = Segment {
            acknowledged,
            ..data(port, length)
        };
        let delay = self.between(1, 4);
        self.push(
            delay,
            Event::Packet {
                to,
                from: BALANCER,
                segment,
            },
        );
    }
}
