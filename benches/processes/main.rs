//! What whole processes of the daemon cost: idle, against services, with open flows, with requests.
//!
//! `cargo build --release -p buckthornweir_daemon` comes first. Then `cargo bench --bench processes`
//! measures idle processes with 3, 10 and 30 agents, and
//! `cargo bench --bench processes -- services 10 100 1100`, `-- control 3 5 7`, `-- flows 1000 4000 7143` and
//! `-- requests 200 500 1000` (a second) the rest, and `-- client 3 10 30` the command-line client after
//! `cargo build --release -p buckthornweir_cli`.

#[path = "../slopes/mod.rs"]
mod slopes;

mod client;
mod deployment;
mod load;
mod usage;

use std::time::{Duration, Instant};

use deployment::{Deployment, Process, Size};
use slopes::{Point, arguments, print_slope};
use usage::{Rate, Usage};

/// How long processes are measured.
pub(crate) const LENGTH: Duration = Duration::from_secs(20);

/// How long processes are left alone before they are measured.
pub(crate) const QUIET: Duration = Duration::from_secs(10);

const ROLES: [&str; 3] = ["control", "balancer", "agent"];

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let given = arguments();
    let name = given.first().map_or("idle", String::as_str);
    let sizes: Vec<usize> = given.iter().filter_map(|text| text.parse().ok()).collect();
    let or = |default: [usize; 3]| match sizes.is_empty() {
        true => default.to_vec(),
        false => sizes.clone(),
    };
    match name {
        "services" => services(&or([10, 100, 1_100])).await,
        "control" => control(&or([3, 5, 7])).await,
        "client" => client::status(&or([3, 10, 30])).await,
        "flows" => load::flows(&or([1_000, 4_000, 7_143])).await,
        "requests" => load::requests(&or([200, 500, 1_000])).await,
        _ => idle(&or([3, 10, 30])).await,
    }
}

/// The mean over the processes of one role.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    resident: f64,
    private: f64,
    sockets: f64,
    core: f64,
    sent: f64,
    received: f64,
}

/// Measures all processes for a while, and returns the mean for each role.
async fn measure(deployment: &Deployment) -> Vec<Mean> {
    let read = || -> Vec<Usage> { deployment.processes.iter().map(Process::usage).collect() };
    let before = read();
    tokio::time::sleep(LENGTH).await;
    let after = read();
    let of_role = |role| {
        let mut mean = Mean::default();
        let count = deployment.role(role).count() as f64;
        let all = deployment.processes.iter().zip(before.iter().zip(&after));
        for (_, (before, after)) in all.filter(|(process, _)| process.role == role) {
            let rate: Rate = after.since(before);
            mean.resident += after.resident / count;
            mean.private += after.private / count;
            mean.sockets += after.sockets / count;
            mean.core += rate.core / count;
            mean.sent += rate.sent / count;
            mean.received += rate.received / count;
        }
        mean
    };
    ROLES.map(of_role).to_vec()
}

fn print_roles(sizes: &str, measured: &[(usize, Vec<Mean>)]) {
    for (at, role) in ROLES.iter().enumerate() {
        let print = |what: &str, unit: &str, part: fn(&Mean) -> f64| {
            let point = |(size, means): &(usize, Vec<Mean>)| Point::new(*size, part(&means[at]));
            let points: Vec<Point> = measured.iter().map(point).collect();
            print_slope(&format!("{role}: {what}"), sizes, unit, &points);
        };
        print("resident memory", "MB", |mean| mean.resident);
        print("of it no file", "MB", |mean| mean.private);
        print("open sockets", "sockets", |mean| mean.sockets);
        print("processor", "% of a core", |mean| mean.core);
        print("control sent", "B/s", |mean| mean.sent);
        print("control received", "B/s", |mean| mean.received);
    }
}

async fn idle(agents: &[usize]) {
    let mut measured = Vec::new();
    for &agents in agents {
        let size = Size {
            controls: 1,
            balancers: 2,
            agents,
            services: 1,
        };
        let deployment = Deployment::start(size).await;
        tokio::time::sleep(QUIET).await;
        let members = deployment.processes.len();
        measured.push((members, measure(&deployment).await));
    }
    print_roles("members", &measured);
}

/// Measures idle processes that hold a bundle of some services, after three pushes of it.
async fn services(services: &[usize]) {
    let (mut measured, mut pushes, mut busy) = (Vec::new(), Vec::new(), Vec::new());
    for &services in services {
        let size = Size {
            controls: 1,
            balancers: 1,
            agents: 3,
            services,
        };
        let deployment = Deployment::start(size).await;
        tokio::time::sleep(QUIET).await;
        let balancer =
            |deployment: &Deployment| deployment.role("balancer").next().map(Process::usage);
        let before = balancer(&deployment);
        let mut slowest = Duration::ZERO;
        for version in 2..=4 {
            let took = deployment.push(version).await;
            slowest = slowest.max(took.unwrap_or(Duration::MAX));
        }
        tokio::time::sleep(QUIET).await;
        if let (Some(before), Some(after)) = (before, balancer(&deployment)) {
            busy.push(Point::new(services, after.since(&before).busy / 3.0 * 1e3));
        }
        pushes.push(Point::new(services, slowest.as_secs_f64()));
        measured.push((services, measure(&deployment).await));
    }
    print_roles("services", &measured);
    print_slope(
        "slowest of three pushes, in force",
        "services",
        "s",
        &pushes,
    );
    print_slope("balancer: processor a push", "services", "ms", &busy);
}

/// Measures 3, 5 or 7 control processes with a bundle of 1,100 services: idle, and over three pushes that
/// change one key each.
async fn control(controls: &[usize]) {
    for &controls in controls {
        let size = Size {
            controls,
            balancers: 1,
            agents: 3,
            services: 1_100,
        };
        let deployment = Deployment::start(size).await;
        tokio::time::sleep(QUIET).await;
        let read = || -> Vec<Usage> { deployment.processes.iter().map(Process::usage).collect() };
        let idle = read();
        tokio::time::sleep(LENGTH).await;
        let before = read();
        let began = Instant::now();
        for version in 2..=4 {
            let took = deployment.push(version).await;
            println!("{controls} control processes, push {version}: {took:?}");
        }
        tokio::time::sleep(QUIET).await;
        let after = read();
        let length = began.elapsed().as_secs_f64();
        println!(
            "role leads MB idle_% idle_sent_B/s idle_log_B/s busy_ms log_B_beyond_idle given_B pulled_B"
        );
        for (at, process) in deployment.processes.iter().enumerate() {
            let (quiet, pushes) = (before[at].since(&idle[at]), after[at].since(&before[at]));
            let leads = after[at].metric("quorum_leader");
            let (memory, busy) = (after[at].resident, pushes.busy * 1e3);
            let idle_log = quiet.log / LENGTH.as_secs_f64();
            println!(
                "{} {leads} {memory:.1} {:.2} {:.0} {idle_log:.0} {busy:.0} {:.0} {} {}",
                process.role,
                quiet.core,
                quiet.sent,
                pushes.log - idle_log * length,
                pushes.given,
                pushes.pulled
            );
        }
    }
}
