//! Whether a caller can get the answer to another request from a backend server that repeats
//! answers, cuts them or sends them late, while callers give up and connections are reused.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use buckthornweir_standins::prelude::*;
use buckthornweir_wire::PushOutcome;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::deployment::{DOMAINS, ORDERS, bundle, deployment_permit};
use support::repeating_backend::RepeatingBackend;
use support::{Process, alive, connect, plan, push, signed, status, wait_for};
use tokio::time::timeout;

/// The seed of callers and backend servers.
const SEED: u64 = 20_261_204;

/// The number of callers.
const CALLERS: u64 = 24;

/// The number of requests of all callers together, unless the variable
/// `BUCKTHORNWEIR_TEST_REQUESTS` sets another.
const REQUESTS: u64 = 20_000;

fn request_count() -> u64 {
    let count = std::env::var("BUCKTHORNWEIR_TEST_REQUESTS");
    count.map_or(REQUESTS, |count| count.parse().unwrap())
}

/// How long a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

/// What callers got.
#[derive(Debug, Default)]
struct Results {
    own: AtomicU64,
    crossed: AtomicU64,
    refused: AtomicU64,
    broken: AtomicU64,
    given_up: AtomicU64,
}

/// Sends requests one after another; gives up some of them, which closes the connection.
async fn call(fabric: Arc<Fabric>, number: u64, results: Arc<Results>) {
    let mut rng = ChaCha8Rng::seed_from_u64(SEED ^ number << 32);
    let service: SocketAddr = ORDERS.parse().unwrap();
    let mut caller = None;
    for count in 0..request_count() / CALLERS {
        let mut open = match caller.take() {
            Some(open) => open,
            None => connect(&fabric, service).await,
        };
        let id = format!("{number}-{count}");
        let mut request = http::Request::get(format!("/{id}")).header("x-request-id", &id);
        if rng.random_bool(0.1) {
            request = request.header("x-deadline-ms", "20");
        }
        let request = request.body(http_body_util::Full::default()).unwrap();
        let patience = match rng.random_bool(0.05) {
            true => Duration::from_micros(rng.random_range(0..6_000)),
            false => CALLER_TIMEOUT,
        };
        let counter = match timeout(patience, open.send(request)).await {
            Err(_) => {
                assert!(patience < CALLER_TIMEOUT, "{id} got no answer");
                &results.given_up
            }
            Ok(Err(_)) => &results.broken,
            Ok(Ok(answer)) => {
                let counter = match answer.echo() {
                    Some(echo) if echo.request_id == id => &results.own,
                    Some(_) => &results.crossed,
                    None => &results.refused,
                };
                if !open.is_closed() {
                    caller = Some(open);
                }
                counter
            }
        };
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

/// Plays all requests with backend servers that do or don't return the agent's header.
async fn play(echoes: bool) -> (Arc<Results>, u64, u64) {
    let _permit = deployment_permit().await;
    let mut plan = plan();
    let folder = tempfile::tempdir().unwrap();
    let bind = "127.0.0.1:0".parse().unwrap();
    let fabric = Fabric::start(FabricConfig::new(bind, SEED)).await.unwrap();
    let mut planned = vec![plan.control("control-1", DOMAINS[0], &folder.path().join("data"))];
    planned.push(plan.balancer("balancer-1", DOMAINS[0]));
    let mut backends = Vec::new();
    for (number, domain) in DOMAINS.into_iter().enumerate() {
        let name = format!("orders-{number}");
        let seed = SEED + number as u64;
        let backend = RepeatingBackend::start(&name, seed, echoes).await;
        let agent = format!("agent-{number}");
        planned.push(plan.agent(&agent, domain, "orders", backend.addr, fabric.addr()));
        backends.push(backend);
    }
    fabric.set_balancers(planned.iter().filter_map(|p| p.fabric).collect());
    let start = |p| Process::start(p, &folder);
    let processes: Vec<Process> = planned.into_iter().map(start).collect();
    let key = plan.cluster_key();
    let control = processes[0].planned.control;
    wait_for("control", async || status(control, key).await.is_some()).await;
    let reply = push(control, key, signed(&bundle(1, ""))).await;
    assert_eq!(reply.outcome(), PushOutcome::Accepted);
    for process in &processes {
        let control = process.planned.control;
        wait_for("the bundle everywhere", async || {
            status(control, key).await.is_some_and(|s| s.version == 1)
        })
        .await;
        wait_for("all members", async || {
            alive(control, key).await == processes.len()
        })
        .await;
    }
    let fabric = Arc::new(fabric);
    let results = Arc::new(Results::default());
    let calls = (0..CALLERS).map(|number| call(fabric.clone(), number, results.clone()));
    let tasks: Vec<_> = calls.map(tokio::spawn).collect();
    for task in tasks {
        task.await.unwrap();
    }
    let sum = |count: fn(&RepeatingBackend) -> &AtomicU64| {
        let counts = backends.iter().map(|b| count(b).load(Ordering::Relaxed));
        counts.sum()
    };
    let (repeated, reused) = (sum(|b| &b.tally.repeated), sum(|b| &b.tally.reused));
    println!("echoes {echoes}: {results:?}, repeated {repeated}, reused {reused}");
    (results, repeated, reused)
}

/// A late second copy of an answer arrives on a connection that already carries the next request.
/// Guards against passing it to the caller of that request.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_answers_never_reach_another_caller() {
    let (results, repeated, reused) = play(true).await;
    assert_eq!(results.crossed.load(Ordering::Relaxed), 0, "{results:?}");
    // The case must come about, and most callers must get their answers.
    assert!(repeated > request_count() / 10, "{repeated}");
    assert!(reused > request_count() / 10, "{reused}");
    let own = results.own.load(Ordering::Relaxed);
    assert!(own > request_count() / 2, "{results:?}");
}

/// The answers of a backend server that doesn't return the agent's header can't be told apart, so
/// its connections carry one request each.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn connections_are_not_reused_without_the_exchange_header() {
    let (results, repeated, reused) = play(false).await;
    assert_eq!(results.crossed.load(Ordering::Relaxed), 0, "{results:?}");
    assert_eq!(reused, 0);
    assert!(repeated > request_count() / 10, "{repeated}");
    let own = results.own.load(Ordering::Relaxed);
    assert!(own > request_count() / 2, "{results:?}");
}
