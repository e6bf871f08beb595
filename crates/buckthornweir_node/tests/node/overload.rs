//! Metrics and log lines of overload control.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::sync::{Arc, LazyLock, Mutex};
use std::time::Duration;

use buckthornweir_forward::backend::ReportState;
use buckthornweir_forward::segment::Segment;
use buckthornweir_node::ReportOutcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::{Event, Metadata, Subscriber};

use crate::format::{read, write};
use crate::support::{
    Caller, METRICS_PORT, OBJECTIVE_VERSION, PACKET_PORT, TestNet, order, report, submit,
    wait_until,
};

static NET: LazyLock<TestNet> = LazyLock::new(TestNet::claim);
const BALANCER: u8 = 11;
const AGENTS: [u8; 2] = [21, 22];

/// How long a backend server takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(300);

/// First port of the flows of each round.
const FIRST_PORTS: [u16; 4] = [1_000, 1_100, 1_200, 1_300];

/// Number of flows in a round: several times what both backend servers can run within the
/// objective.
const FLOWS: u16 = 60;

/// Interval at which the gauge of waiting flows is read.
const GAUGE_PERIOD: Duration = Duration::from_millis(10);

/// How long the overload is observed: longer than a caller waits for an answer to its SYN.
const OBSERVED: Duration = Duration::from_secs(2);

/// Time until the left-out lines of the last second are counted in a line of their own.
const LEFT_OUT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The fields of one log line.
type Line = BTreeMap<&'static str, String>;

#[derive(Default)]
struct Fields(Line);

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.0.insert(field.name(), format!("{value:?}"));
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.insert(field.name(), value.into());
    }
}

/// Collects the log lines of the test's thread, on which all its nodes run.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<Line>>>);

impl Lines {
    fn of(&self, event: &str) -> Vec<Line> {
        let lines = self.0.lock().expect("no other thread panics");
        let matching = lines.iter().filter(|line| line["event"] == event);
        matching.cloned().collect()
    }
}

impl Subscriber for Lines {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.target().starts_with("buckthornweir")
    }

    fn new_span(&self, _: &Attributes<'_>) -> Id {
        Id::from_u64(1)
    }

    fn record(&self, _: &Id, _: &Record<'_>) {}

    fn record_follows_from(&self, _: &Id, _: &Id) {}

    fn event(&self, event: &Event<'_>) {
        let mut fields = Fields::default();
        event.record(&mut fields);
        if fields.0.contains_key("event") {
            let mut lines = self.0.lock().expect("no other thread panics");
            lines.push(fields.0);
        }
    }

    fn enter(&self, _: &Id) {}

    fn exit(&self, _: &Id) {}
}

/// Returns the metrics of a node by name and label.
async fn metrics(host: u8) -> BTreeMap<String, f64> {
    let connected = TcpStream::connect((NET.ip(host), METRICS_PORT)).await;
    let mut stream = connected.expect("no metrics");
    let request = b"GET /metrics HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";
    stream.write_all(request).await.expect("no metrics");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("no metrics");
    let samples = text.lines().filter_map(|line| line.rsplit_once(' '));
    let samples = samples.filter_map(|(name, value)| Some((name.into(), value.parse().ok()?)));
    samples.collect()
}

/// Returns a metric of each agent.
async fn of_agents(name: &str) -> [f64; 2] {
    let name = format!("buckthornweir_{name}");
    [
        metrics(AGENTS[0]).await[&name],
        metrics(AGENTS[1]).await[&name],
    ]
}

async fn total(name: &str) -> f64 {
    of_agents(name).await.iter().sum()
}

/// What callers saw.
#[derive(Default)]
struct Seen {
    rejected: BTreeSet<u16>,
    answered: BTreeSet<u16>,
}

/// Sends one SYN for each flow at once and a request on each flow that opens.
async fn overload(caller: &Caller, first: u16, seen: &mut Seen) {
    let to = (NET.ip(BALANCER), PACKET_PORT);
    for port in first..first + FLOWS {
        let syn = Segment {
            syn: true,
            ..caller.packet(port)
        };
        let sent = caller.socket.send_to(&write(&syn), to).await;
        sent.expect("test setup failed");
    }
    let until = tokio::time::Instant::now() + OBSERVED;
    let mut buffer = [0; 2_048];
    while let Ok(received) =
        tokio::time::timeout_at(until, caller.socket.recv_from(&mut buffer)).await
    {
        let (length, _) = received.expect("test setup failed");
        let segment = read(&buffer[..length]).expect("test setup failed");
        let port = segment.target.port();
        if segment.rst {
            seen.rejected.insert(port);
        } else if segment.syn {
            let request = Segment {
                length: 50,
                acknowledged: segment.sequence + 1,
                ..caller.packet(port)
            };
            let sent = caller.socket.send_to(&write(&request), to).await;
            sent.expect("test setup failed");
        } else {
            seen.answered.insert(port);
        }
    }
}

/// Returns the largest number of waiting flows that the gauges showed within [`OBSERVED`].
async fn most_waiting() -> f64 {
    let until = tokio::time::Instant::now() + OBSERVED;
    let mut most = 0.0_f64;
    while tokio::time::Instant::now() < until {
        most = most.max(total("flows_waiting").await);
        tokio::time::sleep(GAUGE_PERIOD).await;
    }
    most
}

/// Checks that each flow has at most one line, and that missing lines are counted as left out.
fn check_lines(lines: &Lines, seen: &Seen) {
    let left_out = lines.of("lines_left_out");
    let left_out = left_out.iter().map(|line| line["count"].parse::<usize>());
    let left_out: usize = left_out.map(|count| count.expect("no count")).sum();
    let resets = lines.of("flow_reset");
    let flows: BTreeSet<&String> = resets.iter().map(|line| &line["flow"]).collect();
    assert_eq!(flows.len(), resets.len(), "one line for each flow");
    let missing = seen.rejected.len() - resets.len();
    assert!(missing <= left_out, "{missing} missing, {left_out} counted");
    assert!(!resets.is_empty(), "no line about a rejected flow");
    for line in &resets {
        assert_eq!(line["reason"], "Overloaded", "{line:?}");
        assert_eq!(line["priority"], "1", "{line:?}");
        assert_eq!(line["objective_ms"], "400", "{line:?}");
        assert!(line.contains_key("queued"), "without inputs: {line:?}");
    }
    let passed = lines.of("flow_passed_on");
    let ways: BTreeSet<_> = passed.iter().map(|l| (&l["flow"], &l["agent"])).collect();
    assert_eq!(ways.len(), passed.len(), "a line with another flow's key");
    assert!(passed.iter().all(|line| line.contains_key("queued")));
}

/// Guards against rejections, waits and gauges that operators can't see, and against log lines
/// without the inputs of the decision or with the key of another flow.
#[tokio::test]
async fn overload_shows_in_metrics_and_log_lines() {
    let lines = Lines::default();
    // With one subscriber only, an event that a thread without one reaches first is disabled for all.
    let _second = tracing::Dispatch::new(lines.clone());
    let _guard = tracing::subscriber::set_default(lines.clone());
    let data = tempfile::tempdir().expect("test setup failed");
    let mut control = Vec::new();
    for host in 1..=3 {
        control.push(NET.control(host, data.path(), true).await);
    }
    let balancer = NET.balancer(BALANCER).await;
    let _servers = AGENTS.map(|host| NET.slow_backend(host, SERVICE_TIME));
    let [near, far] = AGENTS.map(|host| NET.measured_agent(host));
    let agents = [near.await, far.await];
    let all: Vec<_> = control.iter().collect();
    submit(&all, order(OBJECTIVE_VERSION)).await;
    for agent in &agents {
        assert_eq!(
            agent.handle.report(report(1, ReportState::Ready)).await,
            ReportOutcome::Taken
        );
    }
    wait_until("ready balancer", || balancer.handle.is_ready()).await;
    let caller = NET.caller(31).await;
    // The agents accept flows and know the plan.
    let port = FIRST_PORTS[0] - 1;
    let opened = caller.open(NET.ip(BALANCER), port).await;
    caller.request(NET.ip(BALANCER), port, &opened).await;

    let mut seen = Seen::default();
    let mut waiting = 0.0;
    // Flows wait for 150 ms at most, in which a busy machine may not read the gauge.
    for first in FIRST_PORTS {
        (_, waiting) = tokio::join!(overload(&caller, first, &mut seen), most_waiting());
        if waiting > 0.0 {
            break;
        }
    }
    tokio::time::sleep(LEFT_OUT_TIMEOUT).await;
    let rejected = total("flows_rejected_total{reason=\"overloaded\"}").await;
    assert!(rejected >= 1.0, "no flow was rejected");
    assert!(!seen.answered.is_empty(), "no request was answered");
    assert_eq!(rejected, seen.rejected.len() as f64);
    assert!(seen.rejected.is_disjoint(&seen.answered));
    assert!(total("flow_wait_seconds_count").await >= 1.0);
    assert!(waiting >= 1.0, "no flow was seen waiting");
    assert_eq!(total("flows_waiting").await, 0.0);
    let steps = of_agents("weight_step").await;
    assert!(steps.iter().all(|step| (1.0..=16.0).contains(step)));
    let shortest = SERVICE_TIME.as_millis() as f64;
    let services = of_agents("service_time_ms").await;
    assert!(services.iter().any(|ms| *ms >= shortest), "{services:?}");
    check_lines(&lines, &seen);
}
