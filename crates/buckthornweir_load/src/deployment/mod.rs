//! The processes of a scenario, on loopback.

mod addresses;
mod operator;
mod process;
mod settings;
mod spray;

use std::path::Path;
use std::time::Duration;

use buckthornweir_bundle::{Bundle, Domain, Protocol, Service as BundleService, SigningKey};
use buckthornweir_standins::{Backend, BackendConfig, Fabric, FabricConfig, HttpCaller, uptime};
use smol_str::SmolStr;

use crate::fault::{Fault, Result};
use crate::scenario::{Action, Scenario, Service, agent_name};
use addresses::{Addresses, Host};
use operator::Operator;
use process::Process;

use settings::{Role, SettingsText};
use spray::Spray;

/// How long the processes may take until each service answers.
const READY_LIMIT: Duration = Duration::from_secs(30);
const READY_PAUSE: Duration = Duration::from_millis(100);
const CONNECT_LIMIT: Duration = Duration::from_secs(3);

/// A backend server with its failure domain.
pub struct PlacedBackend {
    /// The backend server.
    pub backend: Backend,
    /// Its failure domain.
    pub domain: SmolStr,
}

/// All processes of a scenario, the backend servers and the fabric.
pub struct Deployment {
    fabric: Fabric,
    spray: Spray,
    backends: Vec<PlacedBackend>,
    processes: Vec<Process>,
    operator: Operator,
    bundle: Bundle,
}

impl Deployment {
    /// Starts everything, and waits until each service answers and no backend server is cold.
    ///
    /// # Errors
    ///
    /// Returns an error when a process can't be started, the bundle is refused, or a service
    /// doesn't answer within the time limit.
    pub async fn start(scenario: &Scenario, daemon: &Path, folder: &Path) -> Result<Self> {
        if !daemon.is_file() {
            return Err(Fault::NoProgram(daemon.to_owned()));
        }
        let addresses = Addresses::new();
        let config = FabricConfig::new(addresses.fabric(), scenario.seed);
        let fabric = Fabric::start(config.with_connect_limit(CONNECT_LIMIT)).await?;
        let mut deployment = Self {
            spray: Spray::new(&fabric, scenario.notice),
            fabric,
            backends: Vec::new(),
            processes: Vec::new(),
            operator: Operator::new(SigningKey::generate()),
            bundle: bundle(scenario),
        };
        let roles = deployment.place(scenario, addresses).await?;
        deployment.start_processes(scenario, daemon, folder, &roles)?;
        deployment.put_in_force().await?;
        deployment.wait_ready(scenario).await?;
        wait_warm(scenario).await;
        Ok(deployment)
    }

    /// Returns the fabric.
    #[must_use]
    pub fn fabric(&self) -> &Fabric {
        &self.fabric
    }

    /// Returns the backend servers.
    #[must_use]
    pub fn backends(&self) -> &[PlacedBackend] {
        &self.backends
    }

    /// Returns the names of processes that have ended without being asked to.
    pub fn crashed(&mut self) -> Vec<SmolStr> {
        let crashed = self.processes.iter_mut().filter_map(Process::crashed);
        crashed.collect()
    }

    /// Does what an event says.
    ///
    /// # Errors
    ///
    /// Returns an error when a process can't be signalled or started, or the bundle is refused.
    pub async fn act(&mut self, action: &Action) -> Result<()> {
        self.tell_fabric(action);
        match action {
            Action::Kill(name) => self.process(name)?.kill(),
            Action::Stop(name) => self.process(name)?.stop(),
            Action::Start(name) => self.process(name)?.start(),
            Action::Restart(name) => self.process(name)?.restart().await,
            Action::Freeze(name) => self.process(name)?.signal("STOP"),
            Action::Thaw(name) => self.process(name)?.signal("CONT"),
            Action::DomainOut(name) => self.set_domain(name, true).await,
            Action::DomainBack(name) => self.set_domain(name, false).await,
            Action::Push => {
                self.bundle.version += 1;
                self.put_in_force().await
            }
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

    /// Tells the fabric when an action takes a balancer away or brings it back.
    fn tell_fabric(&self, action: &Action) {
        match action {
            Action::Kill(name) | Action::Stop(name) | Action::Freeze(name) => {
                self.spray.set(name, false);
            }
            Action::Start(name) | Action::Thaw(name) => self.spray.set(name, true),
            _ => {}
        }
    }

    /// Ends all processes, those that were asked to and those that were not.
    pub fn end(&mut self) {
        for process in &mut self.processes {
            process.end();
        }
    }

    /// Starts the backend servers, and returns the settings of each process to come.
    async fn place(&mut self, scenario: &Scenario, mut addresses: Addresses) -> Result<Vec<Role>> {
        let mut roles = Vec::new();
        let controls = scenario.controls();
        let founders: Vec<_> = controls.iter().map(|placed| placed.name.clone()).collect();
        for placed in controls {
            let host = addresses.next_host();
            self.operator.add_control(host.control());
            roles.push(Role::control(placed, host, founders.clone()));
        }
        for placed in scenario.balancers() {
            let host = addresses.next_host();
            self.spray.add(&placed.name, host.fabric());
            roles.push(Role::balancer(placed, host));
        }
        for service in &scenario.services {
            for placed in scenario.backends(service) {
                let host = addresses.next_host();
                let config = backend_config(service, host, &placed.name);
                let backend = Backend::start(config).await?;
                let domain = placed.domain.clone();
                let name = agent_name(&placed.name);
                let addr = backend.addr();
                roles.push(Role::agent(name, domain.clone(), host, &service.name, addr));
                self.backends.push(PlacedBackend { backend, domain });
            }
        }
        Ok(roles)
    }

    fn start_processes(
        &mut self,
        scenario: &Scenario,
        daemon: &Path,
        folder: &Path,
        roles: &[Role],
    ) -> Result<()> {
        let seeds: Vec<_> = roles.iter().map(|role| role.host.gossip()).collect();
        let seeds = &seeds[..seeds.len().min(scenario.controls + scenario.balancers)];
        let trusted = self.operator.key().public();
        for role in roles {
            let text = SettingsText::new(role, seeds, &trusted, self.fabric.addr(), folder);
            let mut process = Process::new(&role.name, daemon, folder, text.as_str())?;
            process.start()?;
            self.processes.push(process);
        }
        Ok(())
    }

    async fn set_domain(&mut self, name: &str, out: bool) -> Result<()> {
        if let Some(bundle) = self.bundle.with_domain_out(name, out) {
            self.bundle = bundle;
        }
        self.put_in_force().await
    }

    /// Pushes the bundle, until its outcome is known.
    async fn put_in_force(&mut self) -> Result<()> {
        self.operator.push(self.bundle.clone()).await
    }

    /// Waits until each service has answered a request.
    async fn wait_ready(&self, scenario: &Scenario) -> Result<()> {
        let limit = uptime() + READY_LIMIT;
        for service in &scenario.services {
            while let Err(last) = probe(&self.fabric, service).await {
                if uptime() > limit {
                    return Err(Fault::NotReady(service.name.clone(), last));
                }
                tokio::time::sleep(READY_PAUSE).await;
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

/// Waits until no backend server is cold, so that only events make one cold under load.
async fn wait_warm(scenario: &Scenario) {
    let longest = scenario
        .services
        .iter()
        .map(|service| service.cold_time)
        .max();
    tokio::time::sleep(longest.unwrap_or_default()).await;
}

/// Sends one request, and returns what was seen when it was not answered.
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

fn backend_config(service: &Service, host: Host, name: &str) -> BackendConfig {
    BackendConfig::new(host.backend(), name, service.name.clone())
        .with_slots(service.slots)
        .with_connections(service.connections)
        .with_work(service.work)
        .with_cold_start(service.cold_time, service.cold_slots)
}

/// Returns the first bundle of a scenario.
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
        deadline: scenario.patience,
    };
    Bundle {
        version: 1,
        force: false,
        domains: scenario.domains.iter().map(domain).collect(),
        services: scenario.services.iter().map(service).collect(),
    }
}
