//! One balancer and one agent that carry flows and requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use buckthornweir_standins::prelude::*;
use http::Request;
use http_body_util::Full;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment::{Deployment, ORDERS, Size};
use crate::slopes::{Point, print_slope};
use crate::usage::Usage;
use crate::{LENGTH, QUIET};

/// How long silent flows are measured: some rounds of the probes that go out each 15 s.
const SILENT: Duration = Duration::from_secs(45);

/// How long flows are left alone before they are measured.
const SETTLE: Duration = Duration::from_secs(2);

/// Flows that are opened at a time.
const AT_ONCE: usize = 128;

/// Flows that carry the requests.
const CALLERS: usize = 200;

const SIZE: Size = Size {
    controls: 1,
    balancers: 1,
    agents: 1,
    services: 1,
};

fn usage(deployment: &Deployment, role: &str) -> Usage {
    let process = deployment.role(role).next();
    process.expect("one process of each role").usage()
}

/// Opens flows, so many at a time; flows that fail are left out.
async fn open(fabric: &Arc<Fabric>, count: usize) -> Vec<HttpCaller> {
    let service = ORDERS.parse().expect("an address");
    let mut callers = Vec::new();
    while callers.len() < count {
        let now = AT_ONCE.min(count - callers.len());
        let mut tasks = JoinSet::new();
        for _ in 0..now {
            let fabric = fabric.clone();
            tasks.spawn(async move { HttpCaller::connect(&fabric, service).await.ok() });
        }
        let opened = tasks.join_all().await;
        let opened: Vec<HttpCaller> = opened.into_iter().flatten().collect();
        assert!(!opened.is_empty(), "no flow could be opened");
        callers.extend(opened);
    }
    callers
}

/// Measures memory and processor time of an agent that holds silent flows.
pub(crate) async fn flows(counts: &[usize]) {
    let (mut memory, mut core, mut opening) = (Vec::new(), Vec::new(), Vec::new());
    for &count in counts {
        let deployment = Deployment::start(SIZE).await;
        tokio::time::sleep(QUIET).await;
        let empty = usage(&deployment, "agent");
        let callers = open(&deployment.fabric, count).await;
        let opened = usage(&deployment, "agent");
        tokio::time::sleep(SETTLE).await;
        let before = usage(&deployment, "agent");
        tokio::time::sleep(SILENT).await;
        let after = usage(&deployment, "agent");
        let open = [&before, &after].map(|usage| usage.metric("flows_open"));
        println!(
            "{count} flows: {} open at the agent, {} after {SILENT:?}",
            open[0], open[1]
        );
        let idle = after.since(&before);
        memory.push(Point::new(count, after.resident - empty.resident));
        core.push(Point::new(count, idle.core));
        opening.push(Point::new(count, opened.since(&empty).busy * 1e3));
        drop(callers);
    }
    print_slope("agent: memory of silent flows", "flows", "MB", &memory);
    print_slope("agent: silent flows", "flows", "% of a core", &core);
    print_slope("agent: opening flows", "flows", "ms of processor", &opening);
}

/// Measures processor time against packets and requests a second.
pub(crate) async fn requests(rates: &[usize]) {
    let (mut balancer, mut agent) = (Vec::new(), Vec::new());
    for &rate in rates {
        let deployment = Deployment::start(SIZE).await;
        let callers = open(&deployment.fabric, CALLERS).await;
        tokio::time::sleep(QUIET).await;
        let read = || ["balancer", "agent"].map(|role| usage(&deployment, role));
        let before = read();
        let answered = run(callers, rate).await;
        let after = read();
        let seconds = LENGTH.as_secs_f64();
        let packets = after[0].metric("packets_in_total") - before[0].metric("packets_in_total");
        println!(
            "{rate} requests a second asked, {:.1} answered, {:.1} packets a second",
            answered as f64 / seconds,
            packets / seconds
        );
        let rates = [0, 1].map(|at| after[at].since(&before[at]).busy * 1e6 / seconds);
        balancer.push(Point {
            size: packets / seconds,
            value: rates[0],
        });
        agent.push(Point::new(answered, rates[1] * seconds));
    }
    print_slope("balancer: processor", "packets/s", "us/s", &balancer);
    print_slope("agent: processor", "requests", "us", &agent);
}

/// Sends requests at a steady rate for a while, and returns how many were answered.
async fn run(callers: Vec<HttpCaller>, rate: usize) -> usize {
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let pause = Duration::from_secs_f64(callers.len() as f64 / rate as f64);
    let mut tasks = JoinSet::new();
    for (number, caller) in callers.into_iter().enumerate() {
        let lag = pause.mul_f64(number as f64 / CALLERS as f64);
        tasks.spawn(call(caller, lag, pause, stop.clone(), answered.clone()));
    }
    tokio::time::sleep(LENGTH).await;
    stop.store(true, Ordering::Relaxed);
    let count = answered.load(Ordering::Relaxed);
    tasks.abort_all();
    count
}

async fn call(
    mut caller: HttpCaller,
    lag: Duration,
    pause: Duration,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
) {
    tokio::time::sleep(lag).await;
    let mut due = Instant::now();
    while !stop.load(Ordering::Relaxed) {
        let Ok(request) = Request::get("/bench?bytes=200").body(Full::default()) else {
            return;
        };
        let answer = caller.send(request).await;
        match answer {
            Ok(answer) if answer.status.is_success() => answered.fetch_add(1, Ordering::Relaxed),
            Ok(_) => 0,
            Err(_) => return,
        };
        due += pause;
        tokio::time::sleep_until(due).await;
    }
}
