//! Measures one balancer and one agent under load: open flows and requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use buckthornweir_standins::prelude::*;
use http::Request;
use http_body_util::Full;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::deployment::{Deployment, ORDERS, Size};
use crate::slopes::{Point, print_fit};
use crate::usage::Usage;
use crate::{MEASUREMENT_PERIOD, QUIESCE_PERIOD};

/// Measurement period of idle flows: several rounds of the probes, which are sent every 15 s.
const IDLE_PERIOD: Duration = Duration::from_secs(45);

/// Pause between opening the flows and measuring them.
const SETTLE_DELAY: Duration = Duration::from_secs(2);

/// Maximum number of flows that are opened concurrently.
const MAX_CONCURRENT_OPENS: usize = 128;

/// Number of flows that carry the requests.
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

/// Opens `count` flows in concurrent batches, and replaces those that fail.
async fn open_flows(fabric: &Arc<Fabric>, count: usize) -> Vec<HttpCaller> {
    let service = ORDERS.parse().expect("an address");
    let mut callers = Vec::new();
    while callers.len() < count {
        let batch_size = MAX_CONCURRENT_OPENS.min(count - callers.len());
        let mut tasks = JoinSet::new();
        for _ in 0..batch_size {
            let fabric = fabric.clone();
            tasks.spawn(async move { HttpCaller::connect(&fabric, service).await.ok() });
        }
        let results = tasks.join_all().await;
        let opened: Vec<HttpCaller> = results.into_iter().flatten().collect();
        assert!(!opened.is_empty(), "no flow could be opened");
        callers.extend(opened);
    }
    callers
}

/// Measures memory and CPU time of an agent that owns idle flows.
pub(crate) async fn flows(counts: &[usize]) {
    let (mut memory, mut core, mut open_times) = (Vec::new(), Vec::new(), Vec::new());
    for &count in counts {
        let deployment = Deployment::start(SIZE).await;
        tokio::time::sleep(QUIESCE_PERIOD).await;
        let empty = usage(&deployment, "agent");
        let callers = open_flows(&deployment.fabric, count).await;
        let opened = usage(&deployment, "agent");
        tokio::time::sleep(SETTLE_DELAY).await;
        let before = usage(&deployment, "agent");
        tokio::time::sleep(IDLE_PERIOD).await;
        let after = usage(&deployment, "agent");
        let open = [&before, &after].map(|usage| usage.metric("flows_open"));
        println!(
            "{count} flows: {} open at the agent, {} after {IDLE_PERIOD:?}",
            open[0], open[1]
        );
        let idle = after.since(&before);
        memory.push(Point::new(count, after.resident - empty.resident));
        core.push(Point::new(count, idle.core));
        open_times.push(Point::new(count, opened.since(&empty).cpu_seconds * 1e3));
        drop(callers);
    }
    print_fit("agent: memory of idle flows", "flows", "MB", &memory);
    print_fit("agent: idle flows", "flows", "% of a core", &core);
    print_fit("agent: opening flows", "flows", "ms CPU", &open_times);
}

/// Measures CPU time by packets and requests per second.
pub(crate) async fn requests(rates: &[usize]) {
    let (mut balancer, mut agent) = (Vec::new(), Vec::new());
    for &rate in rates {
        let deployment = Deployment::start(SIZE).await;
        let callers = open_flows(&deployment.fabric, CALLERS).await;
        tokio::time::sleep(QUIESCE_PERIOD).await;
        let read = || ["balancer", "agent"].map(|role| usage(&deployment, role));
        let before = read();
        let answered = send_requests(callers, rate).await;
        let after = read();
        let seconds = MEASUREMENT_PERIOD.as_secs_f64();
        let packets = after[0].metric("packets_in_total") - before[0].metric("packets_in_total");
        println!(
            "{rate} requests per second offered, {:.1} answered, {:.1} packets per second",
            answered as f64 / seconds,
            packets / seconds
        );
        let cpu_rates =
            [0, 1].map(|index| after[index].since(&before[index]).cpu_seconds * 1e6 / seconds);
        balancer.push(Point {
            size: packets / seconds,
            value: cpu_rates[0],
        });
        agent.push(Point::new(answered, cpu_rates[1] * seconds));
    }
    print_fit("balancer: CPU", "packets/s", "us/s", &balancer);
    print_fit("agent: CPU", "requests", "us", &agent);
}

/// Sends requests at a constant rate for the measurement period. Returns the number of successful responses.
async fn send_requests(callers: Vec<HttpCaller>, rate: usize) -> usize {
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let interval = Duration::from_secs_f64(callers.len() as f64 / rate as f64);
    let mut tasks = JoinSet::new();
    for (number, caller) in callers.into_iter().enumerate() {
        let delay = interval.mul_f64(number as f64 / CALLERS as f64);
        tasks.spawn(call(
            caller,
            delay,
            interval,
            stop.clone(),
            answered.clone(),
        ));
    }
    tokio::time::sleep(MEASUREMENT_PERIOD).await;
    stop.store(true, Ordering::Relaxed);
    let count = answered.load(Ordering::Relaxed);
    tasks.abort_all();
    count
}

async fn call(
    mut caller: HttpCaller,
    delay: Duration,
    interval: Duration,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
) {
    tokio::time::sleep(delay).await;
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
        due += interval;
        tokio::time::sleep_until(due).await;
    }
}
