//! Parsing of packets, and construction of resets.

mod common;

use buckthornweir_flows::packet::{PacketError, parse, reset_for};
use common::*;
use expect_test::expect;

#[test]
fn valid_packets_are_parsed() {
    for tuple in [tuple(40_000), tuple_v6(40_000)] {
        let flags = Flags {
            ack: Some(9),
            fin: true,
            ..Flags::default()
        };
        let packet = info(&packet(&tuple, flags, 77, b"abc"));
        assert_eq!(packet.tuple, tuple);
        assert_eq!((packet.seq, packet.ack_number, packet.payload), (77, 9, 3));
        assert!(packet.ack && packet.fin && !packet.syn && !packet.rst);
        assert!(!packet.starts_flow());
    }
}

#[test]
fn invalid_packets_are_rejected() {
    let good = syn(&tuple(40_000), 1);
    let changed = |change: fn(&mut Vec<u8>)| {
        let mut packet = good.clone();
        change(&mut packet);
        parse(&packet).unwrap_err().to_string()
    };
    let table = [
        ("empty", changed(Vec::clear)),
        ("version", changed(|packet| packet[0] = 0x55)),
        ("header length", changed(|packet| packet[0] = 0x41)),
        ("total length", changed(|packet| packet[3] = 200)),
        ("truncated", changed(|packet| packet.truncate(30))),
        ("fragment", changed(|packet| packet[6] = 0x20)),
        ("udp", changed(|packet| packet[9] = 17)),
        ("data offset", changed(|packet| packet[32] = 0x10)),
        ("long offset", changed(|packet| packet[32] = 0xf0)),
        ("port", changed(|packet| packet[20..22].fill(0))),
        ("source", changed(|packet| packet[12..16].fill(0))),
        ("multicast", changed(|packet| packet[12] = 224)),
    ];
    let lines: String = table
        .iter()
        .map(|(name, error)| format!("{name}: {error}\n"))
        .collect();
    expect![[r#"
        empty: bad IP header: IP Header Error: Not enough data to decode 'IP header'. 1 byte(s) would be required, but only 0 byte(s) are available based on the slice length.
        version: bad IP header: IP Header Error: Encountered '5' as IP version number in the IP header (only '4' or '6' are supported).
        header length: bad IP header: IPv4 Header Error: The 'internet header length' value '1' present in the IPv4 header is smaller than the minimum size of an IPv4 header. The minimum allowed value is '5'.
        total length: bad IP header: IPv4 Packet Error: Not enough data to decode 'IPv4 packet'. 200 byte(s) would be required, but only 40 byte(s) are available based on the slice length.
        truncated: bad IP header: IPv4 Packet Error: Not enough data to decode 'IPv4 packet'. 40 byte(s) would be required, but only 30 byte(s) are available based on the slice length.
        fragment: packet is a fragment
        udp: protocol 17 is not TCP
        data offset: bad TCP header: TCP Header Error: 'data offset' too small (1). The 'data offset' must be at least 5 so the data is not overlapping with the TCP header itself.
        long offset: bad TCP header: TCP Header Error: Not enough data to decode 'TCP header'. 60 byte(s) would be required, but only 20 byte(s) are available based on the slice length.
        port: packet has an address or port that can't be an end of a flow
        source: packet has an address or port that can't be an end of a flow
        multicast: packet has an address or port that can't be an end of a flow
    "#]].assert_eq(&lines);
}

#[test]
fn reset_follows_rfc_9293() {
    let ack = |number| Flags {
        ack: Some(number),
        ..Flags::default()
    };
    let table = [
        (ack(500), 10, 3, (500, false, 0)),
        (
            Flags {
                syn: true,
                ..Flags::default()
            },
            10,
            0,
            (0, true, 11),
        ),
        (
            Flags {
                fin: true,
                ..Flags::default()
            },
            10,
            5,
            (0, true, 16),
        ),
        (Flags::default(), u32::MAX, 2, (0, true, 1)),
    ];
    for tuple in [tuple(40_000), tuple_v6(40_000)] {
        for (flags, seq, length, expected) in table {
            let caller = info(&packet(&tuple, flags, seq, &vec![0; length]));
            let bytes = reset_for(&caller);
            let reset = info(&bytes);
            assert!(reset.rst);
            assert_eq!(
                (reset.tuple.caller, reset.tuple.service),
                (tuple.service, tuple.caller)
            );
            assert_eq!((reset.seq, reset.ack, reset.ack_number), expected);
        }
        let rst = Flags {
            rst: true,
            ..Flags::default()
        };
        assert!(reset_for(&info(&packet(&tuple, rst, 1, &[]))).is_empty());
    }
}

#[test]
fn reset_is_accepted_by_a_caller() {
    let tuple = tuple(40_000);
    let mut caller = Caller::connect(&tuple, 1, 2_048);
    let first = caller.process(std::time::Duration::ZERO, Vec::new());
    caller.process(std::time::Duration::ZERO, vec![reset_for(&info(&first[0]))]);
    assert_eq!(caller.state(), smoltcp::socket::tcp::State::Closed);
}

#[test]
fn fragment_is_reported_with_its_error_type() {
    let mut fragment = syn(&tuple(40_000), 1);
    fragment[6] = 0x20;
    assert_eq!(parse(&fragment), Err(PacketError::Fragment));
}
