//! Runs the processes of a scenario on loopback.

mod balancer_set;
mod operator;
mod process;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_bundle::{Bundle, Domain, Protocol, Service as BundleService, Version};
use buckthornweir_standins::{
    Backend, BackendConfig, Fabric, FabricConfig, HttpCaller, Plan, PlannedNode, free_tcp,
    free_udp, uptime,
};
use parking_lot::Mutex;
use smol_str::SmolStr;

use crate::fault::{Fault, Result};
use crate::scenario::{Action, Scenario, Service, agent_name};
use balancer_set::BalancerSet;
use operator::Operator;
use process::Process;

/// How long to wait after the start until each service answers.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(3);

/// The programs that a deployment runs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// The path of the daemon, `buckthornweird`.
    pub daemon: PathBuf,
    /// The path of the operators' client, `buckthornweir`.
    pub client: PathBuf,
}

/// A backend server and its failure domain.
pub struct PlacedBackend {
    /// The backend server.
    pub backend: Backend,
    /// The failure domain of the backend server.
    pub domain: SmolStr,
}

/// The running processes, backend servers and fabric of a scenario.
pub struct Deployment {
    fabric: Fabric,
    balancers: BalancerSet,
    backends: Vec<PlacedBackend>,
    processes: Vec<Process>,
    operator: Arc<Operator>,
    bundle: Bundle,
    /// The time from the push of each bundle version until every running process had it.
    rollout_times: Arc<Mutex<HashMap<Version, Duration>>>,
}

impl Deployment {
    /// Starts the fabric, the backend servers and the processes, and waits until each service
    /// answers and no backend server is cold.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be started, the bundle is refused, or a service doesn't
    /// answer before the timeout.
    pub async fn start(scenario: &Scenario, programs: &Programs, folder: &Path) -> Result<Self> {
        for program in [&programs.daemon, &programs.client] {
            if !program.is_file() {
                return Err(Fault::NoProgram(program.clone()));
            }
        }
        let config = FabricConfig::new(free_udp(), scenario.seed);
        let fabric = Fabric::start(config.with_connect_timeout(CONNECT_TIMEOUT)).await?;
        let mut deployment = Self {
            balancers: BalancerSet::new(&fabric, scenario.detection_delay),
            fabric,
            backends: Vec::new(),
            processes: Vec::new(),
            operator: Arc::new(Operator::new(&programs.client, folder)),
            bundle: bundle(scenario),
            rollout_times: Arc::default(),
        };
        deployment.start_backends(scenario).await?;
        let nodes = deployment.plan(scenario, folder)?;
        deployment.start_processes(&nodes, programs, folder)?;
        deployment.operator.push(deployment.bundle.clone()).await?;
        deployment.wait_settled().await?;
        deployment.wait_ready(scenario).await?;
        wait_until_warm(scenario).await;
        Ok(deployment)
    }

    /// Returns the fabric that callers connect through.
    #[must_use]
    pub fn fabric(&self) -> &Fabric {
        &self.fabric
    }

    /// Returns the backend servers.
    #[must_use]
    pub fn backends(&self) -> &[PlacedBackend] {
        &self.backends
    }

    /// Returns the bundle version that was pushed last.
    #[must_use]
    pub fn version(&self) -> Version {
        self.bundle.version
    }

    /// Returns the time from the push of a bundle version until every running process had it, or
    /// `None` if that has not happened yet.
    #[must_use]
    pub fn rollout_time(&self, version: Version) -> Option<Duration> {
        self.rollout_times.lock().get(&version).copied()
    }

    /// Returns the names of processes that exited unexpectedly.
    pub fn crashed(&mut self) -> Vec<SmolStr> {
        let crashed = self.processes.iter_mut().filter_map(Process::crashed);
        crashed.collect()
    }

    /// Executes the action of an event.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't be signalled or started, or the bundle is refused.
    pub async fn execute(&mut self, action: &Action) -> Result<()> {
        self.update_fabric(action);
        match action {
            Action::Kill(name) => self.process(name)?.kill(),
            Action::Stop(name) => self.process(name)?.stop(),
            Action::Start(name) => self.process(name)?.start(),
            Action::Restart(name) => self.process(name)?.restart().await,
            Action::Freeze(name) => self.process(name)?.signal("STOP"),
            Action::Thaw(name) => self.process(name)?.signal("CONT"),
            Action::DomainOut(name) => self.set_domain(name, true).await,
            Action::DomainBack(name) => self.set_domain(name, false).await,
            Action::Push => self.push_next().await,
            Action::Fault(name, fault) => {
                let placed = self
                    .backends
                    .iter()
                    .filter(|placed| placed.backend.name() == name);
                placed.for_each(|placed| placed.backend.set_fault(*fault));
                Ok(())
            }
        }
    }

    /// Updates the fabric's balancers if an action takes one down or brings it up.
    fn update_fabric(&self, action: &Action) {
        match action {
            Action::Kill(name) | Action::Stop(name) | Action::Freeze(name) => {
                self.balancers.set(name, false);
            }
            Action::Start(name) | Action::Thaw(name) => self.balancers.set(name, true),
            _ => {}
        }
    }

    /// Kills all processes that are still running.
    pub fn end(&mut self) {
        for process in &mut self.processes {
            process.end();
        }
    }

    async fn start_backends(&mut self, scenario: &Scenario) -> Result<()> {
        for service in &scenario.services {
            for placed in scenario.backends(service) {
                let addr = free_tcp();
                let backend = Backend::start(backend_config(service, addr, &placed.name)).await?;
                let domain = placed.domain;
                self.backends.push(PlacedBackend { backend, domain });
            }
        }
        Ok(())
    }

    /// Returns the settings of all processes, and writes the settings of the client.
    fn plan(&self, scenario: &Scenario, folder: &Path) -> Result<Vec<PlannedNode>> {
        let controls = scenario.controls();
        let plan = Plan::new(self.operator.public_key());
        let mut plan = plan.with_control(controls.len()).with_log("info");
        let mut nodes = Vec::new();
        for placed in &controls {
            let data = folder.join(&*placed.name);
            nodes.push(plan.control(&placed.name, &placed.domain, &data));
        }
        let addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.control).collect();
        self.operator
            .write_settings(&addresses, plan.cluster_key())?;
        for placed in scenario.balancers() {
            let node = plan.balancer(&placed.name, &placed.domain);
            if let Some(addr) = node.fabric {
                self.balancers.add(&placed.name, addr);
            }
            nodes.push(node);
        }
        for PlacedBackend { backend, domain } in &self.backends {
            let name = agent_name(backend.name());
            let fabric = self.fabric.addr();
            nodes.push(plan.agent(&name, domain, backend.service(), backend.addr(), fabric));
        }
        Ok(nodes)
    }

    fn start_processes(
        &mut self,
        nodes: &[PlannedNode],
        programs: &Programs,
        folder: &Path,
    ) -> Result<()> {
        for node in nodes {
            let mut process = Process::new(node, &programs.daemon, folder)?;
            process.start()?;
            self.processes.push(process);
        }
        Ok(())
    }

    async fn set_domain(&mut self, name: &str, out: bool) -> Result<()> {
        if let Some(bundle) = self.bundle.with_domain_out(name, out) {
            self.bundle = bundle;
        }
        self.measure_rollout();
        self.operator.set_domain(name, out).await
    }

    async fn push_next(&mut self) -> Result<()> {
        self.bundle.version += 1;
        self.measure_rollout();
        self.operator.push(self.bundle.clone()).await
    }

    /// Waits until every process has the bundle and has discovered all others.
    async fn wait_settled(&self) -> Result<()> {
        let count = self.processes.len();
        let settled = self
            .operator
            .wait_in_force(self.bundle.version, count, count)
            .await;
        settled.map(drop).ok_or(Fault::NotSettled)
    }

    /// Measures, in a background task, how long the latest version takes to reach every running
    /// process.
    fn measure_rollout(&mut self) {
        let running = self
            .processes
            .iter_mut()
            .filter_map(|process| process.is_running().ok());
        let count = running.filter(|running| *running).count();
        let (operator, rollout_times) = (self.operator.clone(), self.rollout_times.clone());
        let version = self.bundle.version;
        tokio::spawn(async move {
            if let Some(time) = operator.wait_in_force(version, count, 0).await {
                rollout_times.lock().insert(version, time);
            }
        });
    }

    /// Waits until each service has answered a request successfully.
    async fn wait_ready(&self, scenario: &Scenario) -> Result<()> {
        let deadline = uptime() + READY_TIMEOUT;
        for service in &scenario.services {
            while let Err(last) = probe(&self.fabric, service).await {
                if uptime() > deadline {
                    return Err(Fault::NotReady(service.name.clone(), last));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    fn process(&mut self, name: &str) -> Result<&mut Process> {
        let unknown = || Fault::Process(name.into(), std::io::ErrorKind::NotFound.into());
        self.processes
            .iter_mut()
            .find(|process| process.name() == name)
            .ok_or_else(unknown)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.end();
    }
}

/// Waits until no backend server is cold, so that under load only events make one cold.
async fn wait_until_warm(scenario: &Scenario) {
    let longest = scenario
        .services
        .iter()
        .map(|service| service.cold_time)
        .max();
    tokio::time::sleep(longest.unwrap_or_default()).await;
}

/// Sends one request.
///
/// # Errors
///
/// Returns the connection error, or the status of the response if it is not a success.
async fn probe(fabric: &Fabric, service: &Service) -> std::result::Result<(), String> {
    let error = |err: buckthornweir_standins::CallerError| err.to_string();
    let mut caller = HttpCaller::connect(fabric, service.address)
        .await
        .map_err(error)?;
    let answer = caller.send(http::Request::default()).await.map_err(error)?;
    if answer.status.is_success() {
        Ok(())
    } else {
        Err(answer.status.to_string())
    }
}

fn backend_config(service: &Service, addr: SocketAddr, name: &str) -> BackendConfig {
    BackendConfig::new(addr, name, service.name.clone())
        .with_slots(service.slots)
        .with_connections(service.connections)
        .with_work(service.work)
        .with_cold_start(service.cold_time, service.cold_slots)
}

/// Returns the initial bundle of a scenario.
fn bundle(scenario: &Scenario) -> Bundle {
    let domain = |name: &SmolStr| Domain {
        name: name.clone(),
        region: scenario.region.clone(),
        out: false,
    };
    let service = |service: &Service| BundleService {
        name: service.name.clone(),
        addresses: vec![service.address],
        protocol: Protocol::Http,
        domains: scenario.domains.clone(),
        slots: service.slots as u32,
        cold: service.cold_slots as u32,
        connections: service.connections as u32,
        queue: 20,
        deadline: service.deadline,
        second_tries: 0,
    };
    Bundle {
        version: 1,
        force: false,
        domains: scenario.domains.iter().map(domain).collect(),
        services: scenario.services.iter().map(service).collect(),
    }
}
