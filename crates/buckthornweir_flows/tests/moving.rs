//! Moves of quiet flows between stacks.

#![allow(clippy::unwrap_used, reason = "a helper of a test may panic")]

mod common;

use std::time::Duration;

use buckthornweir_flows::messages::MovedFlow;
use buckthornweir_flows::prelude::*;
use buckthornweir_flows::stack::shift_incoming;
use common::*;
use smoltcp::socket::tcp::State;

/// Kinds of options that a caller's SYN may lack.
const WINDOW_SCALE: u8 = 3;
const SACK_PERMITTED: u8 = 4;

fn bytes(length: usize) -> Vec<u8> {
    (0..length)
        .map(|index| (index * 7 + index / 251) as u8)
        .collect()
}

/// Returns a packet without the options of these kinds.
fn without_options(packet: &[u8], kinds: &[u8]) -> Vec<u8> {
    let (ip, rest) = etherparse::IpHeaders::from_slice(packet).unwrap();
    let (mut tcp, payload) = etherparse::TcpHeader::from_slice(rest.payload).unwrap();
    let options: Vec<_> = tcp.options_iterator().flatten().collect();
    let kept = |option: &etherparse::TcpOptionElement| match option {
        etherparse::TcpOptionElement::WindowScale(_) => !kinds.contains(&WINDOW_SCALE),
        etherparse::TcpOptionElement::SelectiveAcknowledgementPermitted => {
            !kinds.contains(&SACK_PERMITTED)
        }
        _ => true,
    };
    let options: Vec<_> = options.into_iter().filter(kept).collect();
    tcp.set_options(&options).unwrap();
    let mut bytes = Vec::new();
    let builder = etherparse::PacketBuilder::ip(ip).tcp_header(tcp);
    builder.write(&mut bytes, payload).unwrap();
    bytes
}

/// Transfers bytes in both directions over a link that loses every `loss`th packet, and checks that
/// all arrive.
fn transfer(
    caller: &mut Caller,
    server: &mut FlowStack,
    now: &mut Duration,
    length: usize,
    loss: usize,
) {
    let data = bytes(length);
    let (mut up, mut down) = (Vec::new(), Vec::new());
    let (mut sent_up, mut sent_down) = (0, 0);
    let mut to_caller = Vec::new();
    let mut count = 0;
    let mut is_lost = || {
        count += 1;
        count % loss == 0
    };
    let mut buf = vec![0; 4_096];
    for _ in 0..4_000 {
        if caller.socket().can_send() {
            sent_up += caller.socket().send_slice(&data[sent_up..]).unwrap();
        }
        if let WriteState::Accepted(length) = server.write(&data[sent_down..]) {
            sent_down += length;
        }
        to_caller.retain(|_| !is_lost());
        for packet in caller.process(*now, std::mem::take(&mut to_caller)) {
            if !is_lost() {
                server.input(&packet, *now, &mut to_caller);
            }
        }
        while let ReadState::Data(length) = server.read(&mut buf) {
            up.extend_from_slice(&buf[..length]);
        }
        down.extend(caller.read());
        server.poll(*now, &mut to_caller);
        *now += Duration::from_millis(20);
        if up.len() == length && down.len() == length && server.quiet().is_some() {
            break;
        }
    }
    assert!(
        up == data && down == data,
        "{} up, {} down of {length}",
        up.len(),
        down.len()
    );
}

fn move_flow(server: &FlowStack, now: Duration) -> FlowStack {
    let quiet = server.quiet().unwrap();
    let moved = MovedFlow::from(&quiet);
    let quiet = QuietFlow::try_from(&moved).unwrap();
    FlowStack::resume(&quiet, &StackLimits::default(), now).unwrap()
}

#[test]
fn moves_are_transparent_to_the_caller() {
    let timestamps: fn() -> u32 = || 77;
    let table: [(FiveTuple, usize, &[u8], bool); 6] = [
        (tuple(40_000), 4_096, &[], false),
        (tuple_v6(40_000), 4_096, &[], false),
        (tuple(40_000), 1 << 20, &[], false),
        (tuple(40_000), 1 << 20, &[WINDOW_SCALE], false),
        (tuple(40_000), 4_096, &[SACK_PERMITTED], false),
        (tuple(40_000), 1 << 20, &[], true),
    ];
    for (tuple, buffer, removed_options, has_timestamps) in table {
        let mut now = Duration::from_secs(1);
        let mut caller = Caller::connect(&tuple, 1, buffer);
        caller
            .socket()
            .set_tsval_generator(has_timestamps.then_some(timestamps));
        let first = caller.process(now, Vec::new()).remove(0);
        let first = without_options(&first, removed_options);
        let limits = StackLimits::default();
        let mut server = FlowStack::accept(&info(&first), &KEY, &limits, now);
        let mut out = Vec::new();
        server.input(&first, now, &mut out);
        for packet in caller.process(now, out) {
            server.input(&packet, now, &mut Vec::new());
        }
        transfer(&mut caller, &mut server, &mut now, 3_000, 1_000);
        for loss in [1_000, 11, 5] {
            server = move_flow(&server, now);
            transfer(&mut caller, &mut server, &mut now, 50_000, loss);
        }
        server.close();
        exchange(&mut caller, &mut server, &mut now, 4);
        assert_eq!(caller.state(), State::CloseWait);
        caller.socket().close();
        exchange(&mut caller, &mut server, &mut now, 4);
        assert!(!server.is_open());
    }
}

#[test]
fn selective_acknowledgements_are_shifted() {
    let mut tcp = etherparse::TcpHeader::new(40_000, 80, 1, 9);
    tcp.ack = true;
    tcp.acknowledgment_number = 5;
    // Two SACK blocks at an odd offset, one of which wraps around when shifted.
    let blocks = [100, 200, 3, 300u32];
    let mut options = vec![1, 5, 18];
    options.extend(blocks.iter().flat_map(|edge| edge.to_be_bytes()));
    options.push(0);
    tcp.set_options_raw(&options).unwrap();
    for tuple in [tuple(40_000), tuple_v6(40_000)] {
        let plain = packet(&tuple, Flags::default(), 1, b"");
        let (ip, _) = etherparse::IpHeaders::from_slice(&plain).unwrap();
        let mut packet = Vec::new();
        let builder = etherparse::PacketBuilder::ip(ip).tcp_header(tcp.clone());
        builder.write(&mut packet, b"abc").unwrap();
        let shifted = shift_incoming(&packet, 10).unwrap();
        let (ip, rest) = etherparse::IpHeaders::from_slice(&shifted).unwrap();
        let (header, payload) = etherparse::TcpHeader::from_slice(rest.payload).unwrap();
        let edges: Vec<_> = header.options.as_slice()[3..19]
            .chunks(4)
            .map(|edge| u32::from_be_bytes(edge.try_into().unwrap()))
            .collect();
        assert_eq!(edges, blocks.map(|edge| edge.wrapping_sub(10)));
        assert_eq!(header.acknowledgment_number, 5u32.wrapping_sub(10));
        let transport = etherparse::TransportHeader::Tcp(header.clone());
        let mut expected = transport;
        match ip {
            etherparse::IpHeaders::Ipv4(ip, _) => {
                expected.update_checksum_ipv4(&ip, payload).unwrap();
            }
            etherparse::IpHeaders::Ipv6(ip, _) => {
                expected.update_checksum_ipv6(&ip, payload).unwrap();
            }
        }
        assert_eq!(expected, etherparse::TransportHeader::Tcp(header));
        // A damaged packet is rejected, instead of getting a valid checksum.
        *packet.last_mut().unwrap() ^= 1;
        assert_eq!(shift_incoming(&packet, 10), None);
    }
}

#[test]
fn moved_flow_can_be_reset_from_both_sides() {
    let mut now = Duration::from_secs(1);
    let (mut caller, server) = establish(&tuple(40_000), 4_096, &mut now);
    let mut server = move_flow(&server, now);
    server.abort();
    exchange(&mut caller, &mut server, &mut now, 2);
    assert_eq!(caller.state(), State::Closed);
    let (mut caller, server) = establish(&tuple(40_000), 4_096, &mut now);
    let mut server = move_flow(&server, now);
    caller.socket().abort();
    exchange(&mut caller, &mut server, &mut now, 2);
    assert!(!server.is_open());
}

#[test]
fn sequence_numbers_wrap_in_a_moved_flow() {
    let limits = StackLimits::default();
    for (sent, received) in [
        (u32::MAX - 700, 5),
        (5, u32::MAX - 700),
        (u32::MAX, u32::MAX),
        (0, 0),
    ] {
        let mut now = Duration::from_secs(1);
        let server = QuietFlow {
            tuple: tuple(40_000),
            sent,
            received,
            window: 4_096,
            segment: Some(1_460),
            scale: Some(0),
            sack: true,
            receive: 4_096,
        };
        // The other endpoint is resumed as well, with the same sequence numbers.
        let ends = FiveTuple {
            caller: server.tuple.service,
            service: server.tuple.caller,
        };
        let caller = QuietFlow {
            tuple: ends,
            sent: received,
            received: sent,
            ..server
        };
        let mut server = FlowStack::resume(&server, &limits, now).unwrap();
        let mut caller = FlowStack::resume(&caller, &limits, now).unwrap();
        let (mut to_server, mut to_caller) = (Vec::new(), Vec::new());
        let (mut up, mut down) = (0, 0);
        let mut buf = [0; 4_096];
        for round in 0..40 {
            if round < 10 {
                assert_eq!(server.write(&[1; 300]), WriteState::Accepted(300));
                assert_eq!(caller.write(&[2; 300]), WriteState::Accepted(300));
            }
            if round == 5 {
                let quiet = server.quiet();
                assert!(quiet.is_none(), "unsent bytes aren't quiet");
            }
            caller.poll(now, &mut to_server);
            server.poll(now, &mut to_caller);
            for packet in std::mem::take(&mut to_server) {
                server.input(&packet, now, &mut to_caller);
            }
            for packet in std::mem::take(&mut to_caller) {
                caller.input(&packet, now, &mut to_server);
            }
            if let ReadState::Data(length) = server.read(&mut buf) {
                up += length;
            }
            if let ReadState::Data(length) = caller.read(&mut buf) {
                down += length;
            }
            now += Duration::from_millis(20);
        }
        assert_eq!((up, down), (3_000, 3_000));
        let quiet = server.quiet().unwrap();
        assert_eq!(quiet.sent, sent.wrapping_add(3_000));
        assert_eq!(quiet.received, received.wrapping_add(3_000));
    }
}

#[test]
fn busy_flows_are_not_quiet() {
    let mut now = Duration::from_secs(1);
    type Busy = fn(&mut Caller, &mut FlowStack, &mut Duration);
    let table: [(&str, Busy); 4] = [
        ("unread", |caller, server, now| {
            caller.socket().send_slice(b"x").unwrap();
            exchange(caller, server, now, 4);
        }),
        ("unacknowledged", |_, server, now| {
            server.write(b"x");
            server.poll(*now, &mut Vec::new());
        }),
        ("half closed", |caller, server, now| {
            caller.socket().close();
            exchange(caller, server, now, 4);
        }),
        ("gap", |_, server, now| {
            let quiet = server.quiet().unwrap();
            let flags = Flags {
                ack: Some(quiet.sent),
                ..Flags::default()
            };
            let late = packet(&quiet.tuple, flags, quiet.received.wrapping_add(9), b"x");
            server.input(&late, *now, &mut Vec::new());
        }),
    ];
    for (name, busy) in table {
        let (mut caller, mut server) = establish(&tuple(40_000), 4_096, &mut now);
        assert!(server.quiet().is_some(), "{name}");
        busy(&mut caller, &mut server, &mut now);
        assert!(server.quiet().is_none(), "{name}");
    }
    let packet = syn(&tuple(40_000), 1);
    let mut server = FlowStack::accept(&info(&packet), &KEY, &StackLimits::default(), now);
    server.input(&packet, now, &mut Vec::new());
    assert!(server.quiet().is_none(), "handshake");
}
