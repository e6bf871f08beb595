//! Quiet flows that move between agents.

#![allow(clippy::unwrap_used, reason = "a helper of a test may panic")]

mod common;

use std::time::Duration;

use buckthornweir_flows::messages::{FlowBody, MovedFlow, Offer, Taken};
use buckthornweir_flows::moving::MAX_BATCH;
use buckthornweir_flows::prelude::*;
use buckthornweir_flows::stack::shift_incoming;
use common::mesh::*;
use common::*;
use smoltcp::socket::tcp::State;

/// Options that a caller's SYN may lack.
const WINDOW_SCALE: u8 = 3;
const SACK_PERMITTED: u8 = 4;

fn bytes(length: usize) -> Vec<u8> {
    (0..length)
        .map(|index| (index * 7 + index / 251) as u8)
        .collect()
}

/// Replaces options of a packet by padding.
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

/// Sends bytes both ways over a link that loses every `loss`th packet, and checks that they arrive.
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
        for packet in caller.turn(*now, std::mem::take(&mut to_caller)) {
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
fn moved_flow_is_one_connection_for_its_caller() {
    let stamps: fn() -> u32 = || 77;
    let table: [(FiveTuple, usize, &[u8], bool); 6] = [
        (tuple(40_000), 4_096, &[], false),
        (tuple_v6(40_000), 4_096, &[], false),
        (tuple(40_000), 1 << 20, &[], false),
        (tuple(40_000), 1 << 20, &[WINDOW_SCALE], false),
        (tuple(40_000), 4_096, &[SACK_PERMITTED], false),
        (tuple(40_000), 1 << 20, &[], true),
    ];
    for (tuple, buffer, missing, has_stamps) in table {
        let mut now = Duration::from_secs(1);
        let mut caller = Caller::connect(&tuple, 1, buffer);
        caller
            .socket()
            .set_tsval_generator(has_stamps.then_some(stamps));
        let first = caller.turn(now, Vec::new()).remove(0);
        let first = without_options(&first, missing);
        let limits = StackLimits::default();
        let mut server = FlowStack::accept(&info(&first), &KEY, &limits, now);
        let mut out = Vec::new();
        server.input(&first, now, &mut out);
        for packet in caller.turn(now, out) {
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
    // Two blocks of numbers that start at an odd place.
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
        // A damaged packet isn't made whole by a new checksum.
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
        // The other end is resumed as well, so both have these numbers.
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
fn busy_flows_do_not_move() {
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

fn quiet(tuple: &FiveTuple) -> QuietFlow {
    QuietFlow {
        tuple: *tuple,
        sent: 1,
        received: 1,
        window: 4_096,
        segment: None,
        scale: None,
        sack: false,
        receive: 4_096,
    }
}

/// A mesh whose agent 1 drains and has a flow to hand over, which agent 2 is to take.
struct Case {
    mesh: Mesh,
    giver: Giver,
    tuple: FiveTuple,
}

impl Case {
    fn new() -> Self {
        let members = || {
            vec![
                member(1, MemberState::Draining),
                member(2, MemberState::Ready),
            ]
        };
        let mut mesh = Mesh::new(&[1, 2, 3]);
        let tuple = tuple(40_000);
        mesh.establish(1, &tuple);
        mesh.views(|old| *old = view(old.node, members()));
        mesh.agent(3).view = view(
            3,
            [members(), vec![member(3, MemberState::Draining)]].concat(),
        );
        let giver = Giver::new(1, 1);
        Self { mesh, giver, tuple }
    }

    /// Stops the flow and returns the offer.
    fn offer(&mut self) -> Offer {
        let agent = &self.mesh.agents[&1];
        assert!(agent.owner.begin_move(&self.tuple));
        let mut out = Vec::new();
        let flows = vec![quiet(&self.tuple)];
        self.giver
            .offer(&agent.owner, &agent.view, flows, self.mesh.now, &mut out);
        offer_of(&out)
    }

    fn send(&mut self, offer: &Offer) -> Vec<Taken> {
        self.mesh.body(2, FlowBody::Offer(offer.clone()));
        std::mem::take(&mut self.mesh.taken)
    }

    fn answer(&mut self, taken: &Taken) -> Vec<MoveAction> {
        let mut out = Vec::new();
        let agent = &self.mesh.agents[&1];
        self.giver
            .taken(&agent.owner, taken, self.mesh.now, &mut out);
        out
    }

    fn tick(&mut self, after: Duration) -> Vec<MoveAction> {
        self.mesh.now += after;
        let mut out = Vec::new();
        let agent = &self.mesh.agents[&1];
        self.giver
            .tick(&agent.owner, &agent.view, self.mesh.now, &mut out);
        out
    }

    /// Returns which of the agents 1 and 2 own the flow.
    fn owners(&self) -> [bool; 2] {
        [1, 2].map(|node| self.mesh.agents[&node].owner.owns(&self.tuple))
    }

    fn packet(&mut self, node: NodeId) -> String {
        self.mesh.packet(node, &data(&self.tuple, 1, b"x"))
    }
}

fn offer_of(actions: &[MoveAction]) -> Offer {
    match actions {
        [
            MoveAction::Send {
                to: 2,
                body: FlowBody::Offer(offer),
            },
        ] => offer.clone(),
        other => panic!("no offer to agent 2: {other:?}"),
    }
}

#[test]
fn packets_find_a_flow_before_during_and_after_its_move() {
    let mut case = Case::new();
    assert_eq!(case.packet(3), "3:hold hint:1 1:deliver");
    let offer = case.offer();
    // In the middle nobody delivers, and nobody resets. A few packets are held at both ends.
    let middle: Vec<_> = (0..4).map(|_| case.packet(1)).collect();
    assert_eq!(middle, ["1:hold", "1:hold", "1:hold", "1:NotOwner"]);
    assert_eq!(case.packet(2), "2:hold");
    assert_eq!(case.mesh.wait(Duration::from_secs(2)), "");
    assert_eq!(case.mesh.body(2, FlowBody::Offer(offer)), "held");
    let taken = std::mem::take(&mut case.mesh.taken);
    assert_eq!(case.mesh.adopted, [quiet(&case.tuple)]);
    assert_eq!(case.packet(1), "1:NotOwner");
    assert_eq!(case.packet(2), "2:deliver");
    let passed = case.answer(&taken[0]);
    case.mesh.moves(passed);
    assert_eq!(
        case.mesh.wait(Duration::from_millis(10)),
        "2:deliver 2:deliver 2:deliver"
    );
    assert_eq!(case.owners(), [false, true]);
    assert!(case.giver.is_done());
    // Agent 3 still remembers agent 1, which passes the packet on and corrects agent 3.
    assert_eq!(case.packet(3), "2:deliver");
    assert_eq!(case.mesh.hops, 3);
    assert_eq!(case.packet(3), "hint:2 2:deliver");
    assert_eq!(case.mesh.hops, 2);
    assert_eq!(case.packet(1), "2:deliver");
    // The giver leaves.
    case.mesh.agent(1).is_cut = true;
    let left = || {
        vec![
            member(2, MemberState::Ready),
            member(3, MemberState::Draining),
        ]
    };
    case.mesh.agent(3).view = view(3, left());
    let fresh = agent(view(3, left()));
    *case.mesh.agent(3) = fresh;
    assert_eq!(case.packet(3), "3:hold hint:2 2:deliver");
}

#[test]
fn question_that_crosses_a_move_is_answered_by_the_giver() {
    let mut case = Case::new();
    let offer = case.offer();
    // Agent 3 has the denial of agent 2 when the flow moves there.
    assert_eq!(case.packet(3), "3:hold");
    let taken = case.send(&offer);
    case.answer(&taken[0]);
    assert_eq!(case.mesh.wait(Duration::from_secs(2)), "hint:2 2:deliver");
}

#[test]
fn lost_doubled_and_late_offers_start_a_flow_once() {
    let mut case = Case::new();
    let offer = case.offer();
    // The offer is lost, then its answer, then both come twice.
    let again = offer_of(&case.tick(Duration::from_millis(50)));
    assert_eq!(again, offer);
    case.send(&again);
    let third = offer_of(&case.tick(Duration::from_secs(1)));
    let taken = [case.send(&third), case.send(&offer)];
    assert_eq!(taken[0], taken[1]);
    assert_eq!(case.mesh.adopted.len(), 1);
    assert_eq!(case.answer(&taken[0][0]), []);
    assert_eq!(case.answer(&taken[1][0]), []);
    assert_eq!(case.owners(), [false, true]);
    assert_eq!(case.tick(Duration::from_secs(9)), []);
    // The flow ends at the taker. The next offer tells that the first one is settled, so a copy that
    // comes late starts nothing.
    case.mesh.agent(2).owner.closed(&case.tuple);
    case.tuple = tuple(40_001);
    case.mesh.agent(1).owner.adopt(&case.tuple);
    let next = case.offer();
    assert_eq!((next.number, next.floor), (2, 2));
    case.send(&next);
    assert_eq!(case.send(&offer), []);
    assert_eq!(case.mesh.adopted.len(), 2);
}

#[test]
fn flows_that_nobody_takes_go_on_at_the_giver() {
    type Refuse = fn(&mut Case);
    let table: [Refuse; 4] = [
        |case| case.mesh.agent(2).view.state = MemberState::Draining,
        |case| case.mesh.agent(2).view.is_out = true,
        |case| case.mesh.agent(2).view.service.name = "sheets".into(),
        |case| {
            let limits = OwnerLimits::default().with_flows(0);
            case.mesh.agent(2).owner = Ownership::new(2, KEY, 1, limits);
        },
    ];
    for refuse in table {
        let mut case = Case::new();
        refuse(&mut case);
        let offer = case.offer();
        assert_eq!(case.packet(1), "1:hold");
        let taken = case.send(&offer);
        let kept = MoveAction::Keep(quiet(&case.tuple));
        let held = MoveAction::Deliver {
            tuple: case.tuple,
            packet: data(&case.tuple, 1, b"x"),
        };
        assert_eq!(case.answer(&taken[0]), [kept, held]);
        assert_eq!(case.owners(), [true, false]);
        assert_eq!(case.packet(1), "1:deliver");
    }
    // The giver's own record doesn't say yet that it drains.
    let mut case = Case::new();
    case.mesh.agent(1).view = view(1, ready(&[1, 2]));
    let placement = case.mesh.agent(1).view.service.placement();
    let own = (1..)
        .map(tuple)
        .find(|tuple| placement.owner(tuple) == Some(1));
    case.tuple = own.unwrap();
    case.mesh.agent(1).owner.adopt(&case.tuple);
    case.offer();
    // Nobody to offer it to.
    let mut case = Case::new();
    let agent = case.mesh.agent(1);
    agent.view = view(1, vec![member(1, MemberState::Draining)]);
    agent.owner.begin_move(&case.tuple);
    let (mut out, flows) = (Vec::new(), vec![quiet(&case.tuple)]);
    let agent = &case.mesh.agents[&1];
    case.giver
        .offer(&agent.owner, &agent.view, flows, case.mesh.now, &mut out);
    assert_eq!(out, [MoveAction::Keep(quiet(&case.tuple))]);
}

#[test]
fn taker_that_dies_half_way_never_makes_two_owners() {
    // It restarts with nothing and takes the repeated offer anew.
    let mut case = Case::new();
    let offer = case.offer();
    case.send(&offer);
    let view = case.mesh.agent(2).view.clone();
    *case.mesh.agent(2) = agent(view);
    let again = offer_of(&case.tick(Duration::from_secs(1)));
    let taken = case.send(&again);
    case.answer(&taken[0]);
    assert_eq!(case.owners(), [false, true]);
    // It is gone for good: whether it had started the flow is unknown, so the giver doesn't.
    let mut case = Case::new();
    case.offer();
    case.mesh.agent(2).is_cut = true;
    let alone = vec![
        member(1, MemberState::Draining),
        member(3, MemberState::Draining),
    ];
    case.mesh.agent(1).view = mesh::view(1, alone.clone());
    assert_eq!(
        case.tick(Duration::from_secs(1)),
        [MoveAction::Lose(case.tuple)]
    );
    assert_eq!(case.owners(), [false, false]);
    case.mesh.agent(3).view = mesh::view(3, alone);
    assert_eq!(case.packet(3), "3:hold 3:reset");
}

#[test]
fn giver_that_restarts_does_not_repeat_old_offers() {
    let mut case = Case::new();
    let old = case.offer();
    case.giver = Giver::new(1, 2);
    case.mesh.agent(1).owner = Ownership::new(1, KEY, 2, OwnerLimits::default());
    case.mesh.agent(1).owner.adopt(&case.tuple);
    let new = case.offer();
    let taken = case.send(&new);
    case.mesh.agent(2).owner.closed(&case.tuple);
    assert_eq!(case.send(&old), []);
    assert_eq!(case.mesh.adopted.len(), 1);
    let stale = Taken {
        incarnation: 1,
        ..taken[0].clone()
    };
    case.answer(&stale);
    assert!(!case.giver.is_done());
}

#[test]
fn flow_that_never_becomes_quiet_stays_until_the_time_limit() {
    let mut case = Case::new();
    let agent = case.mesh.agent(1);
    assert!(agent.owner.begin_move(&case.tuple));
    assert_eq!(case.packet(1), "1:hold");
    let owner = &case.mesh.agents[&1].owner;
    let held = owner.take_held(&case.tuple);
    assert_eq!(held, [forward(&data(&case.tuple, 1, b"x"))]);
    owner.end_move(&case.tuple);
    assert_eq!(case.packet(1), "1:deliver");
    let mut out = Vec::new();
    case.mesh.agent(1).owner.give_up(&mut out);
    assert_eq!(out, [Action::GiveUp(case.tuple)]);
}

#[test]
fn bad_offers_are_refused() {
    let case = Case::new();
    let good = MovedFlow::from(&quiet(&case.tuple));
    type Change = fn(&mut MovedFlow);
    let table: [(Change, &str); 6] = [
        (|flow| flow.flow = None, "message has no flow"),
        (|flow| flow.receive = 0, "receive buffer is out of range"),
        (
            |flow| flow.receive = u32::MAX,
            "receive buffer is out of range",
        ),
        (|flow| flow.window = 1 << 16, "window is out of range"),
        (|flow| flow.scale = Some(15), "window scale is out of range"),
        (
            |flow| flow.segment = Some(1 << 16),
            "segment is out of range",
        ),
    ];
    for (change, expected) in table {
        let mut flow = good.clone();
        change(&mut flow);
        assert_eq!(
            QuietFlow::try_from(&flow).unwrap_err().to_string(),
            expected
        );
    }
    let agent = &case.mesh.agents[&2];
    let offer = Offer {
        flows: vec![good; MAX_BATCH + 1],
        ..Offer::default()
    };
    let outcome = Taker::new(2).offer(&agent.owner, &agent.view, &offer, &mut Vec::new());
    assert_eq!(
        outcome.unwrap_err().to_string(),
        "number of flows is out of range"
    );
}
