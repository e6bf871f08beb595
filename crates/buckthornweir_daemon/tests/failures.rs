//! Failures and planned changes with real processes. Results are checked against the records of the
//! callers and the backend servers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::time::Duration;

use buckthornweir_standins::prelude::*;
use buckthornweir_wire::{DrainRequest, MetricsRequest, Reply, Request};
use support::deployment::{DOMAINS, Deployment, Observations};
use support::{alive, ask, wait_for};

/// How long callers send requests before, between and after faults.
const WORK_PERIOD: Duration = Duration::from_millis(700);

/// The size of a response that does not fit into the send buffer of a flow.
const LARGE_RESPONSE_BYTES: usize = 100_000;

async fn let_callers_run() {
    tokio::time::sleep(WORK_PERIOD).await;
}

/// Checks that no flow broke, every request was answered and none ran twice.
fn assert_undisturbed(deployment: &Deployment, observed: &Observations) {
    let tally = deployment.tally(&observed.records);
    assert_eq!(observed.broken, 0, "{tally:?}");
    assert_eq!(tally.answered, tally.sent, "{tally:?}");
    assert_eq!(tally.doubled, 0, "{tally:?}");
}

/// All agents are stopped gracefully and restarted, one after another. No flow may break, and no
/// request may be lost, run twice or be refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rolling_restart_of_agents_breaks_no_flow() {
    let mut deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    let_callers_run().await;
    let key = deployment.plan.cluster_key();
    for at in 0..deployment.agents.len() {
        deployment.agents[at].signal("TERM");
        assert_eq!(deployment.agents[at].ended().await, Some(0));
        let_callers_run().await;
        deployment.agents[at].restart();
        deployment.settle(1).await;
        let control = deployment.agents[at].planned.control;
        wait_for("the agent's members", async || {
            alive(control, key).await == 6
        })
        .await;
        let_callers_run().await;
    }
    let observed = callers.finish().await;
    assert_undisturbed(&deployment, &observed);
}

/// All balancers are killed and restarted, one after another. No flow may break.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn balancer_crashes_break_no_flow() {
    let mut deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    let_callers_run().await;
    for at in 0..deployment.balancers.len() {
        deployment.balancers[at].kill();
        let_callers_run().await;
        deployment.balancers[at].restart();
        deployment.settle(1).await;
        let_callers_run().await;
    }
    let observed = callers.finish().await;
    assert_undisturbed(&deployment, &observed);
}

/// An agent is killed. Only its own flows may break, no request may run twice, no request that ran may
/// be reported as not run, and new flows must be served.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn agent_crash_breaks_only_its_own_flows() {
    let mut deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    let_callers_run().await;
    let before = deployment.backends[0].records().len();
    deployment.agents[0].kill();
    let key = deployment.plan.cluster_key();
    let control = deployment.control.planned.control;
    wait_for("the death", async || alive(control, key).await == 5).await;
    let_callers_run().await;
    assert!(before > 0);
    let later_callers = deployment.callers(6).await;
    let_callers_run().await;
    for callers in [callers, later_callers] {
        let observed = callers.finish().await;
        let tally = deployment.tally(&observed.records);
        assert!(observed.broken < 12, "{tally:?}");
        assert_eq!(tally.doubled, 0, "{tally:?}");
        assert_eq!(tally.false_refusals, 0, "{tally:?}");
        assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    }
}

/// A failure domain that is taken out must get no requests after 3 s, and must get requests again when
/// it is back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn failure_domain_out_gets_no_requests_until_back() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    let_callers_run().await;
    deployment.push(2, DOMAINS[1]).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let entries = deployment.backends[1].records().len();
    let later_callers = deployment.callers(6).await;
    let_callers_run().await;
    assert_eq!(deployment.backends[1].records().len(), entries);
    deployment.push(3, "").await;
    deployment.settle(3).await;
    let final_callers = deployment.callers(24).await;
    let_callers_run().await;
    assert!(deployment.backends[1].records().len() > entries);
    for callers in [callers, later_callers, final_callers] {
        let observed = callers.finish().await;
        let tally = deployment.tally(&observed.records);
        assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
        assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    }
}

/// A balancer and an agent are paused and resumed. No flow may break and no request may run twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn pausing_processes_breaks_no_flow() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    let_callers_run().await;
    deployment.balancers[0].signal("STOP");
    let_callers_run().await;
    deployment.balancers[0].signal("CONT");
    deployment.agents[1].signal("STOP");
    let_callers_run().await;
    deployment.agents[1].signal("CONT");
    let_callers_run().await;
    deployment.settle(1).await;
    let observed = callers.finish().await;
    let tally = deployment.tally(&observed.records);
    assert_eq!(tally.doubled + tally.false_refusals, 0, "{tally:?}");
    assert_eq!(tally.wrong_service + tally.crossed, 0, "{tally:?}");
    assert_eq!(observed.broken, 0, "{tally:?}");
}

/// An operator drains an agent under load. Its backend server must get no requests after 3 s, no flow
/// may break, and no request may be lost or refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drained_agent_gets_no_requests_after_three_seconds() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    let_callers_run().await;
    let control = deployment.agents[0].planned.control;
    let request = Request::Drain(DrainRequest {});
    let reply = ask(control, deployment.plan.cluster_key(), request).await;
    assert!(matches!(reply, Some(Reply::Drain(reply)) if reply.draining));
    tokio::time::sleep(Duration::from_secs(3)).await;
    let entries = deployment.backends[0].records().len();
    let_callers_run().await;
    assert_eq!(deployment.backends[0].records().len(), entries);
    let observed = callers.finish().await;
    assert_undisturbed(&deployment, &observed);
}

/// An agent is drained while responses wait for space in the send buffers of their flows. These flows
/// must not be cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drain_does_not_cut_large_responses() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers_with(12, LARGE_RESPONSE_BYTES).await;
    let_callers_run().await;
    let control = deployment.agents[0].planned.control;
    let request = Request::Drain(DrainRequest {});
    let reply = ask(control, deployment.plan.cluster_key(), request).await;
    assert!(matches!(reply, Some(Reply::Drain(reply)) if reply.draining));
    let_callers_run().await;
    let observed = callers.finish().await;
    assert_undisturbed(&deployment, &observed);
}

/// A backend server reports that it is leaving and later that it is back. It must get no requests in
/// between, without broken flows, and must get requests again afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_backend_server_gets_no_requests_until_it_returns() {
    let deployment = Deployment::start(2, 3).await;
    let callers = deployment.callers(12).await;
    let_callers_run().await;
    deployment.backends[0].set_fault(Fault::Drain);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let entries = deployment.backends[0].records().len();
    let_callers_run().await;
    assert_eq!(deployment.backends[0].records().len(), entries);
    deployment.backends[0].set_fault(Fault::None);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let later_callers = deployment.callers(24).await;
    let_callers_run().await;
    assert!(deployment.backends[0].records().len() > entries);
    for callers in [callers, later_callers] {
        let observed = callers.finish().await;
        assert_undisturbed(&deployment, &observed);
    }
}

/// Backend servers show every kind of fault. No request may run twice, no request that ran may be
/// reported as not run, and no caller may accept a truncated response as complete.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn backend_faults_cause_no_false_reports() {
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
        let_callers_run().await;
        deployment.backends[0].set_fault(Fault::None);
        let_callers_run().await;
        let observed = callers.finish().await;
        let tally = deployment.tally(&observed.records);
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

/// A request with an idempotency key is repeated over other flows. It must run once, and each copy must
/// get the same response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeated_idempotency_key_runs_once() {
    let deployment = Deployment::start(2, 3).await;
    let send = async |key: &str| send_order(&deployment, key).await;
    // Holders of keys count each other as settled only after a delay.
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
        let ran: usize = deployment.backends.iter().map(|b| run_count(b, &key)).sum();
        assert_eq!(ran, 1, "{key}");
    }
}

/// Sends a request with an idempotency key on a new flow.
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

/// An agent is restarted gracefully while keyed requests are sent. All agents must be ready to hold keys
/// again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn restarted_agent_becomes_key_holder_again() {
    let mut deployment = Deployment::start(1, 3).await;
    for agent in &deployment.agents {
        wait_for_long("the first holders", async || {
            keys_ready(&deployment, agent).await
        })
        .await;
    }
    let orders = tokio::spawn(keyed_orders(deployment.fabric.clone()));
    let_callers_run().await;
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

/// Sends keyed requests one after another, some of them while an agent restarts.
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

/// Links between agents must be closed when they are idle, and reopened for the next request with a
/// key.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_links_are_closed_and_reopened() {
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
                has_metric(&deployment, agent, "links_open 0").await
            })
            .await;
        }
        let sent = send_order(&deployment, round).await;
        assert_eq!(sent.status, 200, "{round}: {sent:?}");
        let mut open = 0;
        for agent in &deployment.agents {
            open += usize::from(!has_metric(&deployment, agent, "links_open 0").await);
        }
        assert!(open > 0, "{round}");
    }
}

async fn keys_ready(deployment: &Deployment, agent: &support::Process) -> bool {
    has_metric(deployment, agent, "keys_ready 1").await
}

/// Returns whether the metrics of an agent include the line `metric`, which is a name and a value.
async fn has_metric(deployment: &Deployment, agent: &support::Process, metric: &str) -> bool {
    let key = deployment.plan.cluster_key();
    let request = Request::Metrics(MetricsRequest {});
    let line = format!("buckthornweir_{metric}\n");
    match ask(agent.planned.control, key, request).await {
        Some(Reply::Metrics(reply)) => reply.text.contains(&line),
        _ => false,
    }
}

/// An agent may check its backend server at any time during its start. Whatever the order, the balancer
/// must learn that the agent accepts flows.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn service_is_reachable_after_every_start() {
    let service = support::deployment::ORDERS.parse().unwrap();
    for start in 0..20 {
        let deployment = Deployment::start(1, 1).await;
        let connected = support::connect(&deployment.fabric, service);
        let connected = tokio::time::timeout(support::WAIT_TIMEOUT / 2, connected).await;
        assert!(connected.is_ok(), "start {start}");
    }
}

/// A flow is idle for longer than every other timeout of the agent, but not for its idle timeout. It must
/// stay open.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_flow_stays_open_below_idle_timeout() {
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

fn run_count(backend: &Backend, id: &str) -> usize {
    let records = backend.records();
    records
        .iter()
        .filter(|e| e.request_id == id && e.end.ran())
        .count()
}

/// Waits as [`wait_for`] does, with four times the timeout.
async fn wait_for_long(what: &str, mut done: impl AsyncFnMut() -> bool) {
    let deadline = std::time::Instant::now() + 4 * support::WAIT_TIMEOUT;
    while !done().await {
        assert!(
            std::time::Instant::now() < deadline,
            "timed out waiting for {what}"
        );
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}
