//! Measures the time and memory of one command of the operators' client.

use std::fs;
use std::process::{Command, Stdio};
use std::time::Instant;

use crate::deployment::{Deployment, Size, program};
use crate::slopes::{Point, print_fit};

/// Number of runs of the command at each size.
const RUNS: usize = 15;

/// Measurements of one run of the client.
struct Run {
    seconds: f64,
    peak_mb: f64,
    output_bytes: f64,
}

/// Measures `buckthornweir status` against the processes of a deployment.
pub(crate) async fn status(agents: &[usize]) {
    let (mut time, mut memory, mut output) = (Vec::new(), Vec::new(), Vec::new());
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
        memory.push(Point::new(members, median.peak_mb));
        output.push(Point::new(members, median.output_bytes));
    }
    print_fit("client: status", "members", "ms", &time);
    print_fit("client: peak memory of status", "members", "MB", &memory);
    print_fit("client: output of status", "members", "bytes", &output);
}

/// Runs `status` once. The peak memory is the last value read before the process exited.
fn run(deployment: &Deployment) -> Option<Run> {
    let settings = deployment.folder.path().join("client.ini");
    let node = deployment.processes.first()?.planned.control;
    let text = format!(
        "[client]\nnodes = {node}\nkey = {}\n",
        deployment.key_digits
    );
    fs::write(&settings, text).ok()?;
    let start = Instant::now();
    let mut command = Command::new(program("buckthornweir"));
    let command = command.arg("--settings").arg(&settings).arg("status");
    let child = command.stdout(Stdio::piped()).spawn().ok()?;
    let file = format!("/proc/{}/status", child.id());
    let mut peak_mb = 0.0;
    while let Some(latest) = read_peak_mb(&file) {
        peak_mb = latest;
    }
    let output = child.wait_with_output().ok()?;
    let seconds = start.elapsed().as_secs_f64();
    output.status.success().then_some(Run {
        seconds,
        peak_mb,
        output_bytes: output.stdout.len() as f64,
    })
}

/// Returns the peak resident memory in MB, or `None` if the process has exited.
fn read_peak_mb(file: &str) -> Option<f64> {
    let text = fs::read_to_string(file).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: f64 = line.split_whitespace().next()?.parse().ok()?;
    Some(kib * 1.024e-3)
}
