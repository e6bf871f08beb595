//! Resource usage of a process, from `/proc` and its own metrics.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Timeout of reading a process's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Clock ticks per second, the unit of CPU times in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process at one time.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    at: Instant,
    /// Resident memory in MB.
    pub(crate) resident: f64,
    /// Anonymous part of the resident memory in MB.
    pub(crate) anonymous: f64,
    /// Number of open sockets.
    pub(crate) sockets: f64,
    cpu_seconds: f64,
    metrics: String,
}

/// Resource usage of a process between two times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UsageDelta {
    /// CPU time in percent of a core.
    pub(crate) core: f64,
    /// Total CPU time in seconds.
    pub(crate) cpu_seconds: f64,
    /// Control bytes sent per second.
    pub(crate) sent: f64,
    /// Control bytes received per second.
    pub(crate) received: f64,
    /// Total bytes of the control log sent.
    pub(crate) log_bytes: f64,
    /// Total bytes of bundles sent to other processes.
    pub(crate) bundle_sent: f64,
    /// Total bytes of bundles pulled from other processes.
    pub(crate) bundle_received: f64,
}

impl Usage {
    /// Reads the usage of the process with the id `process`, and its metrics page.
    pub(crate) fn read(process: u32, metrics: SocketAddr) -> Self {
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        Self {
            at: Instant::now(),
            resident: kilobytes(&status, "VmRSS:") / 1e3,
            anonymous: kilobytes(&status, "RssAnon:") / 1e3,
            sockets: count_sockets(process),
            cpu_seconds: cpu_seconds(&stat),
            metrics: metrics_page(metrics).unwrap_or_default(),
        }
    }

    /// Returns the usage since `before`.
    pub(crate) fn since(&self, before: &Self) -> UsageDelta {
        let time = (self.at - before.at).as_secs_f64();
        let cpu_seconds = self.cpu_seconds - before.cpu_seconds;
        let total = |name| self.metric(name) - before.metric(name);
        let rate = |name| total(name) / time;
        UsageDelta {
            core: cpu_seconds / time * 100.0,
            cpu_seconds,
            sent: rate("control_bytes_out_total"),
            received: rate("control_bytes_in_total"),
            log_bytes: total("log_bytes_out_total"),
            bundle_sent: total("bundle_bytes_out_total"),
            bundle_received: total("bundle_bytes_in_total"),
        }
    }

    /// Returns the metric `buckthornweir_{name}`, or 0 if it is missing.
    pub(crate) fn metric(&self, name: &str) -> f64 {
        let prefix = format!("buckthornweir_{name} ");
        let mut lines = self.metrics.lines();
        let value = lines.find_map(|line| line.strip_prefix(&prefix));
        value.and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

fn count_sockets(process: u32) -> f64 {
    let Ok(descriptors) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return f64::NAN;
    };
    let targets = descriptors
        .flatten()
        .filter_map(|descriptor| fs::read_link(descriptor.path()).ok());
    targets
        .filter(|target| target.to_string_lossy().starts_with("socket:"))
        .count() as f64
}

fn kilobytes(status: &str, name: &str) -> f64 {
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|text| text.split_whitespace().next());
    value
        .and_then(|text| text.parse::<f64>().ok())
        .map_or(f64::NAN, |kib| kib * 1.024)
}

/// Returns the sum of user and system CPU time from the text of `/proc/PID/stat`.
fn cpu_seconds(stat: &str) -> f64 {
    // The program name in parentheses may contain spaces. User and system time are the 12th and 13th fields after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    times
        .filter_map(|text| text.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS_PER_SECOND
}

fn metrics_page(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&address, METRICS_TIMEOUT)?;
    stream.set_read_timeout(Some(METRICS_TIMEOUT))?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}
