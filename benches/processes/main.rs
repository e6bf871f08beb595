//! Measures the resource usage of daemon processes: idle, by number of services, with open flows, under requests.
//!
//! Run `cargo build --release -p buckthornweir_daemon` first. `cargo bench --bench processes` measures idle
//! processes with 3, 10 and 30 agents. The other measurements are selected by arguments:
//! `cargo bench --bench processes -- services 10 100 1100`, `-- control 3 5 7`, `-- flows 1000 4000 7143`,
//! `-- requests 200 500 1000` (per second), and `-- client 3 10 30` for the command-line client, which needs
//! `cargo build --release -p buckthornweir_cli`.

#[path = "../slopes/mod.rs"]
mod slopes;

mod client;
mod deployment;
mod load;
mod usage;

use std::time::{Duration, Instant};

use deployment::{Deployment, Process, Size};
use slopes::{Point, arguments, print_fit};
use usage::{Usage, UsageDelta};

/// Duration of a measurement.
pub(crate) const MEASUREMENT_PERIOD: Duration = Duration::from_secs(20);

/// Pause before a measurement, in which the processes become idle.
pub(crate) const QUIESCE_PERIOD: Duration = Duration::from_secs(10);

const ROLES: [&str; 3] = ["control", "balancer", "agent"];

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() {
    let args = arguments();
    let name = args.first().map_or("idle", String::as_str);
    let sizes: Vec<usize> = args.iter().filter_map(|text| text.parse().ok()).collect();
    let sizes_or = |default: [usize; 3]| match sizes.is_empty() {
        true => default.to_vec(),
        false => sizes.clone(),
    };
    match name {
        "services" => services(&sizes_or([10, 100, 1_100])).await,
        "control" => control(&sizes_or([3, 5, 7])).await,
        "client" => client::status(&sizes_or([3, 10, 30])).await,
        "flows" => load::flows(&sizes_or([1_000, 4_000, 7_143])).await,
        "requests" => load::requests(&sizes_or([200, 500, 1_000])).await,
        _ => idle(&sizes_or([3, 10, 30])).await,
    }
}

/// Mean usage of the processes of one role.
#[derive(Clone, Copy, Debug, Default)]
struct MeanUsage {
    resident: f64,
    anonymous: f64,
    sockets: f64,
    core: f64,
    sent: f64,
    received: f64,
}

/// Measures all processes for [`MEASUREMENT_PERIOD`], and returns the mean for each role.
async fn measure(deployment: &Deployment) -> Vec<MeanUsage> {
    let read = || -> Vec<Usage> { deployment.processes.iter().map(Process::usage).collect() };
    let before = read();
    tokio::time::sleep(MEASUREMENT_PERIOD).await;
    let after = read();
    let of_role = |role| {
        let mut mean = MeanUsage::default();
        let count = deployment.role(role).count() as f64;
        let all = deployment.processes.iter().zip(before.iter().zip(&after));
        for (_, (before, after)) in all.filter(|(process, _)| process.role == role) {
            let delta: UsageDelta = after.since(before);
            mean.resident += after.resident / count;
            mean.anonymous += after.anonymous / count;
            mean.sockets += after.sockets / count;
            mean.core += delta.core / count;
            mean.sent += delta.sent / count;
            mean.received += delta.received / count;
        }
        mean
    };
    ROLES.map(of_role).to_vec()
}

fn print_roles(sizes: &str, measured: &[(usize, Vec<MeanUsage>)]) {
    for (index, role) in ROLES.iter().enumerate() {
        let print = |name: &str, unit: &str, part: fn(&MeanUsage) -> f64| {
            let point =
                |(size, means): &(usize, Vec<MeanUsage>)| Point::new(*size, part(&means[index]));
            let points: Vec<Point> = measured.iter().map(point).collect();
            print_fit(&format!("{role}: {name}"), sizes, unit, &points);
        };
        print("resident memory", "MB", |mean| mean.resident);
        print("anonymous memory", "MB", |mean| mean.anonymous);
        print("open sockets", "sockets", |mean| mean.sockets);
        print("CPU", "% of a core", |mean| mean.core);
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
        tokio::time::sleep(QUIESCE_PERIOD).await;
        let members = deployment.processes.len();
        measured.push((members, measure(&deployment).await));
    }
    print_roles("members", &measured);
}

/// Measures processes by number of services in the bundle: three pushes, then idle.
async fn services(services: &[usize]) {
    let (mut measured, mut pushes, mut cpu_times) = (Vec::new(), Vec::new(), Vec::new());
    for &services in services {
        let size = Size {
            controls: 1,
            balancers: 1,
            agents: 3,
            services,
        };
        let deployment = Deployment::start(size).await;
        tokio::time::sleep(QUIESCE_PERIOD).await;
        let balancer =
            |deployment: &Deployment| deployment.role("balancer").next().map(Process::usage);
        let before = balancer(&deployment);
        let mut slowest = Duration::ZERO;
        for version in 2..=4 {
            let took = deployment.push(version).await;
            slowest = slowest.max(took.unwrap_or(Duration::MAX));
        }
        tokio::time::sleep(QUIESCE_PERIOD).await;
        if let (Some(before), Some(after)) = (before, balancer(&deployment)) {
            cpu_times.push(Point::new(
                services,
                after.since(&before).cpu_seconds / 3.0 * 1e3,
            ));
        }
        pushes.push(Point::new(services, slowest.as_secs_f64()));
        measured.push((services, measure(&deployment).await));
    }
    print_roles("services", &measured);
    print_fit(
        "slowest of three pushes, until in force",
        "services",
        "s",
        &pushes,
    );
    print_fit("balancer: CPU per push", "services", "ms", &cpu_times);
}

/// Measures control processes with a bundle of 1,100 services: idle, and over three pushes that change one key
/// each.
async fn control(controls: &[usize]) {
    for &controls in controls {
        let size = Size {
            controls,
            balancers: 1,
            agents: 3,
            services: 1_100,
        };
        let deployment = Deployment::start(size).await;
        tokio::time::sleep(QUIESCE_PERIOD).await;
        let read = || -> Vec<Usage> { deployment.processes.iter().map(Process::usage).collect() };
        let idle_start = read();
        tokio::time::sleep(MEASUREMENT_PERIOD).await;
        let push_start = read();
        let began = Instant::now();
        for version in 2..=4 {
            let took = deployment.push(version).await;
            println!("{controls} control processes, push {version}: {took:?}");
        }
        tokio::time::sleep(QUIESCE_PERIOD).await;
        let after = read();
        let seconds = began.elapsed().as_secs_f64();
        println!(
            "role leads MB idle_% idle_sent_B/s idle_log_B/s cpu_ms log_B_above_idle bundle_sent_B bundle_received_B"
        );
        for (index, process) in deployment.processes.iter().enumerate() {
            let (idle_usage, pushes) = (
                push_start[index].since(&idle_start[index]),
                after[index].since(&push_start[index]),
            );
            let leads = after[index].metric("quorum_leader");
            let (memory, cpu_ms) = (after[index].resident, pushes.cpu_seconds * 1e3);
            let idle_log = idle_usage.log_bytes / MEASUREMENT_PERIOD.as_secs_f64();
            println!(
                "{} {leads} {memory:.1} {:.2} {:.0} {idle_log:.0} {cpu_ms:.0} {:.0} {} {}",
                process.role,
                idle_usage.core,
                idle_usage.sent,
                pushes.log_bytes - idle_log * seconds,
                pushes.bundle_sent,
                pushes.bundle_received
            );
        }
    }
}
