//! Tests of the figures computed from sample records, and of their output.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use buckthornweir_load::{
    BackendData, EventMark, Figures, FlowEnd, FlowRecord, Imbalance, LoadSeries, RequestRecord,
    RequestSpec, RunData, Scenario, Trace, figures, imbalance, page, tables, write_lines,
};
use buckthornweir_standins::{
    BackendLog, BackendRecord, CallerRecord, End, FabricCounters, Outcome, Traits,
};
use expect_test::expect;
use http::Method;

/// When the load started, on the stand-ins' clock.
const START: Duration = Duration::from_secs(100);

const SCENARIO: &str = "\
[scenario]
name = made-up
time = 40s
window = 10s
region = fj-west
domains = fj-west-a, fj-west-b
[service orders]
address = 10.100.0.1:80
backends = 2
flows = 1
rate = 1
[event 1]
at = 10s
do = domain-out
to = fj-west-b
[event 2]
at = 20s
do = domain-back
to = fj-west-b
";

fn at(seconds: f64) -> Duration {
    START + Duration::from_secs_f64(seconds)
}

/// Returns a request that was due at `seconds` and ended 25 ms later.
fn request(id: &str, seconds: f64, outcome: Outcome) -> RequestRecord {
    RequestRecord {
        record: CallerRecord {
            request_id: id.into(),
            service: "orders".into(),
            traits: Traits::default(),
            outcome,
        },
        keyed: false,
        problem: None,
        trace: Trace::default(),
        due: at(seconds),
        ended: at(seconds) + Duration::from_millis(25),
    }
}

fn run(id: &str, seconds: f64) -> BackendRecord {
    BackendRecord {
        request_id: id.into(),
        idempotency_key: None,
        method: "GET".into(),
        path: "/".into(),
        started: at(seconds),
        ended: Some(at(seconds)),
        end: End::Done,
        concurrent: 1,
        cold: false,
    }
}

fn backend(name: &str, domain: &str, runs: &[(&str, f64)]) -> BackendData {
    BackendData {
        request_log: BackendLog {
            backend: name.into(),
            service: "orders".into(),
            entries: runs.iter().map(|(id, seconds)| run(id, *seconds)).collect(),
        },
        domain: domain.into(),
        most: 1,
        most_cold: 0,
    }
}

fn flow(seconds: f64, end: FlowEnd) -> FlowRecord {
    FlowRecord {
        service: "orders".into(),
        opened: START,
        ended: at(seconds),
        end,
    }
}

/// Returns the marks of a scenario's events. Each event took half a second.
fn marks(scenario: &Scenario) -> Vec<EventMark> {
    scenario
        .events
        .iter()
        .map(|event| EventMark {
            at: event.at.as_secs_f64(),
            done: event.at.as_secs_f64() + 0.5,
            what: event.action.to_string().into(),
            version: Some(2),
            everywhere: Some(1.25),
            failed: None,
            action: Some(event.action.clone()),
        })
        .collect()
}

fn sample_figures() -> Figures {
    let scenario = Scenario::parse("s.ini", SCENARIO).unwrap();
    let own = |id: &str| Outcome::Answered {
        service: "orders".into(),
        request_id: id.into(),
    };
    let requests = [
        request("a", 1.0, own("a")),
        request("b", 9.0, own("b")),
        request("c", 10.5, own("c")),
        request("d", 12.0, Outcome::Broken),
        request("e", 21.0, own("e")),
        request("f", 31.0, own("f")),
    ];
    let backends = [
        backend(
            "orders-1",
            "fj-west-a",
            &[("a", 1.0), ("e", 21.0), ("f", 31.0), ("f", 31.5)],
        ),
        backend(
            "orders-2",
            "fj-west-b",
            &[("b", 9.0), ("c", 10.5), ("d", 12.0), ("g", 23.0)],
        ),
    ];
    let flows = [flow(12.0, FlowEnd::Broken), flow(40.0, FlowEnd::Finished)];
    let events = marks(&scenario);
    figures(&RunData {
        scenario: &scenario,
        start: START,
        requests: &requests,
        flows: &flows,
        backends: &backends,
        events: &events,
        fabric: FabricCounters {
            sent: 9,
            received: 8,
            dropped: 1,
            ..FabricCounters::default()
        },
    })
}

#[test]
fn tables_contain_all_measures() {
    expect![[r#"
        Scenario made-up, seed 1, 40 s, windows of 10 s

        ┌─────────┬───────┬──────────────┬────────┬──────┬─────────┬───────────┬─────────────────┬────────┬────────┬────────┬────────┐
        │ service ┆ flows ┆ broken flows ┆ closed ┆ lost ┆ doubled ┆ imbalance ┆  busiest window ┆ p50 ms ┆ p90 ms ┆ p99 ms ┆ max ms │
        ╞═════════╪═══════╪══════════════╪════════╪══════╪═════════╪═══════════╪═════════════════╪════════╪════════╪════════╪════════╡
        │ orders  ┆     2 ┆            1 ┆      0 ┆    1 ┆       1 ┆      2.00 ┆ 2 / 1.0 at 30 s ┆   25.0 ┆   25.0 ┆   25.0 ┆   25.0 │
        └─────────┴───────┴──────────────┴────────┴──────┴─────────┴───────────┴─────────────────┴────────┴────────┴────────┴────────┘

        ┌────────────────┬──────────┬──────┬─────┬─────────────┬──────┬───────────┐
        │ busiest window ┆        s ┆ at s ┆ ran ┆ most at one ┆ mean ┆ imbalance │
        ╞════════════════╪══════════╪══════╪═════╪═════════════╪══════╪═══════════╡
        │ orders         ┆        1 ┆   31 ┆   2 ┆           2 ┆  1.0 ┆      2.00 │
        │ orders         ┆       10 ┆    1 ┆   3 ┆           1 ┆  1.0 ┆      1.00 │
        │ orders         ┆ 40 of 60 ┆    0 ┆   8 ┆           4 ┆  4.0 ┆      1.00 │
        └────────────────┴──────────┴──────┴─────┴─────────────┴──────┴───────────┘

        ┌──────────┬──────┬──────────┬─────────┬─────────┬──────┬───────┬─────────┬─────────────┬──────────┬───────────────┬─────────┬────────────────┬───────────┐
        │ requests ┆ sent ┆ answered ┆ refused ┆ unknown ┆ lost ┆ short ┆ doubled ┆ key doubled ┆ repeated ┆ wrong service ┆ crossed ┆ false refusals ┆ unfounded │
        ╞══════════╪══════╪══════════╪═════════╪═════════╪══════╪═══════╪═════════╪═════════════╪══════════╪═══════════════╪═════════╪════════════════╪═══════════╡
        │ orders   ┆    6 ┆        5 ┆       0 ┆       0 ┆    1 ┆     0 ┆       1 ┆           0 ┆        0 ┆             0 ┆       0 ┆              0 ┆         0 │
        └──────────┴──────┴──────────┴─────────┴─────────┴──────┴───────┴─────────┴─────────────┴──────────┴───────────────┴─────────┴────────────────┴───────────┘

        ┌────────────────┬────────────────┬─────┬─────────┬───────────┬─────────┬──────────────┬────────────────┐
        │ backend server ┆ failure domain ┆ ran ┆ refused ┆ fell over ┆ stopped ┆ most at once ┆ most when cold │
        ╞════════════════╪════════════════╪═════╪═════════╪═══════════╪═════════╪══════════════╪════════════════╡
        │ orders-1       ┆      fj-west-a ┆   4 ┆       0 ┆         0 ┆       0 ┆            1 ┆              0 │
        │ orders-2       ┆      fj-west-b ┆   4 ┆       0 ┆         0 ┆       0 ┆            1 ┆              0 │
        └────────────────┴────────────────┴─────┴─────────┴───────────┴─────────┴──────────────┴────────────────┘

        ┌──────────────────────┬──────────────┬──────────────┬───────────┐
        │ cold backend servers ┆ bear at once ┆ most at once ┆ fell over │
        ╞══════════════════════╪══════════════╪══════════════╪═══════════╡
        │ orders               ┆            5 ┆            0 ┆         0 │
        └──────────────────────┴──────────────┴──────────────┴───────────┘

        ┌────────────────┬──────────┬───────────┬──────────────────────────┬────────────────────────────┬──────┬─────────────┬──────────────┬───────────────────┐
        │ failure domain ┆ out at s ┆ back at s ┆ last request after out s ┆ first request after back s ┆ sent ┆    answered ┆ broken flows ┆ broken after back │
        ╞════════════════╪══════════╪═══════════╪══════════════════════════╪════════════════════════════╪══════╪═════════════╪══════════════╪═══════════════════╡
        │ fj-west-b      ┆     10.0 ┆      20.0 ┆                     2.00 ┆                       3.00 ┆    3 ┆ 2 (66.67 %) ┆            1 ┆                 0 │
        └────────────────┴──────────┴───────────┴──────────────────────────┴────────────────────────────┴──────┴─────────────┴──────────────┴───────────────────┘

        ┌───────────────────────┬──────┬──────────────┬────────────────────┬────────┐
        │ event                 ┆ at s ┆ done after s ┆ everywhere after s ┆ failed │
        ╞═══════════════════════╪══════╪══════════════╪════════════════════╪════════╡
        │ domain-out fj-west-b  ┆ 10.0 ┆         0.50 ┆               1.25 ┆        │
        │ domain-back fj-west-b ┆ 20.0 ┆         0.50 ┆               1.25 ┆        │
        └───────────────────────┴──────┴──────────────┴────────────────────┴────────┘"#]]
    .assert_eq(&tables(&sample_figures()));
}

#[test]
fn output_lines_are_json_with_a_kind() {
    let mut lines = Vec::new();
    write_lines(&sample_figures(), &mut lines).unwrap();
    let text = String::from_utf8(lines).unwrap();
    let kinds: Vec<_> = text
        .lines()
        .map(|line| {
            let value: serde_json::Value = serde_json::from_str(line).unwrap();
            value["kind"].as_str().unwrap().to_owned()
        })
        .collect();
    let expected = "run event event domain trouble trouble service backend backend window window window window";
    assert_eq!(kinds.join(" "), expected);
}

#[test]
fn page_has_three_plots_per_service() {
    let html = page(&sample_figures()).unwrap();
    assert_eq!(html.matches("<svg").count(), 3);
    assert!(html.contains("domain-out fj-west-b"));
}

#[test]
fn imbalance_is_computed_from_the_busiest_window() {
    let series = |ran: &[usize], away: &[bool]| LoadSeries {
        backend: "b".into(),
        domain: "d".into(),
        ran: ran.to_vec(),
        away: away.to_vec(),
    };
    let none = [false; 3];
    let away = [false, true, false];
    let cases = [
        (
            "even",
            vec![series(&[1, 5, 2], &none), series(&[1, 5, 2], &none)],
            0.0,
            (1, 5, 1.0),
        ),
        (
            "uneven",
            vec![series(&[9, 6, 2], &none), series(&[0, 4, 2], &none)],
            0.0,
            (1, 6, 1.2),
        ),
        (
            "warm-up",
            vec![series(&[1, 5, 6], &none), series(&[9, 5, 2], &none)],
            15.0,
            (2, 6, 1.5),
        ),
        (
            "away",
            vec![series(&[1, 9, 2], &none), series(&[1, 1, 2], &away)],
            0.0,
            (1, 9, 1.0),
        ),
        ("idle", vec![series(&[0, 0, 0], &none)], 0.0, (2, 0, 0.0)),
    ];
    for (case, series, warm_up, (window, most, ratio)) in cases {
        let Imbalance {
            at,
            most: found,
            ratio: found_ratio,
            ..
        } = imbalance(&series, 10.0, warm_up);
        assert_eq!(
            (at, found, found_ratio),
            (f64::from(window) * 10.0, most, ratio),
            "{case}"
        );
    }
    assert_eq!(imbalance(&[], 10.0, 0.0), Imbalance::default());
}

#[test]
fn request_that_ran_twice_is_doubled_unless_its_method_is_safe() {
    let cases = [
        ("safe", Method::GET, None),
        ("safe with a key", Method::GET, Some("k")),
        ("once", Method::POST, None),
        ("once with a key", Method::POST, Some("k")),
    ];
    let mut lines = String::new();
    for (case, method, key) in cases {
        let spec = RequestSpec {
            id: "a".into(),
            method,
            key: key.map(Into::into),
            path: "/".into(),
        };
        let mut request = request("a", 1.0, Outcome::Broken);
        request.record.traits = spec.traits();
        request.keyed = spec.key.is_some();
        let twice = backend("orders-1", "fj-west-a", &[("a", 1.0), ("a", 1.2)]);
        let outcomes = figures_of_requests(&[request], &[twice]).services[0].outcomes;
        lines += &format!(
            "{case}: doubled {}, key doubled {}, repeated {}\n",
            outcomes.doubled, outcomes.doubled_key, outcomes.repeated
        );
    }
    expect![[r"
        safe: doubled 0, key doubled 0, repeated 1
        safe with a key: doubled 0, key doubled 0, repeated 1
        once: doubled 1, key doubled 0, repeated 0
        once with a key: doubled 1, key doubled 1, repeated 0
    "]]
    .assert_eq(&lines);
}

/// Returns the figures of a run with these requests and no events or flows.
fn figures_of_requests(requests: &[RequestRecord], backends: &[BackendData]) -> Figures {
    let scenario = Scenario::parse("s.ini", SCENARIO).unwrap();
    figures(&RunData {
        scenario: &scenario,
        start: START,
        requests,
        flows: &[],
        backends,
        events: &[],
        fabric: FabricCounters::default(),
    })
}

/// A response to another request must be listed whether the caller's request ran never, once or
/// twice, since a request that ran once otherwise counts as free of problems. The entry also
/// describes the request that the response belongs to.
#[test]
fn every_response_to_another_request_is_listed() {
    let answer = |service: &str, id: &str| Outcome::Answered {
        service: service.into(),
        request_id: id.into(),
    };
    let cases = [
        ("own", answer("orders", "a"), 1),
        ("crossed, ran once", answer("orders", "b"), 1),
        ("crossed, never ran", answer("orders", "b"), 0),
        ("crossed, ran twice", answer("orders", "b"), 2),
        ("of a request that nobody sent", answer("orders", "z"), 1),
        ("of another service", answer("sheets", "a"), 1),
    ];
    let mut lines = String::new();
    for (case, outcome, runs) in cases {
        let mut first = request("a", 2.0, outcome);
        first.trace = trace(7001, 2);
        let mut other = request("b", 1.0, answer("orders", "b"));
        other.trace = trace(7002, 9);
        let mut ran = vec![("b", 1.0)];
        ran.extend(vec![("a", 2.0); runs]);
        let backends = [backend("orders-1", "fj-west-a", &ran)];
        let troubles = figures_of_requests(&[other, first], &backends).troubles;
        lines += &format!("{case}\n");
        for trouble in troubles {
            lines += &format!("{}\n", serde_json::to_string(&trouble).unwrap());
        }
    }
    expect![[r#"
        own
        crossed, ran once
        {"service":"orders","request":"a","repeatable":false,"due":2.0,"ended":2.0250000000000057,"outcome":"Answered { service: \"orders\", request_id: \"b\" }","caller":"10.200.0.1:7001","position":2,"sends":1,"backend":"orders-1","crossing":{"service":"orders","request":"b","due":1.0,"ended":1.0250000000000057,"outcome":"Answered { service: \"orders\", request_id: \"b\" }","caller":"10.200.0.1:7002","position":9,"runs":[{"backend":"orders-1","service":"orders","at":1.0,"ended":1.0,"end":"Done"}]},"runs":[{"backend":"orders-1","service":"orders","at":2.0,"ended":2.0,"end":"Done"}]}
        crossed, never ran
        {"service":"orders","request":"a","repeatable":false,"due":2.0,"ended":2.0250000000000057,"outcome":"Answered { service: \"orders\", request_id: \"b\" }","caller":"10.200.0.1:7001","position":2,"sends":1,"backend":"orders-1","crossing":{"service":"orders","request":"b","due":1.0,"ended":1.0250000000000057,"outcome":"Answered { service: \"orders\", request_id: \"b\" }","caller":"10.200.0.1:7002","position":9,"runs":[{"backend":"orders-1","service":"orders","at":1.0,"ended":1.0,"end":"Done"}]},"runs":[]}
        crossed, ran twice
        {"service":"orders","request":"a","repeatable":false,"due":2.0,"ended":2.0250000000000057,"outcome":"Answered { service: \"orders\", request_id: \"b\" }","caller":"10.200.0.1:7001","position":2,"sends":1,"backend":"orders-1","crossing":{"service":"orders","request":"b","due":1.0,"ended":1.0250000000000057,"outcome":"Answered { service: \"orders\", request_id: \"b\" }","caller":"10.200.0.1:7002","position":9,"runs":[{"backend":"orders-1","service":"orders","at":1.0,"ended":1.0,"end":"Done"}]},"runs":[{"backend":"orders-1","service":"orders","at":2.0,"ended":2.0,"end":"Done"},{"backend":"orders-1","service":"orders","at":2.0,"ended":2.0,"end":"Done"}]}
        of a request that nobody sent
        {"service":"orders","request":"a","repeatable":false,"due":2.0,"ended":2.0250000000000057,"outcome":"Answered { service: \"orders\", request_id: \"z\" }","caller":"10.200.0.1:7001","position":2,"sends":1,"backend":"orders-1","crossing":{"service":"orders","request":"z","due":null,"ended":null,"outcome":null,"caller":null,"position":null,"runs":[]},"runs":[{"backend":"orders-1","service":"orders","at":2.0,"ended":2.0,"end":"Done"}]}
        of another service
        {"service":"orders","request":"a","repeatable":false,"due":2.0,"ended":2.0250000000000057,"outcome":"Answered { service: \"sheets\", request_id: \"a\" }","caller":"10.200.0.1:7001","position":2,"sends":1,"backend":"orders-1","crossing":{"service":"sheets","request":"a","due":2.0,"ended":2.0250000000000057,"outcome":"Answered { service: \"sheets\", request_id: \"a\" }","caller":"10.200.0.1:7001","position":2,"runs":[{"backend":"orders-1","service":"orders","at":2.0,"ended":2.0,"end":"Done"}]},"runs":[{"backend":"orders-1","service":"orders","at":2.0,"ended":2.0,"end":"Done"}]}
    "#]]
    .assert_eq(&lines);
}

#[test]
fn crossed_responses_are_listed_beyond_the_limit() {
    let mut requests: Vec<_> = (0..600)
        .map(|number| request(&format!("lost-{number}"), 1.0, Outcome::Broken))
        .collect();
    let crossed = Outcome::Answered {
        service: "orders".into(),
        request_id: "b".into(),
    };
    requests.push(request("a", 2.0, crossed));
    let troubles = figures_of_requests(&requests, &[]).troubles;
    assert_eq!(troubles.len(), 501);
    assert_eq!(troubles[500].request, "a");
}

fn trace(port: u16, position: u32) -> Trace {
    Trace {
        caller: Some(([10, 200, 0, 1], port).into()),
        position,
        sends: 1,
        backend: Some("orders-1".into()),
    }
}

/// The failure domain of the second backend server is out from 10 s to 20.5 s.
#[test]
fn busiest_windows_exclude_the_warm_up_and_absent_backends() {
    let first = |seconds| vec![("a", seconds); 6];
    let second = |seconds| vec![("b", seconds); 2];
    let cases = [
        ("even times", first(25.0), second(25.0)),
        ("away", first(15.0), second(25.0)),
        ("across a border", first(24.9), second(25.1)),
        ("in the warm-up", first(1.0), second(25.0)),
        ("none", Vec::new(), Vec::new()),
    ];
    let mut lines = String::new();
    for (case, first, second) in cases {
        let mut scenario = Scenario::parse("s.ini", SCENARIO).unwrap();
        scenario.warm_up = Duration::from_secs(5);
        let backends = [
            backend("orders-1", "fj-west-a", &first),
            backend("orders-2", "fj-west-b", &second),
        ];
        let figures = figures(&RunData {
            scenario: &scenario,
            start: START,
            requests: &[],
            flows: &[],
            backends: &backends,
            events: &marks(&scenario),
            fabric: FabricCounters::default(),
        });
        lines += &format!("{case}\n");
        for window in &figures.services[0].busy {
            let Imbalance { at, most, mean, .. } = window.imbalance;
            lines += &format!(
                "    {} of {} s at {at} s: {} ran, {most} at one, mean {mean}\n",
                window.taken, window.length, window.ran
            );
        }
    }
    expect![[r#"
        even times
            1 of 1 s at 25 s: 8 ran, 6 at one, mean 4
            10 of 10 s at 16 s: 8 ran, 6 at one, mean 6
            35 of 60 s at 5 s: 8 ran, 6 at one, mean 6
        away
            1 of 1 s at 15 s: 6 ran, 6 at one, mean 6
            10 of 10 s at 6 s: 6 ran, 6 at one, mean 6
            35 of 60 s at 5 s: 8 ran, 6 at one, mean 6
        across a border
            1 of 1 s at 24 s: 6 ran, 6 at one, mean 3
            10 of 10 s at 16 s: 8 ran, 6 at one, mean 6
            35 of 60 s at 5 s: 8 ran, 6 at one, mean 6
        in the warm-up
            1 of 1 s at 25 s: 2 ran, 2 at one, mean 1
            10 of 10 s at 16 s: 2 ran, 0 at one, mean 0
            35 of 60 s at 5 s: 2 ran, 0 at one, mean 0
        none
            1 of 1 s at 5 s: 0 ran, 0 at one, mean 0
            10 of 10 s at 5 s: 0 ran, 0 at one, mean 0
            35 of 60 s at 5 s: 0 ran, 0 at one, mean 0
    "#]]
    .assert_eq(&lines);
}
