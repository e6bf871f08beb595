//! What one command of the operators' client costs.

use std::fs;
use std::process::{Command, Stdio};
use std::time::Instant;

use crate::deployment::{Deployment, Size, program};
use crate::slopes::{Point, print_slope};

/// How often the command runs at each size.
const RUNS: usize = 15;

/// One run of the client.
struct Run {
    seconds: f64,
    peak: f64,
    printed: f64,
}

/// Measures `buckthornweir status` against the processes of a deployment.
pub(crate) async fn status(agents: &[usize]) {
    let (mut time, mut memory, mut printed) = (Vec::new(), Vec::new(), Vec::new());
    for &agents in agents {
        let size = Size {
            controls: 1,
            balancers: 2,
            agents,
            services: 1,
        };
        let deployment = Deployment::start(size).await;
        let members = deployment.processes.len();
        let mut runs: Vec<Run> = (0..RUNS).filter_map(|_| run(&deployment)).collect();
        assert_eq!(runs.len(), RUNS, "a run of the client failed");
        runs.sort_by(|a, b| a.seconds.total_cmp(&b.seconds));
        let median = &runs[RUNS / 2];
        time.push(Point::new(members, median.seconds * 1e3));
        memory.push(Point::new(members, median.peak));
        printed.push(Point::new(members, median.printed));
    }
    print_slope("client: status", "members", "ms", &time);
    print_slope("client: peak memory of status", "members", "MB", &memory);
    print_slope("client: text of status", "members", "bytes", &printed);
}

/// Runs `status` once; the peak of its memory is the last one seen before it ended.
fn run(deployment: &Deployment) -> Option<Run> {
    let settings = deployment.folder.path().join("client.ini");
    let node = deployment.processes.first()?.planned.control;
    let text = format!("[client]\nnodes = {node}\nkey = {}\n", deployment.secret);
    fs::write(&settings, text).ok()?;
    let start = Instant::now();
    let mut command = Command::new(program("buckthornweir"));
    let command = command.arg("--settings").arg(&settings).arg("status");
    let child = command.stdout(Stdio::piped()).spawn().ok()?;
    let file = format!("/proc/{}/status", child.id());
    let mut peak = 0.0;
    while let Some(seen) = high_water(&file) {
        peak = seen;
    }
    let output = child.wait_with_output().ok()?;
    let seconds = start.elapsed().as_secs_f64();
    output.status.success().then_some(Run {
        seconds,
        peak,
        printed: output.stdout.len() as f64,
    })
}

/// Returns the peak resident memory in MB, or `None` when the process has ended.
fn high_water(file: &str) -> Option<f64> {
    let text = fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1.024e-3)
}
