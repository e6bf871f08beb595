//! What a process has used, as the kernel and its own metrics say.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// How long a process may take to show its metrics.
const LIMIT: Duration = Duration::from_secs(5);

/// Clock ticks a second in the kernel's tables.
const TICKS: f64 = 100.0;

/// What one process had used at one moment.
#[derive(Clone, Debug)]
pub(crate) struct Usage {
    at: Instant,
    /// Resident memory in MB.
    pub(crate) resident: f64,
    /// The part of it that is no file, in MB.
    pub(crate) private: f64,
    /// Open sockets.
    pub(crate) sockets: f64,
    seconds: f64,
    metrics: String,
}

/// What one process used between two moments, for each second.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Rate {
    /// Share of a core, in percent.
    pub(crate) core: f64,
    /// Processor time in seconds, in all.
    pub(crate) busy: f64,
    /// Control bytes sent a second.
    pub(crate) sent: f64,
    /// Control bytes received a second.
    pub(crate) received: f64,
    /// Bytes of the control log sent, in all.
    pub(crate) log: f64,
    /// Bytes of bundles given to others, in all.
    pub(crate) given: f64,
    /// Bytes of bundles pulled, in all.
    pub(crate) pulled: f64,
}

impl Usage {
    /// Reads the tables of a process, and its metrics.
    pub(crate) fn read(process: u32, metrics: SocketAddr) -> Self {
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
        let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
        Self {
            at: Instant::now(),
            resident: kilobytes(&status, "VmRSS:") / 1e3,
            private: kilobytes(&status, "RssAnon:") / 1e3,
            sockets: sockets(process),
            seconds: seconds(&stat),
            metrics: page(metrics).unwrap_or_default(),
        }
    }

    /// Returns what was used between an earlier moment and this one.
    pub(crate) fn since(&self, before: &Self) -> Rate {
        let time = (self.at - before.at).as_secs_f64();
        let busy = self.seconds - before.seconds;
        let count = |name| self.metric(name) - before.metric(name);
        let bytes = |name| count(name) / time;
        Rate {
            core: busy / time * 100.0,
            busy,
            sent: bytes("control_bytes_out_total"),
            received: bytes("control_bytes_in_total"),
            log: count("log_bytes_out_total"),
            given: count("bundle_bytes_out_total"),
            pulled: count("bundle_bytes_in_total"),
        }
    }

    /// Returns a metric without its prefix, or 0 when it isn't shown.
    pub(crate) fn metric(&self, name: &str) -> f64 {
        let prefix = format!("buckthornweir_{name} ");
        let mut lines = self.metrics.lines();
        let value = lines.find_map(|line| line.strip_prefix(&prefix));
        value.and_then(|text| text.parse().ok()).unwrap_or_default()
    }
}

fn sockets(process: u32) -> f64 {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return f64::NAN;
    };
    let targets = files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok());
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

/// Returns user and system time from the text of a process's `stat`.
fn seconds(stat: &str) -> f64 {
    // The name in brackets may hold blanks; user and system time are the 12th and 13th field after it.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let times = fields.split_whitespace().skip(11).take(2);
    times
        .filter_map(|text| text.parse::<f64>().ok())
        .sum::<f64>()
        / TICKS
}

fn page(metrics: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&metrics, LIMIT)?;
    stream.set_read_timeout(Some(LIMIT))?;
    stream.write_all(b"GET /metrics HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}
