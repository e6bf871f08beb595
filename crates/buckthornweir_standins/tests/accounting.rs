//! The counts that result from the records of callers and of backend servers.

use std::fmt::Write;
use std::time::Duration;

use buckthornweir_standins::{
    BackendLog, BackendRecord, CallerRecord, End, Outcome, Traits, tally,
};
use expect_test::expect;
use http::StatusCode;

fn record(id: &str, end: End) -> BackendRecord {
    BackendRecord {
        request_id: id.into(),
        idempotency_key: None,
        method: "POST".into(),
        path: "/".into(),
        started: Duration::ZERO,
        ended: None,
        end,
        concurrent: 1,
        cold: false,
    }
}

fn answered(service: &str, id: &str) -> Outcome {
    Outcome::Answered {
        service: service.into(),
        request_id: id.into(),
    }
}

/// A name, the caller's outcome, whether the request is repeatable, and the services that recorded it.
type Case = (&'static str, Outcome, bool, Vec<(&'static str, End)>);

#[test]
fn tally_counts_each_case_in_its_own_field() {
    let gateway = Outcome::Unknown(StatusCode::BAD_GATEWAY);
    let (orders, sheets) = ("orders", "sheets");
    let (done, refused, cut) = (End::Done, End::Refused, End::Cut);
    let cases: Vec<Case> = vec![
        (
            "answered",
            answered(orders, "a"),
            false,
            vec![(orders, done)],
        ),
        (
            "answered after a refusal",
            answered(orders, "a"),
            false,
            vec![(orders, refused), (orders, done)],
        ),
        (
            "repeated",
            answered(orders, "a"),
            true,
            vec![(orders, cut), (orders, done)],
        ),
        (
            "doubled",
            answered(orders, "a"),
            false,
            vec![(orders, cut), (orders, done)],
        ),
        (
            "doubled unseen",
            gateway.clone(),
            false,
            vec![(orders, cut), (orders, cut)],
        ),
        ("unfounded", answered(orders, "a"), false, vec![]),
        (
            "crossed",
            answered(orders, "b"),
            false,
            vec![(orders, done)],
        ),
        (
            "answer of another service",
            answered(sheets, "a"),
            false,
            vec![(orders, done)],
        ),
        (
            "run at another service",
            answered(orders, "a"),
            false,
            vec![(sheets, done)],
        ),
        ("refused", Outcome::NotRun, false, vec![(orders, refused)]),
        (
            "refused falsely",
            Outcome::NotRun,
            false,
            vec![(orders, cut)],
        ),
        ("unknown", gateway, false, vec![(orders, cut)]),
        ("short", Outcome::Short, false, vec![(orders, cut)]),
        ("unsent", Outcome::Unsent, false, vec![]),
        ("broken", Outcome::Broken, false, vec![]),
        ("timed out", Outcome::TimedOut, false, vec![]),
        (
            "strange",
            Outcome::Strange(StatusCode::OK),
            false,
            vec![(orders, done)],
        ),
    ];
    let mut table = String::new();
    for (case, outcome, repeatable, runs) in cases {
        let request = CallerRecord {
            request_id: "a".into(),
            service: orders.into(),
            traits: Traits { repeatable },
            outcome,
        };
        let logs: Vec<_> = runs
            .into_iter()
            .map(|(service, end)| BackendLog {
                backend: "b".into(),
                service: service.into(),
                entries: vec![record("a", end)],
            })
            .collect();
        let counts = format!("{:?}", tally(&[request], &logs));
        let counts: Vec<_> = counts
            .trim_start_matches("Tally {")
            .split(',')
            .map(|count| count.trim_matches([' ', '}']))
            .filter(|count| !count.ends_with(": 0"))
            .collect();
        writeln!(table, "{case}: {}", counts.join(", ")).expect("writing to a String can't fail");
    }
    expect![[r#"
        answered: sent: 1, answered: 1
        answered after a refusal: sent: 1, answered: 1
        repeated: sent: 1, answered: 1, repeated: 1
        doubled: sent: 1, answered: 1, doubled: 1
        doubled unseen: sent: 1, unknown: 1, doubled: 1
        unfounded: sent: 1, unfounded: 1
        crossed: sent: 1, crossed: 1
        answer of another service: sent: 1, wrong_service: 1
        run at another service: sent: 1, answered: 1, wrong_service: 1
        refused: sent: 1, refused: 1
        refused falsely: sent: 1, false_refusals: 1
        unknown: sent: 1, unknown: 1
        short: sent: 1, lost: 1, short: 1
        unsent: sent: 1, unsent: 1
        broken: sent: 1, lost: 1
        timed out: sent: 1, lost: 1
        strange: sent: 1, unfounded: 1
    "#]]
    .assert_eq(&table);
}
