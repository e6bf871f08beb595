//! Time of single decisions and stack operations, with modulo hashing as the baseline.

#![allow(clippy::unwrap_used, reason = "a bench may panic")]

mod common;

use std::hash::{BuildHasher, RandomState};
use std::hint::black_box;
use std::time::Duration;

use buckthornweir_flows::balancer::HintLimits;
use buckthornweir_flows::messages::{FlowKey, Hint};
use buckthornweir_flows::prelude::*;
use common::{KEY, candidates, forward, packet, service, tuple, view};
use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};

const NOW: Duration = Duration::from_secs(1);

/// Number of flows whose packets are used in turn.
const FLOWS: u32 = 10_000;

fn packets() -> Vec<Vec<u8>> {
    (0..FLOWS)
        .map(|number| packet(&tuple(number), false, &[0; 64]))
        .collect()
}

fn balancer(criterion: &mut Criterion) {
    let packets = packets();
    let mut group = criterion.benchmark_group("balancer");
    group.throughput(Throughput::Elements(1));
    for members in [3, 7, 300] {
        let nodes: Vec<NodeId> = (1..=members).collect();
        let hasher = RandomState::new();
        let mut packet_cycle = packets.iter().cycle();
        group.bench_function(BenchmarkId::new("hash-modulo", members), |bencher| {
            bencher.iter(|| {
                let info = parse(packet_cycle.next().unwrap()).unwrap();
                black_box(nodes[hasher.hash_one(info.tuple) as usize % nodes.len()])
            });
        });
        let balancer = Balancer::new(KEY, &HintLimits::default());
        let view = BalancerView::new(1, vec![service(1..=members)]);
        let mut packet_cycle = packets.iter().cycle();
        group.bench_function(BenchmarkId::new("route", members), |bencher| {
            bencher.iter(|| {
                let info = parse(packet_cycle.next().unwrap()).unwrap();
                black_box(balancer.route(&view, &info, NOW))
            });
        });
        for number in 0..FLOWS {
            let hint = Hint {
                flow: Some(FlowKey::from(&tuple(number))),
                owner: 1,
                ..Hint::default()
            };
            balancer.hint(&hint, NOW).unwrap();
        }
        let mut packet_cycle = packets.iter().cycle();
        group.bench_function(BenchmarkId::new("route by hint", members), |bencher| {
            bencher.iter(|| {
                let info = parse(packet_cycle.next().unwrap()).unwrap();
                black_box(balancer.route(&view, &info, NOW))
            });
        });
    }
    group.finish();
}

fn agent(criterion: &mut Criterion) {
    let ownership = Ownership::new(1, KEY, 1, OwnerLimits::default());
    let view = view(1, service(1..=7));
    let mut forwards = Vec::new();
    for packet in packets() {
        let forward = forward(&packet);
        let info = parse(&packet).unwrap();
        ownership.adopt(&info.tuple);
        forwards.push((forward, info));
    }
    let mut out = Vec::new();
    let mut packet_cycle = forwards.iter().cycle();
    let mut group = criterion.benchmark_group("agent");
    group.throughput(Throughput::Elements(1));
    group.bench_function("deliver", |bencher| {
        bencher.iter(|| {
            let (forward, info) = packet_cycle.next().unwrap();
            out.clear();
            ownership.packet(&view, forward, info, NOW, &mut out);
            black_box(&out);
        });
    });
    group.finish();
}

/// Measures the tick of an agent with 1,000 lookups, of which none has been answered.
fn tick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("tick");
    for members in [7, 300] {
        let ownership = Ownership::new(1, KEY, 1, OwnerLimits::default());
        let view = view(1, service(1..=members));
        let mut out = Vec::new();
        for packet in packets().iter().take(1_000) {
            let info = parse(packet).unwrap();
            ownership.packet(&view, &forward(packet), &info, NOW, &mut out);
        }
        group.bench_function(BenchmarkId::new("1000 searches", members), |bencher| {
            bencher.iter(|| {
                out.clear();
                black_box(ownership.tick(&view, NOW, &mut out))
            });
        });
    }
    group.finish();
}

fn stack(criterion: &mut Criterion) {
    let limits = StackLimits::default();
    let syn = packet(&tuple(1), true, &[]);
    let info = parse(&syn).unwrap();
    let mut out = Vec::new();
    let mut group = criterion.benchmark_group("stack");
    group.bench_function("accept and answer a SYN", |bencher| {
        bencher.iter(|| {
            out.clear();
            let mut stack = FlowStack::accept(&info, &KEY, &limits, NOW);
            stack.input(&syn, NOW, &mut out);
            black_box(&out);
        });
    });
    let quiet = QuietFlow {
        tuple: info.tuple,
        sent: 1,
        received: 1,
        window: 8_192,
        segment: Some(1_460),
        scale: Some(0),
        sack: true,
        receive: 4_096,
    };
    group.bench_function("resume a quiet flow", |bencher| {
        bencher.iter(|| black_box(FlowStack::resume(&quiet, &limits, NOW)));
    });
    group.finish();
}

fn table(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("table");
    for members in [3, 30, 300] {
        let candidates = candidates(1..=members);
        group.bench_function(BenchmarkId::new("rebuild", members), |bencher| {
            bencher.iter(|| black_box(Placement::new(KEY, &candidates)));
        });
    }
    group.finish();
}

fn short() -> Criterion {
    Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(500))
        .measurement_time(Duration::from_secs(1))
}

criterion_group! {
    name = benches;
    config = short();
    targets = balancer, agent, tick, stack, table
}
criterion_main!(benches);
