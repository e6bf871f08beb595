//! Exports a quiet flow and resumes it in a fresh stack.
//!
//! The fresh stack is led through a handshake made from the flow's state. Its own sequence numbers
//! differ from those that the caller sees by a constant, which is added to each packet that goes out
//! and taken from the acknowledgements that come in.

use std::net::IpAddr;
use std::time::Duration;

use etherparse::{PacketBuilder, TcpHeader, TcpOptionElement};

use super::{FlowStack, StackLimits};
use crate::moving::QuietFlow;
use crate::packet::{FiveTuple, parse};

impl FlowStack {
    /// Returns the state of the flow when it is quiet: established, with nothing unread, unsent or
    /// unacknowledged either way.
    ///
    /// Whoever hands the state to another agent drops this stack first.
    pub fn quiet(&self) -> Option<QuietFlow> {
        let socket = self.socket();
        let is_empty = socket.send_queue() == 0 && socket.recv_queue() == 0;
        if !self.is_established() || !is_empty || !self.tracker.is_acknowledged() {
            return None;
        }
        let service = socket.local_endpoint()?;
        let caller = socket.remote_endpoint()?;
        let tracker = &self.tracker;
        Some(QuietFlow {
            tuple: FiveTuple {
                caller: (IpAddr::from(caller.addr), caller.port).into(),
                service: (IpAddr::from(service.addr), service.port).into(),
            },
            sent: tracker.sent.wrapping_add(self.shift),
            received: tracker.acknowledged,
            window: tracker.window_after(tracker.sent).unwrap_or(tracker.window),
            segment: tracker.options.segment,
            scale: tracker.options.scale,
            sack: tracker.options.sack,
            receive: tracker.receive as u32,
        })
    }

    /// Returns a stack that goes on with a flow that was quiet in another one.
    ///
    /// Returns `None` when the state isn't one that [`quiet`](Self::quiet) gives. The receive buffer
    /// keeps its size, because the window scale that the caller knows follows from it.
    pub fn resume(flow: &QuietFlow, limits: &StackLimits, now: Duration) -> Option<Self> {
        let limits = limits.with_receive(flow.receive as usize);
        let mut stack = Self::listen(flow.tuple.service, u64::from(flow.sent), &limits, now);
        let mut answers = Vec::new();
        stack.input(&syn(flow)?, now, &mut answers);
        let answer = parse(answers.first()?).ok()?;
        let next = answer.seq.wrapping_add(1);
        stack.input(&handshake_ack(flow, next)?, now, &mut answers);
        stack.shift = flow.sent.wrapping_sub(next);
        stack.tracker.initial = Some(flow.sent.wrapping_sub(1));
        stack.is_established().then_some(stack)
    }
}

/// Returns the SYN that the caller might have sent just before the flow's next byte.
fn syn(flow: &QuietFlow) -> Option<Vec<u8>> {
    let mut tcp = header(flow, flow.received.wrapping_sub(1));
    tcp.syn = true;
    let segment = flow.segment.map(TcpOptionElement::MaximumSegmentSize);
    let scale = flow.scale.map(TcpOptionElement::WindowScale);
    let sack = flow
        .sack
        .then_some(TcpOptionElement::SelectiveAcknowledgementPermitted);
    let options: Vec<_> = [segment, scale, sack].into_iter().flatten().collect();
    tcp.set_options(&options).ok()?;
    build_packet(flow, tcp)
}

/// Returns the acknowledgement that ends the handshake.
fn handshake_ack(flow: &QuietFlow, acknowledged: u32) -> Option<Vec<u8>> {
    let mut tcp = header(flow, flow.received);
    tcp.ack = true;
    tcp.acknowledgment_number = acknowledged;
    build_packet(flow, tcp)
}

fn header(flow: &QuietFlow, sequence: u32) -> TcpHeader {
    let caller = flow.tuple.caller.port();
    let service = flow.tuple.service.port();
    TcpHeader::new(caller, service, sequence, flow.window)
}

fn build_packet(flow: &QuietFlow, tcp: TcpHeader) -> Option<Vec<u8>> {
    const HOP_LIMIT: u8 = 64;
    let step = match (flow.tuple.caller.ip(), flow.tuple.service.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT)
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            PacketBuilder::ipv6(from.octets(), to.octets(), HOP_LIMIT)
        }
        _ => return None,
    };
    let mut packet = Vec::new();
    step.tcp_header(tcp).write(&mut packet, &[]).ok()?;
    Some(packet)
}
