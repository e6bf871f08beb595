//! End-to-end test in separate processes: 2 balancers, 3 agents of 2 services in 2 failure domains
//! and 1 control process. Each packet goes to a randomly chosen balancer.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;

use buckthornweir_standins::free_tcp;
use buckthornweir_standins::prelude::*;
use buckthornweir_wire::PushOutcome;
use support::{Process, alive, connect, plan, push, signed, status, wait_for};

const BUNDLE: &str = "
[bundle]
version = 1
[domain fj-west-a]
region = fj-west
[domain fj-west-b]
region = fj-west
[service orders]
addresses = 10.100.0.1:80
domains = fj-west-a, fj-west-b
[service sheets]
addresses = 10.100.0.2:80
domains = fj-west-a, fj-west-b
";

const SERVICES: [(&str, &str); 2] = [("orders", "10.100.0.1:80"), ("sheets", "10.100.0.2:80")];

/// The number of callers of each service.
const CALLERS: usize = 8;

/// The number of consecutive requests of each caller.
const REQUESTS: usize = 20;

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn responses_are_complete_and_from_the_requested_service() {
    let mut plan = plan();
    let folder = tempfile::tempdir().unwrap();
    let agents = [
        ("orders-1", "orders", "fj-west-a"),
        ("orders-2", "orders", "fj-west-b"),
        ("sheets-1", "sheets", "fj-west-a"),
    ];
    let mut backends = Vec::new();
    for (name, service, _) in agents {
        let config = BackendConfig::new(free_tcp(), name, service);
        backends.push(Backend::start(config).await.unwrap());
    }
    let bind = "127.0.0.1:0".parse().unwrap();
    let fabric = Fabric::start(FabricConfig::new(bind, 3)).await.unwrap();
    let mut planned = vec![plan.control("control-1", "fj-west-a", &folder.path().join("data"))];
    planned.push(plan.balancer("balancer-1", "fj-west-a"));
    planned.push(plan.balancer("balancer-2", "fj-west-b"));
    for ((name, service, domain), backend) in agents.iter().zip(&backends) {
        let name = format!("agent-{name}");
        planned.push(plan.agent(&name, domain, service, backend.addr(), fabric.addr()));
    }
    fabric.set_balancers(planned.iter().filter_map(|p| p.fabric).collect());
    let processes: Vec<Process> = planned
        .into_iter()
        .map(|p| Process::start(p, &folder))
        .collect();
    let key = plan.cluster_key();
    let control = processes[0].planned.control;
    wait_for("control", async || status(control, key).await.is_some()).await;
    let reply = push(control, key, signed(BUNDLE)).await;
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
    let mut tasks = Vec::new();
    for (service, address) in SERVICES {
        for index in 0..CALLERS {
            let caller = connect(&fabric, address.parse::<SocketAddr>().unwrap()).await;
            tasks.push(tokio::spawn(call(caller, service, index)));
        }
    }
    for task in tasks {
        task.await.unwrap();
    }
    let ran: usize = backends.iter().map(|b| b.records().len()).sum();
    assert_eq!(ran, SERVICES.len() * CALLERS * REQUESTS);
}

async fn call(mut caller: HttpCaller, service: &str, index: usize) {
    for count in 0..REQUESTS {
        let id = format!("{service}-{index}-{count}");
        let request = http::Request::get(format!("/{id}?bytes={}", count * 700))
            .header("x-request-id", &id)
            .body(http_body_util::Full::default())
            .unwrap();
        let response = caller.send(request).await.unwrap();
        assert_eq!(response.status, 200, "{id}");
        let echo = response.echo().unwrap();
        assert_eq!(echo.service, service);
        assert_eq!(echo.request_id, id);
        assert_eq!(echo.padding.len(), count * 700);
    }
}
