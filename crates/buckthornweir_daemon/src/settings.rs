//! The settings of the daemon, parsed from INI text and validated before any role starts.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use buckthornweir_bundle::{PublicKey, Trust, public_key};
use buckthornweir_events::{LogFormat, log_filter};
use buckthornweir_settings::{Document, Fault, Section, value};
use buckthornweir_wire::{ClusterKey, NodeId};
use smol_str::SmolStr;

/// The result of reading settings.
pub(crate) type Result<T> = std::result::Result<T, Fault>;

/// The maximum number of control processes.
const MAX_CONTROL_PROCESSES: usize = 7;

/// The settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The settings that every process has.
    pub node: NodeSettings,
    /// The balancer role, if the process has it.
    pub balancer: Option<BalancerSettings>,
    /// The agent role, if the process has it.
    pub agent: Option<AgentSettings>,
    /// The control role, if the process has it.
    pub control: Option<ControlSettings>,
    /// The keys that are trusted to sign bundles.
    pub trust: Trust,
    /// How logs are written.
    pub log: LogSettings,
}

/// The settings that every process has.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// The name, unique among all processes.
    pub name: SmolStr,
    /// The failure domain of the VM.
    pub domain: SmolStr,
    /// UDP addresses for membership.
    pub gossip: Endpoint,
    /// UDP addresses for packets between balancers and agents.
    pub packets: Endpoint,
    /// TCP addresses for links and operators.
    pub control: Endpoint,
    /// TCP address where metrics are served over HTTP.
    pub metrics: Option<SocketAddr>,
    /// Membership addresses of processes that this one introduces itself to.
    pub seeds: Vec<SocketAddr>,
    /// The cluster key that all processes share.
    pub key: ClusterKey,
    /// The folder for durable state.
    pub data: Option<PathBuf>,
    /// How long a graceful stop may take.
    pub stop_limit: Duration,
}

/// The local and the announced address of a socket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The address that this process binds.
    pub bind: SocketAddr,
    /// The address that other processes send to.
    pub announced: SocketAddr,
}

/// The balancer role.
#[derive(Clone, Debug)]
pub struct BalancerSettings {
    /// UDP address where the fabric delivers callers' packets.
    pub fabric: SocketAddr,
    /// Threads that read packets.
    pub threads: usize,
}

/// The agent role.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// UDP address of the fabric, where packets to callers are sent.
    pub fabric: SocketAddr,
    /// The service of the backend server.
    pub service: SmolStr,
    /// TCP address of the backend server.
    pub backend: SocketAddr,
    /// The path of the backend server's health endpoint.
    pub health: SmolStr,
    /// Threads that read packets.
    pub threads: usize,
    /// How long a flow may be idle.
    pub idle: Duration,
    /// The maximum number of open flows.
    pub flows: usize,
    /// Whether the service starts for the first time, so that no idempotency record can exist.
    pub first_start: bool,
}

/// The control role.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// The link addresses of all control processes, this one included.
    pub peers: Vec<SocketAddr>,
    /// Whether this process may found a new control log when no control process has one.
    pub found: bool,
}

/// How logs are written.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Text or JSON.
    pub format: LogFormat,
    /// A level, or directives for modules.
    pub filter: SmolStr,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Role {
    Balancer,
    Agent,
    Control,
}

impl Settings {
    /// Reads the settings in the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns the first fault, with the file, line, key and allowed values.
    pub fn read(path: &Path) -> Result<Self> {
        Self::from_document(Document::read(path)?)
    }

    /// Parses settings from `text`; `file` is the name used in faults.
    ///
    /// # Errors
    ///
    /// Returns the first fault, with the file, line, key and allowed values.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        Self::from_document(Document::parse(file, text)?)
    }

    /// Returns the number of threads that read datagrams from balancers and agents.
    pub(crate) fn peer_threads(&self) -> usize {
        self.agent.as_ref().map_or(1, |agent| agent.threads)
    }

    fn from_document(mut document: Document) -> Result<Self> {
        let mut section = document.take("node")?;
        let roles = read_roles(&mut section)?;
        let needs_data = roles.contains(&Role::Control);
        let node = read_node(section, needs_data)?;
        let settings = Self {
            balancer: read_role(&mut document, &roles, Role::Balancer, |section| {
                read_balancer(section, &node)
            })?,
            agent: read_role(&mut document, &roles, Role::Agent, read_agent)?,
            control: read_role(&mut document, &roles, Role::Control, |section| {
                read_control(section, node.control.announced)
            })?,
            trust: read_trust(document.take("trust")?)?,
            log: read_log(document.take_optional("log"))?,
            node,
        };
        document.finish(&section_list(&roles))?;
        Ok(settings)
    }
}

/// Returns the id of the process named `name`.
pub fn node_id(name: &str) -> NodeId {
    let digest = buckthornweir_bundle::digest_of(name);
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&digest[..8]);
    NodeId::from_be_bytes(bytes)
}

impl Role {
    const NAMES: [(&'static str, Self); 3] = [
        ("balancer", Self::Balancer),
        ("agent", Self::Agent),
        ("control", Self::Control),
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Balancer => "balancer",
            Self::Agent => "agent",
            Self::Control => "control",
        }
    }
}

/// Returns the allowed sections of a process with these roles, formatted for faults.
fn section_list(roles: &[Role]) -> String {
    let roles: Vec<String> = roles.iter().map(|r| format!("[{}]", r.name())).collect();
    format!("[node], {}, [trust], [log]", roles.join(", "))
}

fn read_roles(section: &mut Section) -> Result<Vec<Role>> {
    let role = |item: &str| value::one_of(&Role::NAMES)(item);
    section.required("roles", value::list(role))
}

fn read_node(mut section: Section, needs_data: bool) -> Result<NodeSettings> {
    let stop_range = Duration::ZERO..=Duration::from_secs(3_600);
    let data = if needs_data {
        Some(section.required("data", value::text::<PathBuf>)?)
    } else {
        section.optional("data", value::text::<PathBuf>)?
    };
    let node = NodeSettings {
        name: section.required("name", value::name)?,
        domain: section.required("domain", value::name)?,
        gossip: read_endpoint(&mut section, "gossip", "announce-gossip")?,
        packets: read_endpoint(&mut section, "packets", "announce-packets")?,
        control: read_endpoint(&mut section, "control", "announce-control")?,
        metrics: section.optional("metrics", value::address)?,
        seeds: section.or("seeds", Vec::new(), value::list(value::address))?,
        key: ClusterKey::new(section.required("key", value::hex)?),
        data,
        stop_limit: section.or(
            "stop-limit",
            Duration::from_secs(30),
            value::duration(stop_range),
        )?,
    };
    check_distinct(&section, &node)?;
    section.finish()?;
    Ok(node)
}

/// Reads the address under the key `bind`, and the one under `announce` if it is present.
fn read_endpoint(
    section: &mut Section,
    bind: &'static str,
    announce: &'static str,
) -> Result<Endpoint> {
    let announced = section.optional(announce, reachable_address)?;
    let endpoint = match announced {
        Some(announced) => Endpoint {
            bind: section.required(bind, value::address)?,
            announced,
        },
        None => {
            let bind = section.required(bind, reachable_address)?;
            Endpoint {
                bind,
                announced: bind,
            }
        }
    };
    Ok(endpoint)
}

/// Parses an address that other processes can send to.
fn reachable_address(text: &str) -> value::Result<SocketAddr> {
    let address = value::address(text)?;
    if address.ip().is_unspecified() {
        return Err("an address that other processes reach, with a port".into());
    }
    Ok(address)
}

/// Parses the path of a URL.
fn url_path(text: &str) -> value::Result<SmolStr> {
    if !text.starts_with('/') || text.contains(|c: char| c.is_whitespace() || c.is_control()) {
        return Err("a path that starts with / and has no spaces".into());
    }
    Ok(text.into())
}

fn check_distinct(section: &Section, node: &NodeSettings) -> Result<()> {
    let allowed = "an address other than gossip's";
    if node.gossip.bind == node.packets.bind {
        return Err(section.invalid_value("packets", &node.packets.bind.to_string(), allowed));
    }
    if node.gossip.announced == node.packets.announced {
        let announced = node.packets.announced.to_string();
        return Err(section.invalid_value("announce-packets", &announced, allowed));
    }
    if node.metrics == Some(node.control.bind) {
        let allowed = "an address other than control's";
        return Err(section.invalid_value("metrics", &node.control.bind.to_string(), allowed));
    }
    Ok(())
}

fn read_role<T>(
    document: &mut Document,
    roles: &[Role],
    role: Role,
    read: impl FnOnce(Section) -> Result<T>,
) -> Result<Option<T>> {
    if !roles.contains(&role) {
        return Ok(None);
    }
    Ok(Some(read(document.take(role.name())?)?))
}

fn read_threads(section: &mut Section) -> Result<usize> {
    section.or("threads", 2, value::number(1..=64))
}

fn read_balancer(mut section: Section, node: &NodeSettings) -> Result<BalancerSettings> {
    let balancer = BalancerSettings {
        fabric: section.required("fabric", value::address)?,
        threads: read_threads(&mut section)?,
    };
    if [node.gossip.bind, node.packets.bind].contains(&balancer.fabric) {
        let allowed = "an address other than gossip's and packets'";
        return Err(section.invalid_value("fabric", &balancer.fabric.to_string(), allowed));
    }
    section.finish()?;
    Ok(balancer)
}

fn read_agent(mut section: Section) -> Result<AgentSettings> {
    let idle_range = Duration::from_secs(1)..=Duration::from_secs(24 * 3_600);
    let agent = AgentSettings {
        fabric: section.required("fabric", value::address)?,
        service: section.required("service", value::name)?,
        backend: section.required("backend", value::address)?,
        health: section.or("health", SmolStr::new("/-/health"), url_path)?,
        threads: read_threads(&mut section)?,
        idle: section.or(
            "idle",
            Duration::from_secs(600),
            value::duration(idle_range),
        )?,
        flows: section.or("flows", 20_000, value::number(1..=1_000_000))?,
        first_start: section.or("first-start", false, value::yes_no)?,
    };
    section.finish()?;
    Ok(agent)
}

fn read_control(mut section: Section, own: SocketAddr) -> Result<ControlSettings> {
    let peers: Vec<SocketAddr> = section.required("peers", value::list(value::address))?;
    if peers.len() > MAX_CONTROL_PROCESSES || !peers.contains(&own) {
        let listed: Vec<String> = peers.iter().map(ToString::to_string).collect();
        let allowed = "at most 7 addresses, with [node] control among them";
        return Err(section.invalid_value("peers", &listed.join(", "), allowed));
    }
    let found = section.or("found", false, value::yes_no)?;
    section.finish()?;
    Ok(ControlSettings { peers, found })
}

fn read_trust(mut section: Section) -> Result<Trust> {
    let keys: Vec<PublicKey> = section.required("keys", value::list(public_key))?;
    let revoked: Vec<PublicKey> = section.or("revoked", Vec::new(), value::list(value::hex))?;
    section.finish()?;
    let trust = keys.into_iter().fold(Trust::new(), Trust::with_key);
    Ok(revoked.into_iter().fold(trust, Trust::with_revoked))
}

fn read_log(section: Option<Section>) -> Result<LogSettings> {
    let Some(mut section) = section else {
        return Ok(LogSettings {
            format: LogFormat::Text,
            filter: "info".into(),
        });
    };
    let formats = [("text", LogFormat::Text), ("json", LogFormat::Json)];
    let log = LogSettings {
        format: section.or("format", LogFormat::Text, value::one_of(&formats))?,
        filter: section.or("filter", SmolStr::new("info"), log_filter)?,
    };
    section.finish()?;
    Ok(log)
}
