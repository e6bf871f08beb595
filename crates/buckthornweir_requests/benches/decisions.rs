//! Time of single decisions.

use std::hint::black_box;
use std::time::Duration;

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
                black_box(admission.reserved(now, request, sibling, 1));
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
            let actions = admission.reserve_asked(now, 2, token, now + ms(100));
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

criterion_group!(benches, decisions);
criterion_main!(benches);
