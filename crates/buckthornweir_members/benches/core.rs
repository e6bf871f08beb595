//! Measures single calls of the membership core.

#[allow(
    dead_code,
    reason = "the membership tests use the rest of the simulation"
)]
#[path = "../tests/members/simulation.rs"]
mod simulation;

use std::hint::black_box;
use std::time::Duration;

use buckthornweir_members::messages::Body;
use buckthornweir_members::prelude::*;
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use simulation::{Simulation, address, record, seconds};

fn ping() -> Message {
    let mut sender = Members::new(Config::default(), record(9_999, 7), vec![address(1)], 1);
    let sent = sender
        .tick(seconds(1.0))
        .into_iter()
        .find_map(|action| match action {
            Action::Send { message, .. } => Some(message),
            _ => None,
        });
    let mut message = sent.expect("a process without members introduces itself to its seed");
    message.body = Body::Ping { sequence: 1 };
    message
}

fn calls(criterion: &mut Criterion) {
    let bytes = ping().encode();
    criterion.bench_function("decode a ping with one full record", |bencher| {
        bencher.iter(|| Message::decode(black_box(&bytes)));
    });
    criterion.bench_function("encode a ping with one full record", |bencher| {
        let message = ping();
        bencher.iter(|| black_box(&message).encode());
    });
    let mut sim = Simulation::filled(200, 1);
    sim.run(seconds(30.0));
    let mut process = sim.kill(1).expect("the process runs");
    let mut now = seconds(30.0);
    criterion.bench_function("handle a ping among 200 members", |bencher| {
        let message = ping();
        bencher.iter_batched(
            || message.clone(),
            |message| {
                now += Duration::from_millis(10);
                process.members.handle(now, address(9_999), message)
            },
            BatchSize::SmallInput,
        );
    });
}

criterion_group!(benches, calls);
criterion_main!(benches);
