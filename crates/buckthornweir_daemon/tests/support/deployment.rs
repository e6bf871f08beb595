//! A deployment of separate processes, with callers that record the result of each request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use buckthornweir_standins::prelude::*;
use buckthornweir_standins::{Traits, free_tcp};
use buckthornweir_wire::{PushOutcome, PushRequest, Reply, Request};
use tempfile::TempDir;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::JoinHandle;

use super::{Process, alive, ask, connect, plan, signed, status, wait_for};

/// The address of the service `orders`.
pub(crate) const ORDERS: &str = "10.100.0.1:80";

/// A deployment of one service, `orders`, with stand-ins for the fabric and the backend servers.
pub(crate) struct Deployment {
    pub(crate) plan: Plan,
    pub(crate) folder: TempDir,
    pub(crate) fabric: Arc<Fabric>,
    pub(crate) backends: Vec<Backend>,
    pub(crate) control: Process,
    /// The control processes except the first one.
    pub(crate) more_controls: Vec<Process>,
    /// The proxy between the processes that injects network faults, if there is one.
    pub(crate) proxy: Option<Proxy>,
    pub(crate) balancers: Vec<Process>,
    pub(crate) agents: Vec<Process>,
    groups: AtomicUsize,
    _permit: SemaphorePermit<'static>,
}

/// The default size of a response body.
const RESPONSE_BYTES: usize = 3000;

/// The number of processes of a deployment, and whether they are connected through a [`Proxy`].
#[derive(Clone, Copy, Default)]
pub(crate) struct Shape {
    balancers: usize,
    agents: usize,
    more_controls: usize,
    has_proxy: bool,
}

impl Shape {
    /// Creates a shape with one control process and without a proxy.
    pub(crate) fn new(balancers: usize, agents: usize) -> Self {
        Self {
            balancers,
            agents,
            ..Self::default()
        }
    }

    /// Sets the number of control processes, at least one.
    pub(crate) fn with_controls(mut self, controls: usize) -> Self {
        self.more_controls = controls - 1;
        self
    }

    /// Connects the processes through a proxy.
    pub(crate) fn with_proxy(mut self) -> Self {
        self.has_proxy = true;
        self
    }

    fn plan(self) -> Plan {
        let plan = plan().with_control(1 + self.more_controls);
        if self.has_proxy {
            return plan.with_announced();
        }
        plan
    }
}

/// Limits the deployments that run at the same time, so that processes do not miss their timeouts
/// while they wait for a CPU.
static DEPLOYMENTS: Semaphore = Semaphore::const_new(2);

/// Waits until one more deployment may run.
pub(crate) async fn deployment_permit() -> SemaphorePermit<'static> {
    DEPLOYMENTS.acquire().await.unwrap()
}

/// Returns the text of a bundle; `out` names the failure domain that is out, or is empty.
pub(crate) fn bundle(version: u64, out: &str) -> String {
    let mut text = format!("[bundle]\nversion = {version}\n");
    for domain in DOMAINS {
        let state = if domain == out { "out" } else { "in" };
        text += &format!("[domain {domain}]\nregion = fj-west\nstate = {state}\n");
    }
    text += &format!("[service orders]\naddresses = {ORDERS}\n");
    text + &format!("domains = {}\n", DOMAINS.join(", "))
}

/// The failure domains, to which processes are assigned round-robin.
pub(crate) const DOMAINS: [&str; 3] = ["fj-west-a", "fj-west-b", "fj-west-c"];

impl Deployment {
    /// Starts one control process, balancers, and agents with their backend servers, and pushes the
    /// first bundle.
    pub(crate) async fn start(balancers: usize, agents: usize) -> Self {
        Self::start_as(Shape::new(balancers, agents)).await
    }

    /// Starts a deployment of this shape.
    pub(crate) async fn start_as(shape: Shape) -> Self {
        let permit = deployment_permit().await;
        let mut plan = shape.plan();
        let proxy = shape.has_proxy.then(Proxy::new);
        let folder = tempfile::tempdir().unwrap();
        let bind = "127.0.0.1:0".parse().unwrap();
        let fabric = Fabric::start(FabricConfig::new(bind, 11)).await.unwrap();
        let data = folder.path().join("data");
        let planned = plan.control("control-1", DOMAINS[0], &data);
        let control = Process::start_behind(proxy.as_ref(), planned, &folder);
        let mut deployment = Self {
            more_controls: Vec::new(),
            proxy,
            balancers: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            fabric: Arc::new(fabric),
            plan,
            folder,
            control,
            groups: AtomicUsize::new(0),
            _permit: permit,
        };
        for number in 0..shape.more_controls {
            deployment.add_control(number + 1);
        }
        for number in 0..shape.balancers {
            deployment.add_balancer(number);
        }
        for number in 0..shape.agents {
            deployment.add_agent(number).await;
        }
        let key = deployment.plan.cluster_key();
        let address = deployment.control.planned.control;
        wait_for("control", async || status(address, key).await.is_some()).await;
        deployment.push(1, "").await;
        deployment.settle(1).await;
        deployment
    }

    fn start_process(&self, planned: PlannedNode) -> Process {
        Process::start_behind(self.proxy.as_ref(), planned, &self.folder)
    }

    fn add_control(&mut self, number: usize) {
        let name = format!("control-{}", number + 1);
        let data = self.folder.path().join(&name);
        let domain = DOMAINS[number % DOMAINS.len()];
        let planned = self.plan.control(&name, domain, &data);
        self.more_controls.push(self.start_process(planned));
    }

    fn add_balancer(&mut self, number: usize) {
        let domain = DOMAINS[number % DOMAINS.len()];
        let planned = self.plan.balancer(&format!("balancer-{number}"), domain);
        self.balancers.push(self.start_process(planned));
        self.update_fabric();
    }

    /// Makes the fabric distribute packets over all balancers.
    pub(crate) fn update_fabric(&self) {
        let addresses = self.balancers.iter().filter_map(|b| b.planned.fabric);
        self.fabric.set_balancers(addresses.collect());
    }

    async fn add_agent(&mut self, number: usize) {
        let name = format!("orders-{number}");
        let config = BackendConfig::new(free_tcp(), name, "orders");
        let config = config
            .with_work(Duration::from_millis(5))
            .with_connections(20);
        let backend = Backend::start(config).await.unwrap();
        let planned = self.plan.agent(
            &format!("agent-{number}"),
            DOMAINS[number % DOMAINS.len()],
            "orders",
            backend.addr(),
            self.fabric.addr(),
        );
        self.backends.push(backend);
        self.agents.push(self.start_process(planned));
    }

    /// Pushes a bundle to the leader, retrying until it is accepted.
    pub(crate) async fn push(&self, version: u64, out: &str) {
        let all: Vec<usize> = (0..=self.more_controls.len()).collect();
        self.push_among(&all, version, out).await;
    }

    /// Pushes a bundle to these control processes in turn until one accepts it.
    pub(crate) async fn push_among(&self, controls: &[usize], version: u64, out: &str) {
        let text = signed(&bundle(version, out));
        wait_for("a push", async || {
            for at in controls {
                // The outcome is `Same` if the reply to an earlier attempt was lost.
                let outcome = self.push_at(*at, text.clone()).await;
                if matches!(outcome, Some(PushOutcome::Accepted | PushOutcome::Same)) {
                    return true;
                }
            }
            false
        })
        .await;
    }

    /// Pushes a bundle to one control process without retries and returns the outcome.
    pub(crate) async fn push_at(&self, control: usize, text: String) -> Option<PushOutcome> {
        let request = Request::Push(PushRequest { text });
        let control = self.controls().nth(control).unwrap();
        let address = control.planned.control;
        match ask(address, self.plan.cluster_key(), request).await {
            Some(Reply::Push(reply)) => Some(reply.outcome()),
            _ => None,
        }
    }

    /// Returns all control processes.
    pub(crate) fn controls(&self) -> impl Iterator<Item = &Process> {
        std::iter::once(&self.control).chain(&self.more_controls)
    }

    /// Waits for a leader and returns the index of its control process.
    pub(crate) async fn leader(&self) -> usize {
        let key = self.plan.cluster_key();
        let mut leader = None;
        wait_for("an election", async || {
            for (at, control) in self.controls().enumerate() {
                let status = status(control.planned.control, key).await;
                if status.is_some_and(|s| s.quorum == "leader") {
                    leader = Some(at);
                }
            }
            leader.is_some()
        })
        .await;
        leader.unwrap()
    }

    /// Watches the bundle versions in force at all processes until [`Watch::finish`].
    pub(crate) fn watch(&self) -> Watch {
        self.watch_some(|_| true)
    }

    /// Watches the bundle versions at the processes whose names are selected. Leave out processes that
    /// a test restarts and that do not store their bundle, since they start with an older one.
    pub(crate) fn watch_some(&self, is_selected: impl Fn(&str) -> bool) -> Watch {
        let stop = Arc::new(AtomicBool::new(false));
        let selected = self.processes().filter(|p| is_selected(&p.planned.name));
        let addresses: Vec<_> = selected.map(|p| p.planned.control).collect();
        let key = self.plan.cluster_key();
        let task = tokio::spawn(count_regressions(addresses, key, stop.clone()));
        Watch { stop, task }
    }

    /// Returns all processes.
    pub(crate) fn processes(&self) -> impl Iterator<Item = &Process> {
        let others = self.balancers.iter().chain(&self.agents);
        self.controls().chain(others)
    }

    /// Waits until every process knows all others and has at least bundle `version` in force.
    pub(crate) async fn settle(&self, version: u64) {
        let key = self.plan.cluster_key();
        let count = self.processes().count();
        for process in self.processes() {
            let control = process.planned.control;
            wait_for("the bundle at every process", async || {
                status(control, key)
                    .await
                    .is_some_and(|s| s.version >= version)
            })
            .await;
            wait_for("all members", async || alive(control, key).await == count).await;
        }
    }

    /// Starts callers, each of which sends requests one after another until it is stopped.
    pub(crate) async fn callers(&self, count: usize) -> Callers {
        self.callers_with(count, RESPONSE_BYTES).await
    }

    /// Starts callers that request responses of `bytes` bytes.
    pub(crate) async fn callers_with(&self, count: usize, bytes: usize) -> Callers {
        let stop = Arc::new(AtomicBool::new(false));
        let service: SocketAddr = ORDERS.parse().unwrap();
        let group = self.groups.fetch_add(1, Ordering::Relaxed);
        let mut tasks = Vec::new();
        for number in 0..count {
            let caller = connect(&self.fabric, service).await;
            let name = format!("{group}-{number}");
            tasks.push(tokio::spawn(run_caller(caller, name, bytes, stop.clone())));
        }
        Callers { stop, tasks }
    }

    /// Counts the results of the requests from the records of the callers and the backend servers.
    pub(crate) fn tally(&self, records: &[CallerRecord]) -> buckthornweir_standins::Tally {
        let backend_records: Vec<BackendLog> = self.backends.iter().map(BackendLog::from).collect();
        tally(records, &backend_records)
    }
}

/// A background check that bundle versions never decrease.
pub(crate) struct Watch {
    stop: Arc<AtomicBool>,
    task: JoinHandle<usize>,
}

impl Watch {
    /// Stops the watch and returns how often a process went back to a lower version.
    pub(crate) async fn finish(self) -> usize {
        self.stop.store(true, Ordering::Relaxed);
        self.task.await.unwrap()
    }
}

/// Counts how often a process goes back to a lower version. Version 0 is ignored, since a process
/// that has just started has no bundle yet.
async fn count_regressions(addresses: Vec<SocketAddr>, key: &str, stop: Arc<AtomicBool>) -> usize {
    let mut newest = vec![0; addresses.len()];
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        for (address, newest) in addresses.iter().zip(&mut newest) {
            let reply = tokio::time::timeout(STATUS_TIMEOUT, status(*address, key)).await;
            let version = reply.ok().flatten().map_or(0, |s| s.version);
            if version > 0 && version < *newest {
                count += 1;
            }
            *newest = version.max(*newest);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    count
}

/// How long the watch waits for the status of one process.
const STATUS_TIMEOUT: Duration = Duration::from_millis(500);

/// Running callers.
pub(crate) struct Callers {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Observations>>,
}

/// The results that callers observed.
#[derive(Default)]
pub(crate) struct Observations {
    /// One record for each request.
    pub(crate) records: Vec<CallerRecord>,
    /// The number of broken flows.
    pub(crate) broken: usize,
}

impl Callers {
    /// Stops the callers and returns their observations.
    pub(crate) async fn finish(self) -> Observations {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Observations::default();
        for task in self.tasks {
            let observed = task.await.unwrap();
            all.records.extend(observed.records);
            all.broken += observed.broken;
        }
        all
    }
}

/// Sends non-repeatable requests on one flow until it breaks or `stop` is set.
async fn run_caller(
    mut caller: HttpCaller,
    name: String,
    bytes: usize,
    stop: Arc<AtomicBool>,
) -> Observations {
    let mut observed = Observations::default();
    let mut count = 0;
    while !stop.load(Ordering::Relaxed) {
        count += 1;
        let id = format!("order-{name}-{count}");
        let request = http::Request::post(format!("/{id}?bytes={bytes}"))
            .header("x-request-id", &id)
            .body(http_body_util::Full::from("twenty packets"))
            .unwrap();
        let result = caller.send(request).await;
        observed.records.push(CallerRecord {
            request_id: id.into(),
            service: "orders".into(),
            traits: Traits { repeatable: false },
            outcome: Outcome::of(&result),
        });
        if result.is_err() || caller.is_closed() {
            observed.broken += 1;
            return observed;
        }
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
    observed
}
