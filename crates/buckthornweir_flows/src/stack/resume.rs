//! Exports the state of a quiet flow and resumes the flow in a new stack.
//!
//! The new stack performs a handshake with packets built from the flow's state. Its sequence
//! numbers differ from those that the caller sees by a constant, which is added to the sequence
//! numbers of outgoing packets and subtracted from the acknowledgement numbers of incoming ones.

use std::net::IpAddr;
use std::time::Duration;

use etherparse::{PacketBuilder, TcpHeader, TcpOptionElement};

use super::{FlowStack, StackLimits};
use crate::moving::QuietFlow;
use crate::packet::{FiveTuple, parse};

impl FlowStack {
    /// Returns the state of the flow if it is quiet: established, with no unread, unsent or
    /// unacknowledged bytes in either direction.
    ///
    /// Drop this stack before the state is sent to another agent.
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

    /// Creates a stack that resumes a quiet flow of another stack.
    ///
    /// Returns `None` if the state isn't a valid result of [`quiet`](Self::quiet). The receive
    /// buffer keeps its size, because it determines the window scale that was announced to the
    /// caller.
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

/// Builds a SYN of the caller whose sequence number directly precedes the flow's next byte.
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

/// Builds the ACK that completes the handshake.
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
