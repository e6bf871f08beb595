//! Hedged requests between processes while one backend server responds late.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use buckthornweir_standins::prelude::*;
use buckthornweir_standins::{Traits, uptime};
use buckthornweir_wire::{MetricsRequest, PushOutcome, Reply, Request};
use support::deployment::{Deployment, ORDERS, bundle};
use support::{ask, connect, signed, wait_for};

/// How much later the slow backend server responds.
const LATE: Duration = Duration::from_millis(150);

/// The limit of hedged requests in percent.
const SECOND_TRIES: usize = 20;

const AGENTS: usize = 5;
const CALLERS: usize = 25;

/// How long callers send requests before their latencies count, in which agents learn how long
/// responses take and report it to one another.
const WARM_UP: Duration = Duration::from_secs(3);

/// How long latencies are recorded.
const MEASURED: Duration = Duration::from_secs(4);

/// What one caller saw.
struct Observed {
    records: Vec<CallerRecord>,
    latencies: Vec<Duration>,
}

/// Sends lookups one after another, and one order that must not run twice after every tenth.
async fn call(mut caller: HttpCaller, name: String) -> Observed {
    let started = Instant::now();
    let mut seen = Observed {
        records: Vec::new(),
        latencies: Vec::new(),
    };
    for count in 0.. {
        if started.elapsed() >= WARM_UP + MEASURED {
            break;
        }
        let repeatable = count % 10 != 9;
        let id = format!("{name}-{count}");
        let method = if repeatable { "GET" } else { "POST" };
        let request = http::Request::builder()
            .method(method)
            .uri(format!("/{id}?bytes=3000"))
            .header("x-request-id", &id)
            .body(http_body_util::Full::default())
            .unwrap();
        let sent = Instant::now();
        let result = caller.send(request).await;
        if repeatable && started.elapsed() >= WARM_UP {
            seen.latencies.push(sent.elapsed());
        }
        seen.records.push(CallerRecord {
            request_id: id.into(),
            service: "orders".into(),
            traits: Traits { repeatable },
            outcome: Outcome::of(&result),
        });
        assert!(result.is_ok() && !caller.is_closed(), "{result:?}");
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    seen
}

/// Lets all callers send requests and returns what they saw.
async fn play(deployment: &Deployment, phase: &str) -> Observed {
    let service: SocketAddr = ORDERS.parse().unwrap();
    let mut tasks = Vec::new();
    for number in 0..CALLERS {
        let caller = connect(&deployment.fabric, service).await;
        tasks.push(tokio::spawn(call(caller, format!("{phase}-{number}"))));
    }
    let mut all = Observed {
        records: Vec::new(),
        latencies: Vec::new(),
    };
    for task in tasks {
        let seen = task.await.unwrap();
        all.records.extend(seen.records);
        all.latencies.extend(seen.latencies);
    }
    all.latencies.sort();
    all
}

fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    sorted[(sorted.len() * percent).div_ceil(100) - 1]
}

/// Returns the sum of a counter over all agents and reasons.
async fn counter_sum(deployment: &Deployment, counter: &str) -> u64 {
    let mut sum = 0;
    for agent in &deployment.agents {
        let request = Request::Metrics(MetricsRequest {});
        let key = deployment.plan.cluster_key();
        let reply = ask(agent.planned.control, key, request).await;
        let Some(Reply::Metrics(reply)) = reply else {
            panic!("{reply:?}");
        };
        let lines = reply.text.lines().filter(|l| l.starts_with(counter));
        let values = lines.filter_map(|l| l.rsplit(' ').next()?.parse::<u64>().ok());
        sum += values.sum::<u64>();
    }
    sum
}

/// Returns the number of runs of each request that started since `from`.
fn runs_since(deployment: &Deployment, from: Duration) -> HashMap<String, usize> {
    let mut runs = HashMap::new();
    let records = deployment.backends.iter().flat_map(Backend::records);
    for record in records.filter(|r| r.started >= from && r.end.ran()) {
        *runs.entry(record.request_id.to_string()).or_default() += 1;
    }
    runs
}

async fn turn_on(deployment: &Deployment, version: u64, percent: usize) {
    let text = bundle(version, "") + &format!("cold = 5\nsecond-tries = {percent}%\n");
    let outcome = deployment.push_at(0, signed(&text)).await;
    assert_eq!(outcome, Some(PushOutcome::Accepted));
    deployment.settle(version).await;
}

/// Guards against a late backend server that determines the slowest responses although siblings
/// have free slots, against orders that run twice, against responses to another request, against
/// copies above the limit, and against hedging while it is off.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn late_backend_server_is_hedged_within_the_limit() {
    let deployment = Deployment::start(1, AGENTS).await;
    turn_on(&deployment, 2, 0).await;
    deployment.backends[0].set_fault(Fault::Late(LATE));
    let off = play(&deployment, "off").await;
    let sent = "buckthornweir_hedged_requests_total";
    assert_eq!(counter_sum(&deployment, sent).await, 0, "hedging is off");
    let repeated_off = runs_since(&deployment, Duration::ZERO);
    assert!(repeated_off.values().all(|runs| *runs == 1));

    turn_on(&deployment, 3, SECOND_TRIES).await;
    let from = uptime();
    let on = play(&deployment, "on").await;
    let copies = counter_sum(&deployment, sent).await;
    let won = counter_sum(&deployment, "buckthornweir_hedged_requests_won_total").await;
    wait_for("the end of all runs", async || {
        deployment.backends.iter().all(|b| b.running() == 0)
    })
    .await;
    let runs = runs_since(&deployment, from);
    let extra: usize = runs.values().map(|runs| runs - 1).sum();
    for (phase, seen) in [("off", &off), ("on", &on)] {
        let [p50, p95, p99] = [50, 95, 99].map(|p| percentile(&seen.latencies, p));
        let count = seen.latencies.len();
        println!("{phase}: {count} lookups, p50 {p50:?}, p95 {p95:?}, p99 {p99:?}");
    }
    println!(
        "on: {} requests, {copies} copies, {won} won, {extra} extra runs",
        runs.len()
    );
    for reason in ["no-sibling", "declined", "no-slot", "limit"] {
        let name = format!("buckthornweir_hedged_requests_denied_total{{reason=\"{reason}\"}}");
        let denied = counter_sum(&deployment, &name).await;
        println!("on: {denied} denied for {reason}");
    }
    let tally_off = deployment.tally(&off.records);
    let tally_on = deployment.tally(&on.records);
    println!("{tally_off:?}\n{tally_on:?}");
    for tally in [tally_off, tally_on] {
        assert_eq!(tally.doubled, 0, "an order ran twice: {tally:?}");
        assert_eq!(tally.crossed + tally.unfounded, 0, "{tally:?}");
        assert_eq!(tally.answered, tally.sent, "{tally:?}");
    }
    assert!(copies > 0 && won > 0, "{copies} copies, {won} won");
    let allowed = runs.len() * SECOND_TRIES / 100;
    assert!(extra <= allowed, "{extra} extra runs, {allowed} allowed");
    assert!(percentile(&off.latencies, 99) >= LATE, "nothing was late");
    let slowest = percentile(&on.latencies, 99);
    assert!(slowest < LATE, "p99 {slowest:?} with hedging");
}
