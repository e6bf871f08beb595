//! Cost of forwarding decisions by the number of agents, compared with a plain hash over them.

use std::hint::black_box;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::agent::{Agent, AgentConfig, View};
use buckthornweir_forward::backend::{ColdBound, Report, ReportState};
use buckthornweir_forward::balancer::Balancer;
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_forward::plan::{Plan, Route, Split};
use buckthornweir_forward::segment::Segment;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};

const SERVICE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(198, 18, 0, 1), 443);
const SIZES: [u16; 4] = [10, 45, 300, 2_800];
const DOMAINS: u16 = 4;

fn peer(index: u16) -> Peer {
    let [high, low] = index.to_be_bytes();
    let ip = Ipv4Addr::new(10, 0, high, low);
    Peer {
        node: u64::from(index) + 1,
        instance: 1,
        packet_addr: SocketAddrV4::new(ip, 7000),
        ask_addr: SocketAddrV4::new(ip, 7100),
        domain: format!("domain-{}", index % DOMAINS).into(),
        service: "desk".into(),
        accepts: true,
        cold: false,
        free: 4,
        weight: 16,
    }
}

fn plan() -> Plan {
    let route = Route {
        splits: vec![Split {
            service: "desk".into(),
            weight: 1,
        }],
        ..Route::default()
    };
    Plan {
        version: 1,
        routes: [(SERVICE, route)].into(),
        ..Plan::default()
    }
}

fn segment(syn: bool) -> Segment {
    Segment {
        source: SocketAddrV4::new(Ipv4Addr::new(100, 64, 0, 7), 40_000),
        target: SERVICE,
        syn,
        fin: false,
        rst: false,
        returned: false,
        sequence: 1,
        acknowledged: 0,
        length: 0,
        tag: 0,
    }
}

fn decisions(c: &mut Criterion) {
    let plan = plan();
    let now = Duration::from_secs(5);
    let mut group = c.benchmark_group("forward");
    for size in SIZES {
        let list: Vec<Peer> = (0..size).map(peer).collect();
        group.bench_with_input(BenchmarkId::new("view", size), &list, |b, list| {
            b.iter(|| Peers::new(list.iter().cloned()));
        });
        let peers = Peers::new(list.iter().cloned());
        let mut balancer = Balancer::new("domain-1");
        for (name, packet) in [("data", segment(false)), ("syn", segment(true))] {
            group.bench_with_input(BenchmarkId::new(name, size), &packet, |b, packet| {
                b.iter(|| balancer.route(now, &plan, &peers, black_box(packet)));
            });
        }
        group.bench_with_input(BenchmarkId::new("plain-hash", size), &list, |b, list| {
            let key = segment(false).caller_flow();
            b.iter(|| list[(black_box(&key).hash() % list.len() as u64) as usize].packet_addr);
        });
    }
    deliver(&mut group, &plan, now);
    group.finish();
}

fn deliver(
    group: &mut criterion::BenchmarkGroup<'_, criterion::measurement::WallTime>,
    plan: &Plan,
    now: Duration,
) {
    let peers = Peers::new((0..10).map(peer));
    let config = AgentConfig {
        node: 1,
        packet_addr: peer(0).packet_addr,
        domain: "domain-0".into(),
        service: "desk".into(),
        cold_bound: ColdBound {
            factor: 1.5,
            slack: 5.0,
        },
        report_period: Duration::from_secs(60),
        started_ms: 0,
    };
    let mut agent = Agent::new(config);
    let report = Report {
        id: "i-1".into(),
        born: 1,
        sequence: 1,
        state: ReportState::Ready,
        cold: Duration::ZERO,
        slots: 5,
    };
    let mut out = Vec::new();
    agent.report(now, report, &mut out);
    let view = View {
        plan,
        peers: &peers,
        grace_elapsed: true,
        peers_synced: true,
    };
    let from = peer(9).packet_addr;
    agent.caller_packet(now, view, from, &segment(true), &[], &mut out);
    group.bench_function("deliver", |b| {
        b.iter(|| {
            out.clear();
            agent.caller_packet(now, view, from, black_box(&segment(true)), &[], &mut out);
        });
    });
}

criterion_group!(benches, decisions);
criterion_main!(benches);
