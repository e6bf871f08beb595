//! Failures and planned changes with real processes, counted from the books of the callers and of
//! the backend servers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use buckthornweir_standins::prelude::*;
use buckthornweir_wire::{DrainRequest, MetricsRequest, Reply, Request};
use support::deployment::{DOMAINS, Deployment, Seen};
use support::{alive, ask, wait_for};

/// How long callers work before, between and after events.
const WHILE: Duration = Duration::from_millis(700);

/// Bytes of an answer that is larger than a flow's send buffer.
const LARGE_ANSWER: usize = 100_000;

async fn work() {
    tokio::time::sleep(WHILE).await;
}

/// Checks that callers noticed nothing: no flow broke, every order was answered and none ran twice.
fn assert_unnoticed(deployment: &Deployment, seen: &Seen) {
    let tally = deployment.tally(&seen.records);
    assert_eq!(seen.broken, 0, "{tally:?}");
    assert_eq!(tally.answered, tally.sent, "{tally:?}");
    assert_eq!(tally.doubled, 0, "{tally:?}");
}

/// All agents are stopped as planned and started again, one after another: no flow breaks, no
/// request is lost, doubled or refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_planned_restart_of_every_agent_breaks_nothing() {
    let mut deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    let key = deployment.plan.cluster_key();
    for at in 0..deployment.agents.len() {
        deployment.agents[at].signal("TERM");
        assert_eq!(deployment.agents[at].ended().await, Some(0));
        work().await;
        deployment.agents[at].restart();
        deployment.settle(1).await;
        let control = deployment.agents[at].planned.control;
        wait_for("the agent's members", async || {
            alive(control, key).await == 6
        })
        .await;
        work().await;
    }
    let seen = callers.finish().await;
    assert_unnoticed(&deployment, &seen);
}

/// All balancers are killed and started again, one after another: no flow breaks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killing_every_balancer_in_turn_breaks_nothing() {
    let mut deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    for at in 0..deployment.balancers.len() {
        deployment.balancers[at].kill();
        work().await;
        deployment.balancers[at].restart();
        deployment.settle(1).await;
        work().await;
    }
    let seen = callers.finish().await;
    assert_unnoticed(&deployment, &seen);
}

/// A killed agent takes its own flows with it; nothing runs twice, nothing is called not run that
/// ran, and new flows are served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killing_an_agent_breaks_only_its_own_flows() {
    let mut deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    let before = deployment.backends[0].records().len();
    deployment.agents[0].kill();
    let key = deployment.plan.cluster_key();
    let control = deployment.control.planned.control;
    wait_for("the death", async || alive(control, key).await == 5).await;
    work().await;
    assert!(before > 0);
    let later = deployment.callers(6).await;
    work().await;
    for callers in [callers, later] {
        let seen = callers.finish().await;
        let tally = deployment.tally(&seen.records);
        assert!(seen.broken < 12, "{tally:?}");
        assert_eq!(tally.doubled, 0, "{tally:?}");
        assert_eq!(tally.false_refusals, 0, "{tally:?}");
        assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    }
}

/// A failure domain that is taken out gets nothing after 3 s; when it is back it gets work again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failure_domain_goes_out_and_comes_back() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    deployment.push(2, DOMAINS[1]).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let out = deployment.backends[1].records().len();
    let later = deployment.callers(6).await;
    work().await;
    assert_eq!(deployment.backends[1].records().len(), out);
    deployment.push(3, "").await;
    deployment.settle(3).await;
    let back = deployment.callers(24).await;
    work().await;
    assert!(deployment.backends[1].records().len() > out);
    for callers in [callers, later, back] {
        let seen = callers.finish().await;
        let tally = deployment.tally(&seen.records);
        assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
        assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    }
}

/// A frozen balancer and a frozen agent thaw again: nothing runs twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn frozen_processes_thaw() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    deployment.balancers[0].signal("STOP");
    work().await;
    deployment.balancers[0].signal("CONT");
    deployment.agents[1].signal("STOP");
    work().await;
    deployment.agents[1].signal("CONT");
    work().await;
    deployment.settle(1).await;
    let seen = callers.finish().await;
    let tally = deployment.tally(&seen.records);
    assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
    assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    assert_eq!(seen.broken, 0, "{tally:?}");
}

/// An operator drains an agent under load: within 3 s its backend server gets no new work, no flow
/// breaks and no order is lost or refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drained_agent_gets_no_new_work_after_three_seconds() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    let control = deployment.agents[0].planned.control;
    let request = Request::Drain(DrainRequest {});
    let reply = ask(control, deployment.plan.cluster_key(), request).await;
    assert!(matches!(reply, Some(Reply::Drain(reply)) if reply.draining));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let after = deployment.backends[0].records().len();
    work().await;
    assert_eq!(deployment.backends[0].records().len(), after);
    let seen = callers.finish().await;
    assert_unnoticed(&deployment, &seen);
}

/// A drained agent lets go of no flow whose answer waits for room in the flow's send buffer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_drained_agent_cuts_no_large_answer() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers_with(12, LARGE_ANSWER).await;
    work().await;
    let control = deployment.agents[0].planned.control;
    let request = Request::Drain(DrainRequest {});
    let reply = ask(control, deployment.plan.cluster_key(), request).await;
    assert!(matches!(reply, Some(Reply::Drain(reply)) if reply.draining));
    work().await;
    let seen = callers.finish().await;
    assert_unnoticed(&deployment, &seen);
}

/// A backend server says that it is leaving and later that it is back: as for a drain by an
/// operator, and afterwards it gets work again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_backend_server_that_leaves_and_returns_is_followed() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    work().await;
    deployment.backends[0].set_fault(Fault::Drain);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let after = deployment.backends[0].records().len();
    work().await;
    assert_eq!(deployment.backends[0].records().len(), after);
    deployment.backends[0].set_fault(Fault::None);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let later = deployment.callers(24).await;
    work().await;
    assert!(deployment.backends[0].records().len() > after);
    for callers in [callers, later] {
        let seen = callers.finish().await;
        assert_unnoticed(&deployment, &seen);
    }
}

/// Every kind of fault of a backend server: no order runs twice, a refusal that says "not run" is
/// true, and no caller takes a short answer for a whole one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn faults_of_a_backend_server_are_told_truly() {
    let deployment = Deployment::start(2, 3).await;
    let faults = [
        Fault::Shed,
        Fault::TurnCold,
        Fault::Late(Duration::from_millis(400)),
        Fault::Silent,
        Fault::CutBeforeAnswer,
        Fault::CutAfterHeaders,
        Fault::CutMidBody,
        Fault::LyingHealth,
        Fault::LyingLoad,
    ];
    for fault in faults {
        let callers = deployment.callers(12).await;
        deployment.backends[0].set_fault(fault);
        work().await;
        deployment.backends[0].set_fault(Fault::None);
        work().await;
        let seen = callers.finish().await;
        let tally = deployment.tally(&seen.records);
        assert_eq!(tally.doubled, 0, "{fault:?}: {tally:?}");
        assert_eq!(tally.false_refusals, 0, "{fault:?}: {tally:?}");
        assert_eq!(
            tally.crossed + tally.wrong_service,
            0,
            "{fault:?}: {tally:?}"
        );
        assert_eq!(tally.unfounded, 0, "{fault:?}: {tally:?}");
        assert!(tally.answered > tally.sent / 2, "{fault:?}: {tally:?}");
    }
}

/// An order with an idempotency key that is sent again, over any flow, runs once.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_resent_key_runs_once() {
    let deployment = Deployment::start(2, 3).await;
    let send = async |key: &str| send_order(&deployment, key).await;
    // Holders of keys count each other only after they have been there for a while.
    wait_for_long("a first keyed order", async || {
        send("warm-up").await.status == 200
    })
    .await;
    for number in 0..10 {
        let key = format!("key-{number}");
        let first = send(&key).await;
        assert_eq!(first.status, 200, "{first:?}");
        for _ in 0..3 {
            let again = send(&key).await;
            assert_eq!(again.status, 200, "{again:?}");
            assert_eq!(again.body, first.body);
        }
        let ran: usize = deployment.backends.iter().map(|b| runs_of(b, &key)).sum();
        assert_eq!(ran, 1, "{key}");
    }
}

/// Sends an order with an idempotency key on a flow of its own.
async fn send_order(deployment: &Deployment, key: &str) -> CallerAnswer {
    let service = support::deployment::ORDERS.parse().unwrap();
    let mut caller = support::connect(&deployment.fabric, service).await;
    let request = http::Request::post("/order")
        .header("x-request-id", key)
        .header("idempotency-key", key)
        .body(http_body_util::Full::from("one badge"))
        .unwrap();
    caller.send(request).await.unwrap()
}

/// An agent that was restarted as planned holds keys again, in about the time that news of members and
/// a pull of all records take.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_restarted_agent_holds_keys_again() {
    let mut deployment = Deployment::start(1, 3).await;
    for agent in &deployment.agents {
        wait_for_long("the first holders", async || {
            keys_ready(&deployment, agent).await
        })
        .await;
    }
    let orders = tokio::spawn(keyed_orders(deployment.fabric.clone()));
    work().await;
    deployment.agents[0].signal("TERM");
    assert_eq!(deployment.agents[0].ended().await, Some(0));
    deployment.agents[0].restart();
    deployment.settle(1).await;
    orders.await.unwrap();
    for agent in &deployment.agents {
        wait_for_long("the holders after a restart", async || {
            keys_ready(&deployment, agent).await
        })
        .await;
    }
}

/// Sends keyed orders one after another, some of them while an agent restarts.
async fn keyed_orders(fabric: std::sync::Arc<Fabric>) {
    let service = support::deployment::ORDERS.parse().unwrap();
    let mut caller = support::connect(&fabric, service).await;
    for number in 0..500 {
        let request = http::Request::post("/order?bytes=2000")
            .header("idempotency-key", format!("many-{number}"))
            .body(http_body_util::Full::from("one badge"))
            .unwrap();
        if caller.send(request).await.is_err() {
            caller = support::connect(&fabric, service).await;
        }
    }
}

/// Links to siblings are closed while they carry nothing, and opened again for the next request with
/// a key.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_links_are_closed_and_opened_again() {
    let deployment = Deployment::start(1, 3).await;
    for agent in &deployment.agents {
        wait_for_long("the first holders", async || {
            keys_ready(&deployment, agent).await
        })
        .await;
    }
    for round in ["after the start", "after a request"] {
        for agent in &deployment.agents {
            wait_for_long(round, async || {
                shows(&deployment, agent, "links_open 0").await
            })
            .await;
        }
        let sent = send_order(&deployment, round).await;
        assert_eq!(sent.status, 200, "{round}: {sent:?}");
        let mut open = 0;
        for agent in &deployment.agents {
            open += usize::from(!shows(&deployment, agent, "links_open 0").await);
        }
        assert!(open > 0, "{round}");
    }
}

async fn keys_ready(deployment: &Deployment, agent: &support::Process) -> bool {
    shows(deployment, agent, "keys_ready 1").await
}

/// Returns whether a metric of an agent has a value now.
async fn shows(deployment: &Deployment, agent: &support::Process, metric: &str) -> bool {
    let key = deployment.plan.cluster_key();
    let request = Request::Metrics(MetricsRequest {});
    let line = format!("buckthornweir_{metric}\n");
    match ask(agent.planned.control, key, request).await {
        Some(Reply::Metrics(reply)) => reply.text.contains(&line),
        _ => false,
    }
}

/// What an agent finds out about its backend server while it starts reaches the balancer, whenever it does
/// so.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_service_is_reached_after_each_of_many_starts() {
    let service = support::deployment::ORDERS.parse().unwrap();
    for start in 0..20 {
        let deployment = Deployment::start(1, 1).await;
        let connected = support::connect(&deployment.fabric, service);
        let connected = tokio::time::timeout(support::LIMIT / 2, connected).await;
        assert!(connected.is_ok(), "start {start}");
    }
}

/// A flow that is silent for longer than any other limit of the agent, but not for its idle limit, is
/// still there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_flow_stays_open() {
    let deployment = Deployment::start(1, 1).await;
    let service = support::deployment::ORDERS.parse().unwrap();
    let mut caller = support::connect(&deployment.fabric, service).await;
    for _ in 0..2 {
        let request = http::Request::get("/stock").body(http_body_util::Full::default());
        assert_eq!(caller.send(request.unwrap()).await.unwrap().status, 200);
        tokio::time::sleep(Duration::from_secs(35)).await;
        assert!(!caller.is_closed());
    }
}

fn runs_of(backend: &Backend, id: &str) -> usize {
    let books = backend.records();
    books
        .iter()
        .filter(|e| e.request_id == id && e.end.ran())
        .count()
}

/// Waits for something that takes longer than most.
async fn wait_for_long(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let limit = std::time::Instant::now() + 4 * support::LIMIT;
    while !done().await {
        assert!(
            std::time::Instant::now() < limit,
            "{what} did not happen in time"
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
