//! Members, views and packets for the benchmarks.

#![allow(dead_code, reason = "each bench uses some of the helpers")]
#![allow(clippy::unwrap_used, reason = "a bench may panic")]

use std::collections::BTreeSet;
use std::net::SocketAddr;

use buckthornweir_flows::messages::Forward;
use buckthornweir_flows::prelude::*;
use etherparse::PacketBuilder;

pub(crate) const KEY: [u8; 16] = [7; 16];

pub(crate) fn tuple(number: u32) -> FiveTuple {
    let [a, b, c, _] = (number / 50_000).to_be_bytes();
    let port = (number % 50_000) as u16 + 10_000;
    let caller = [
        10,
        a.wrapping_add(b),
        c.wrapping_add(1),
        number.to_be_bytes()[3] | 1,
    ];
    let caller = if number < 50_000 {
        [192, 0, 2, 1]
    } else {
        caller
    };
    FiveTuple {
        caller: SocketAddr::from((caller, port)),
        service: SocketAddr::from(([198, 51, 100, 1], 80)),
    }
}

pub(crate) fn member(node: NodeId) -> Member {
    Member {
        node,
        address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        domain: "domain".into(),
        state: MemberState::Ready,
        weight: 16,
    }
}

pub(crate) fn candidates(nodes: impl IntoIterator<Item = NodeId>) -> Vec<Candidate> {
    let nodes = nodes.into_iter();
    nodes.map(|node| Candidate { node, weight: 16 }).collect()
}

pub(crate) fn service(nodes: impl IntoIterator<Item = NodeId>) -> ServiceView {
    let members = nodes.into_iter().map(member).collect();
    let addresses = vec![tuple(0).service];
    ServiceView::new("orders".into(), addresses, members, &BTreeSet::new(), KEY)
}

pub(crate) fn view(node: NodeId, service: ServiceView) -> AgentView {
    AgentView {
        node,
        version: 1,
        state: MemberState::Ready,
        is_out: false,
        is_settled: true,
        service,
        others: Vec::new(),
    }
}

pub(crate) fn packet(tuple: &FiveTuple, is_syn: bool, payload: &[u8]) -> Vec<u8> {
    let (SocketAddr::V4(caller), SocketAddr::V4(service)) = (tuple.caller, tuple.service) else {
        return Vec::new();
    };
    let ip = PacketBuilder::ipv4(caller.ip().octets(), service.ip().octets(), 64);
    let tcp = ip.tcp(caller.port(), service.port(), 1, 8_192);
    let tcp = if is_syn { tcp.syn() } else { tcp.ack(1) };
    let mut bytes = Vec::new();
    tcp.write(&mut bytes, payload).unwrap();
    bytes
}

pub(crate) fn forward(packet: &[u8]) -> Forward {
    Forward {
        service: "orders".into(),
        bundle_version: 1,
        hops: 0,
        balancer: 1_000_000,
        packet: packet.to_vec(),
        sender: 0,
    }
}
