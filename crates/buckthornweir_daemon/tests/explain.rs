//! Explanations of routes by real processes, compared with where the flows go.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use buckthornweir_standins::free_tcp;
use buckthornweir_standins::prelude::*;
use buckthornweir_wire::{
    CandidateVerdict, ExplainOutcome, ExplainReply, ExplainRequest, PushOutcome, Reply, Request,
};
use support::deployment::{Deployment, ORDERS};
use support::{Process, alive, ask, connect, plan, push, signed, status, wait_for};

/// The number of flows whose agent is foretold.
const FLOWS: usize = 20;

const AGENTS: usize = 3;

const PRESSES: &str = "10.100.0.9:9100";

const BUNDLE: &str = "
[bundle]
version = 1
[domain gulberg]
region = lahore
[service presses]
addresses = 10.100.0.9:9100
protocol = tcp
domains = gulberg
";

async fn explain(
    process: &Process,
    key: &str,
    caller: SocketAddr,
    service: SocketAddr,
) -> ExplainReply {
    let request = Request::Explain(ExplainRequest {
        caller: caller.to_string(),
        service: service.to_string(),
        key: b"order-1".to_vec(),
    });
    match ask(process.planned.control, key, request).await {
        Some(Reply::Explain(reply)) => reply,
        other => panic!("explain was answered by {other:?}"),
    }
}

fn chosen(reply: &ExplainReply) -> String {
    assert_eq!(reply.outcome(), ExplainOutcome::Explained, "{reply:?}");
    let first = &reply.candidates[0];
    assert_eq!(first.verdict(), CandidateVerdict::Chosen, "{reply:?}");
    first.name.clone()
}

/// Returns the number of open flows at each agent.
async fn open_flows(deployment: &Deployment) -> BTreeMap<String, u64> {
    let mut flows = BTreeMap::new();
    for agent in &deployment.agents {
        let status = status(agent.planned.control, deployment.plan.cluster_key()).await;
        let status = status.unwrap();
        flows.insert(status.name, status.flows);
    }
    flows
}

/// Guards against explanations of `http` services that differ from the data path.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn flows_of_an_http_service_open_at_the_foretold_agent() {
    let deployment = Deployment::start(2, AGENTS).await;
    let key = deployment.plan.cluster_key();
    let service: SocketAddr = ORDERS.parse().unwrap();
    // Flows are opened only once all agents have settled, since an unsettled one passes them on.
    let _ready = connect(&deployment.fabric, service).await;
    settle(&deployment.balancers, key, service).await;
    let mut expected = open_flows(&deployment).await;
    let mut callers = Vec::new();
    for number in 0..FLOWS {
        let caller = deployment.fabric.next_caller(service);
        let balancer = &deployment.balancers[number % deployment.balancers.len()];
        let reply = explain(balancer, key, caller, service).await;
        let connected = HttpCaller::connect(&deployment.fabric, service).await;
        let connected = connected.unwrap();
        assert_eq!(connected.local_addr(), caller);
        callers.push(connected);
        *expected.get_mut(&chosen(&reply)).unwrap() += 1;
        assert_eq!(open_flows(&deployment).await, expected, "flow {number}");
        assert!(reply.limits.is_some(), "{reply:?}");
        assert_eq!(reply.key_holders.len(), AGENTS, "{reply:?}");
        assert!(reply.next != reply.candidates[0].name, "{reply:?}");
    }
    let other = "10.100.0.99:80".parse().unwrap();
    let caller = deployment.fabric.next_caller(service);
    let unknown = explain(&deployment.balancers[0], key, caller, other).await;
    assert_eq!(unknown.outcome(), ExplainOutcome::NoService);
    let ipv6 = "[fd00::1]:80".parse().unwrap();
    let invalid = explain(&deployment.balancers[0], key, caller, ipv6).await;
    assert_eq!(invalid.outcome(), ExplainOutcome::Invalid);
    for process in [&deployment.control, &deployment.agents[0]] {
        let reply = explain(process, key, caller, service).await;
        assert_eq!(reply.outcome(), ExplainOutcome::NotBalancer);
        assert_eq!(reply.process, process.planned.name);
    }
}

/// Waits until the candidates have stayed the same for longer than an agent needs to settle.
async fn settle(balancers: &[Process], key: &str, service: SocketAddr) {
    const UNCHANGED_MILLIS: u64 = 4_000;
    let caller = "10.200.0.1:1".parse().unwrap();
    for balancer in balancers {
        wait_for("a view that stays unchanged", async || {
            let reply = explain(balancer, key, caller, service).await;
            reply.candidates.len() == AGENTS && reply.view_age_millis >= UNCHANGED_MILLIS
        })
        .await;
    }
}

/// Guards against explanations of `tcp` services that differ from the data path. The banner of the
/// backend server names the agent.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn flows_of_a_tcp_service_open_at_the_foretold_agent() {
    let mut plan = plan();
    let folder = tempfile::tempdir().unwrap();
    let bind = "127.0.0.1:0".parse().unwrap();
    let fabric = Fabric::start(FabricConfig::new(bind, 5)).await.unwrap();
    let data = folder.path().join("data");
    let control = Process::start(plan.control("control-1", "gulberg", &data), &folder);
    let balancer = Process::start(plan.balancer("balancer-1", "gulberg"), &folder);
    let mut backends = Vec::new();
    let mut agents = Vec::new();
    for number in 0..AGENTS {
        let name = format!("agent-{number}");
        let echo = EchoBackend::start(free_tcp(), &name, "presses").await;
        let echo = echo.unwrap();
        let planned = plan.agent(&name, "gulberg", "presses", echo.addr(), fabric.addr());
        agents.push(Process::start(planned, &folder));
        backends.push(echo);
    }
    fabric.set_balancers(balancer.planned.fabric.into_iter().collect());
    let key = plan.cluster_key();
    let address = control.planned.control;
    wait_for("control", async || status(address, key).await.is_some()).await;
    let service = PRESSES.parse().unwrap();
    let caller = fabric.next_caller(service);
    let early = explain(&balancer, key, caller, service).await;
    assert_eq!(early.outcome(), ExplainOutcome::NoBundle);
    let reply = push(address, key, signed(BUNDLE)).await;
    assert_eq!(reply.outcome(), PushOutcome::Accepted);
    wait_for("all members", async || {
        alive(balancer.planned.control, key).await == AGENTS + 2
    })
    .await;
    settle(std::slice::from_ref(&balancer), key, service).await;
    for number in 0..FLOWS {
        let caller = fabric.next_caller(service);
        let reply = explain(&balancer, key, caller, service).await;
        let stream = fabric.connect(service).await.unwrap();
        assert_eq!(stream.local_addr(), caller);
        let banner = read_banner(stream).await;
        let expected = format!("service=presses backend={}\n", chosen(&reply));
        assert_eq!(banner, expected, "flow {number}");
        assert!(reply.limits.is_none(), "{reply:?}");
    }
}

async fn read_banner(stream: CallerStream) -> String {
    use tokio::io::{AsyncBufReadExt, BufReader};
    let mut banner = String::new();
    let read = BufReader::new(stream).read_line(&mut banner).await;
    read.unwrap();
    banner
}
