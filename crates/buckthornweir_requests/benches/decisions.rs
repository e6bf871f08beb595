//! Benchmarks of single decisions.

use std::hint::black_box;
use std::time::Duration;

use buckthornweir_requests::idempotency::{KeyAction, Keys, KeysConfig, Member};
use buckthornweir_requests::messages::KeyEnd;
use buckthornweir_requests::prelude::*;
use criterion::{Criterion, criterion_group, criterion_main};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn admission(siblings: u64) -> Admission {
    let limit = LimitConfig::default().with_cold(5);
    let config = AdmissionConfig::default().with_limit(limit);
    let mut admission = Admission::new(config, 7, ms(0));
    let all: Vec<_> = (1..=siblings)
        .map(|node| Sibling::new(node, "a").with_free(3).with_rate(50.0))
        .collect();
    admission.set_siblings(&all);
    admission
}

fn arrival(now: Duration) -> Arrival {
    Arrival {
        deadline: now + ms(2_000),
        repeatable: false,
        flow: 1,
    }
}

fn decisions(c: &mut Criterion) {
    c.bench_function("arrive, run and finish", |b| {
        let mut admission = admission(0);
        let mut now = ms(0);
        b.iter(|| {
            now += ms(10);
            let (request, actions) = admission.arrive(now, arrival(now));
            black_box(actions);
            let end = (Progress::AnswerWhole, Outcome::Done);
            black_box(admission.finished(now + ms(5), request, end.0, end.1, ms(5)));
        });
    });
    for siblings in [6, 300] {
        c.bench_function(&format!("hand over, {siblings} siblings"), |b| {
            let mut admission = admission(siblings);
            for flow in 0..5 {
                let arrival = Arrival {
                    deadline: ms(u64::MAX / 2_000),
                    repeatable: false,
                    flow,
                };
                let _ = admission.arrive(ms(0), arrival);
            }
            let mut now = ms(0);
            b.iter(|| {
                now += ms(10);
                let (request, actions) = admission.arrive(now, arrival(now));
                let Action::AskSibling { sibling, .. } = actions[0] else {
                    panic!("{actions:?}")
                };
                black_box(admission.reservation_granted(now, request, sibling, 1));
                let end = (Progress::AnswerWhole, Outcome::Done);
                black_box(admission.finished(now, request, end.0, end.1, ms(5)));
            });
        });
    }
    c.bench_function("reserve, use and finish for a sibling", |b| {
        let mut admission = admission(6);
        let mut now = ms(0);
        let mut token = 0;
        b.iter(|| {
            now += ms(10);
            token += 1;
            let actions = admission.reservation_requested(now, 2, token, now + ms(100));
            let Action::Grant { reservation, .. } = actions[0] else {
                panic!("{actions:?}")
            };
            let (request, _) = admission.reservation_used(now, 2, reservation, arrival(now));
            let end = (Progress::AnswerWhole, Outcome::Done);
            let Some(request) = request else {
                panic!("no request")
            };
            black_box(admission.finished(now, request, end.0, end.1, ms(5)));
        });
    });
}

fn keys(c: &mut Criterion) {
    let config = KeysConfig {
        settle_delay: ms(0),
        ..KeysConfig::default()
    };
    let start = |node: u64| {
        let member = Member::new(node, format!("{node}"));
        let mut keys = Keys::new(member, config.clone(), node, ms(0));
        let others = (1..=7).filter(|other| *other != node);
        let others: Vec<_> = others.map(|n| Member::new(n, format!("{n}"))).collect();
        let _ = keys.set_members(ms(0), &others);
        keys.found_service(ms(0));
        keys
    };
    c.bench_function(
        "claim, grant by three holders, run and end, 7 members",
        |b| {
            let mut agents: Vec<_> = (1..=7).map(start).collect();
            let mut number = 0u64;
            b.iter(|| {
                number += 1;
                // Time advances so that old records expire.
                let now = ms(1) * u32::try_from(number).unwrap_or(u32::MAX) * 20;
                let key = number.to_be_bytes();
                let (claim, actions) = agents[0].claim(now, &key, 1, now + ms(1_000));
                let runs = deliver_all(&mut agents, now, actions);
                assert_eq!(runs, 1);
                let ended = agents[0].finished(now, claim, KeyEnd::Done, None);
                deliver_all(&mut agents, now, ended);
                for agent in &mut agents {
                    black_box(agent.tick(now));
                }
            });
        },
    );
}

/// Delivers messages until none is pending; returns the number of requests that may run.
fn deliver_all(agents: &mut [Keys], now: Duration, actions: Vec<KeyAction>) -> usize {
    let mut pending: Vec<_> = actions.into_iter().map(|action| (1, action)).collect();
    let mut runs = 0;
    while let Some((from, action)) = pending.pop() {
        match action {
            KeyAction::Send { to, body } => {
                let answers = agents[to as usize - 1].received(now, from, body);
                pending.extend(answers.into_iter().map(|action| (to, action)));
            }
            KeyAction::Run { .. } => runs += 1,
            _ => {}
        }
    }
    runs
}

criterion_group!(benches, decisions, keys);
criterion_main!(benches);
