//! Tests of the comparison of two reports.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use buckthornweir_load::{Report, Verdict, compare};
use expect_test::expect;
use serde_json::{Value, json};

/// The relative increase above which a measure counts as worse.
const SHARE: f64 = 0.1;

/// Returns the lines of a sample report.
fn lines() -> Value {
    json!([
        {"kind": "run", "scenario": "made-up", "seed": 1, "seconds": 60.0, "window": 1.0},
        {"kind": "event", "what": "push"},
        {"kind": "domain", "domain": "gulberg", "out": 10.0, "back": 20.0, "last_run": 0.1,
         "first_run": 0.2, "sent": 1000, "answered": 990, "broken": 40, "broken_return": 0},
        {"kind": "service", "service": "orders",
         "outcomes": {"sent": 2000, "answered": 1900, "refused": 80, "unknown": 10, "lost": 10,
                      "short": 0, "doubled": 0, "doubled_key": 0, "repeated": 3,
                      "wrong_service": 0, "crossed": 0, "false_refusals": 0, "unfounded": 0},
         "problems": {}, "refusals": {"The queue is full": 80},
         "flows": {"opened": 200, "broken": 20, "closed": 0, "abandoned": 0, "not_opened": 0},
         "latency": {"p50": 30.0, "p90": 60.0, "p99": 90.0, "p999": 95.0, "max": 99.0},
         "busy": [{"length": 60, "taken": 55, "ran": 900,
                   "imbalance": {"at": 5.0, "most": 110, "mean": 100.0, "ratio": 1.1}}],
         "cold": {"bears": 1, "most": 1, "fell_over": 0}},
    ])
}

fn text(lines: &Value) -> String {
    let lines = lines.as_array().unwrap().iter();
    lines.map(|line| format!("{line}\n")).collect()
}

fn report(lines: &Value) -> Report {
    Report::parse("made-up.jsonl", &text(lines)).unwrap()
}

/// Returns the lines of the sample report with the value at `pointer` replaced.
fn lines_with(pointer: &str, value: Value) -> Value {
    let mut lines = lines();
    *lines.pointer_mut(pointer).unwrap() = value;
    lines
}

#[test]
fn comparison_lists_all_measures() {
    let comparison = compare(&report(&lines()), &report(&lines()), SHARE).unwrap();
    assert_eq!(comparison.worse(), 0);
    expect![[r#"
        ┌─────────────────────┬───────────────────────────────────┬─────────┬─────────┬───┐
        │ of                  ┆ measure                           ┆  before ┆   after ┆   │
        ╞═════════════════════╪═══════════════════════════════════╪═════════╪═════════╪═══╡
        │ orders              ┆ broken flows                      ┆ 10.00 % ┆ 10.00 % ┆   │
        │ orders              ┆ abandoned flows                   ┆  0.00 % ┆  0.00 % ┆   │
        │ orders              ┆ flows not opened                  ┆  0.00 % ┆  0.00 % ┆   │
        │ orders              ┆ not answered                      ┆  5.00 % ┆  5.00 % ┆   │
        │ orders              ┆ lost                              ┆  0.50 % ┆  0.50 % ┆   │
        │ orders              ┆ unknown                           ┆  0.50 % ┆  0.50 % ┆   │
        │ orders              ┆ refused                           ┆  4.00 % ┆  4.00 % ┆   │
        │ orders              ┆ doubled                           ┆       0 ┆       0 ┆   │
        │ orders              ┆ crossed                           ┆       0 ┆       0 ┆   │
        │ orders              ┆ wrong service                     ┆       0 ┆       0 ┆   │
        │ orders              ┆ false refusals                    ┆       0 ┆       0 ┆   │
        │ orders              ┆ unfounded                         ┆       0 ┆       0 ┆   │
        │ orders              ┆ refused: The queue is full        ┆  4.00 % ┆  4.00 % ┆   │
        │ orders              ┆ imbalance, busiest 60 s           ┆    1.10 ┆    1.10 ┆   │
        │ orders              ┆ most beyond what a cold one bears ┆       0 ┆       0 ┆   │
        │ orders              ┆ fell over                         ┆       0 ┆       0 ┆   │
        │ orders              ┆ p50                               ┆ 30.0 ms ┆ 30.0 ms ┆   │
        │ orders              ┆ p99                               ┆ 90.0 ms ┆ 90.0 ms ┆   │
        │ gulberg out, time 1 ┆ not answered                      ┆  1.00 % ┆  1.00 % ┆   │
        │ gulberg out, time 1 ┆ broken flows                      ┆      40 ┆      40 ┆   │
        │ gulberg out, time 1 ┆ broken after back                 ┆       0 ┆       0 ┆   │
        │ gulberg out, time 1 ┆ last request after out            ┆  0.10 s ┆  0.10 s ┆   │
        │ gulberg out, time 1 ┆ first request after back          ┆  0.20 s ┆  0.20 s ┆   │
        └─────────────────────┴───────────────────────────────────┴─────────┴─────────┴───┘
        0 measures got worse"#]]
    .assert_eq(&comparison.to_string());
}

#[test]
fn changes_beyond_the_share_are_reported() {
    let cases = [
        ("/3/flows/broken", json!(22)),
        ("/3/flows/broken", json!(23)),
        ("/3/flows/broken", json!(18)),
        ("/3/flows/opened", json!(400)),
        ("/3/outcomes/doubled", json!(1)),
        ("/3/outcomes/crossed", json!(1)),
        ("/3/outcomes/answered", json!(1880)),
        (
            "/3/refusals",
            json!({"The queue is full": 60, "Draining": 20}),
        ),
        ("/3/refusals", json!({})),
        ("/3/busy/0/imbalance/ratio", json!(1.22)),
        ("/3/busy/0/imbalance/mean", json!(0.0)),
        ("/3/cold/most", json!(0)),
        ("/3/cold/most", json!(2)),
        ("/3/latency/p99", json!(80.0)),
        ("/2/first_run", json!(null)),
        ("/2/last_run", json!(null)),
        ("/2/answered", json!(980)),
    ];
    let mut text = String::new();
    for (pointer, value) in cases {
        text += &format!("{pointer} {value}\n");
        let after = report(&lines_with(pointer, value));
        let rows = compare(&report(&lines()), &after, SHARE).unwrap().rows;
        for row in rows.iter().filter(|row| row.verdict != Verdict::Same) {
            let (before, after) = (&row.before, &row.after);
            text += &format!(
                "    {}, {}: {:.3} to {:.3}, {}\n",
                before.subject, before.name, before.value, after.value, row.verdict
            );
        }
    }
    expect![[r#"
        /3/flows/broken 22
        /3/flows/broken 23
            orders, broken flows: 10.000 to 11.500, worse
        /3/flows/broken 18
            orders, broken flows: 10.000 to 9.000, better
        /3/flows/opened 400
            orders, broken flows: 10.000 to 5.000, better
        /3/outcomes/doubled 1
            orders, doubled: 0.000 to 1.000, worse
        /3/outcomes/crossed 1
            orders, crossed: 0.000 to 1.000, worse
        /3/outcomes/answered 1880
            orders, not answered: 5.000 to 6.000, worse
        /3/refusals {"Draining":20,"The queue is full":60}
            orders, refused: The queue is full: 4.000 to 3.000, better
            orders, refused: Draining: 0.000 to 1.000, worse
        /3/refusals {}
            orders, refused: The queue is full: 4.000 to 0.000, better
        /3/busy/0/imbalance/ratio 1.22
            orders, imbalance, busiest 60 s: 1.100 to 1.220, worse
        /3/busy/0/imbalance/mean 0.0
        /3/cold/most 0
        /3/cold/most 2
            orders, most beyond what a cold one bears: 0.000 to 1.000, worse
        /3/latency/p99 80.0
            orders, p99: 90.000 to 80.000, better
        /2/first_run null
            gulberg out, time 1, first request after back: 0.200 to inf, worse
        /2/last_run null
            gulberg out, time 1, last request after out: 0.100 to 0.000, better
        /2/answered 980
            gulberg out, time 1, not answered: 1.000 to 2.000, worse
    "#]]
    .assert_eq(&text);
}

#[test]
fn incomparable_reports_return_an_error_with_the_reason() {
    let cases = [
        text(&lines_with("/0/scenario", json!("other"))),
        text(&lines_with("/0/seconds", json!(30.0))),
        text(&lines_with("/3/service", json!("sheets"))),
        text(&lines_with("/2/kind", json!("event"))),
        text(&lines_with("/0/kind", json!("event"))),
        text(&lines_with("/3/cold", json!(null))),
        "not json\n".into(),
        String::new(),
    ];
    let mut text = String::new();
    for case in cases {
        let result = Report::parse("made-up.jsonl", &case)
            .and_then(|after| compare(&report(&lines()), &after, SHARE));
        text += &format!("{}\n", result.unwrap_err());
    }
    expect![[r#"
        the reports are not of the same measures: made-up of 60 s, and other of 60 s
        the reports are not of the same measures: made-up of 60 s, and made-up of 30 s
        the reports are not of the same measures: only one has `broken flows` of orders
        the reports are not of the same measures: only one has `not answered` of gulberg out, time 1
        made-up.jsonl: no report, since the line of the run is missing
        made-up.jsonl:4: no line of a report: invalid type: null, expected struct ColdFigures
        made-up.jsonl:1: no line of a report: expected ident at line 1 column 2
        made-up.jsonl: no report, since the line of the run is missing
    "#]]
    .assert_eq(&text);
}
