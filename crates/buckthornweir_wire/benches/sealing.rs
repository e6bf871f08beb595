//! Measures the cost of authenticating a packet between a balancer and an agent, against that of
//! encoding and decoding alone.

#![allow(
    missing_docs,
    reason = "criterion's macros generate undocumented public items"
)]

use std::hint::black_box;

use buckthornweir_flows::messages::{FlowBody, FlowMessage, Forward};
use buckthornweir_wire::prelude::*;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use prost::Message;

/// Returns a forwarded packet of `length` bytes.
fn forwarded(length: usize) -> Envelope {
    let forward = Forward {
        service: "orders".into(),
        bundle_version: 1_000,
        hops: 0,
        balancer: u64::MAX,
        packet: vec![0x45; length],
        sender: 0,
    };
    let body = Some(FlowBody::Forward(forward));
    Envelope::new(u64::MAX, Body::Flow(FlowMessage { body }))
}

fn sealing(c: &mut Criterion) {
    let key = ClusterKey::new([7; 32]);
    let mut group = c.benchmark_group("packet");
    for length in [64, 576, 1_400] {
        let envelope = forwarded(length);
        let datagram = seal(&key, &envelope);
        let plain = envelope.encode_to_vec();
        println!(
            "{length} bytes: {} encoded, {} sealed",
            plain.len(),
            datagram.len()
        );
        group.bench_function(BenchmarkId::new("encode+decode", length), |b| {
            b.iter(|| Envelope::decode(&black_box(&envelope).encode_to_vec()[..]));
        });
        group.bench_function(BenchmarkId::new("seal+open", length), |b| {
            b.iter(|| open(&key, &seal(&key, black_box(&envelope))));
        });
    }
    group.finish();
}

criterion_group!(benches, sealing);
criterion_main!(benches);
