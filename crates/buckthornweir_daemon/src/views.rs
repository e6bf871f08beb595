//! Views of services and their members, on which decisions about flows are based. They are rebuilt
//! from the blackboard when it changes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use buckthornweir_bundle::{Bundle, Service, ServiceName};
use buckthornweir_flows::balancer::BalancerView;
use buckthornweir_flows::view::{AgentView, Member, MemberState, ServiceView};
use buckthornweir_members::{self as members, Health, Roles};
use buckthornweir_wire::ClusterKey;
use smol_str::SmolStr;

use crate::board::{self, Blackboard};

/// How long changes are collected before views are rebuilt.
pub(crate) const VIEW_UPDATE_DELAY: Duration = Duration::from_millis(50);

/// How long it takes until a process that has joined knows all members and all members know it.
const SETTLE_DELAY: Duration = Duration::from_secs(3);

/// The maximum number of services that are remembered for one address.
const MAX_REMEMBERED_SERVICES: usize = 8;

/// Builds views and caches those whose inputs have not changed.
#[derive(Default)]
pub(crate) struct ViewBuilder {
    key: [u8; 16],
    cached: BTreeMap<ServiceName, CachedView>,
    address_services: BTreeMap<SocketAddr, Vec<ServiceName>>,
    joined_at: Option<Duration>,
}

/// A view with the inputs that it was built from.
struct CachedView {
    addresses: Vec<SocketAddr>,
    members: Vec<Member>,
    out: BTreeSet<SmolStr>,
    view: Arc<ServiceView>,
}

impl ViewBuilder {
    /// Creates a builder without views.
    pub(crate) fn new(key: &ClusterKey) -> Self {
        Self {
            key: placement_key(key),
            ..Self::default()
        }
    }

    /// Returns the view of a balancer.
    pub(crate) fn balancer(&mut self, board: &Blackboard) -> BalancerView {
        let Some(signed) = board.signed_bundle() else {
            return BalancerView::default();
        };
        let bundle = signed.bundle();
        let views = self.services(bundle, &board.members(), |_| true);
        BalancerView::new(bundle.version, views.into_values().collect())
    }

    /// Returns the view of an agent of `service`, or `None` if no bundle with the service is in force.
    pub(crate) fn agent(&mut self, board: &Blackboard, service: &str) -> Option<AgentView> {
        let signed = board.signed_bundle()?;
        let bundle = signed.bundle();
        let members = board.members();
        self.remember(bundle);
        let related = self.related(service);
        let is_needed = |name: &ServiceName| name == service || related.contains(name);
        let mut views = self.services(bundle, &members, is_needed);
        let own = views.remove(service)?;
        let domain = &board.settings.node.domain;
        Some(AgentView {
            node: board.id,
            version: bundle.version,
            state: flow_state(board.own().state),
            is_out: !bundle.serves(service, domain),
            is_settled: self.is_settled(board, members.len()) && !is_partitioned(&members),
            others: views.values().map(|view| (**view).clone()).collect(),
            service: (*own).clone(),
        })
    }

    fn services(
        &mut self,
        bundle: &Bundle,
        members: &[board::Member],
        is_needed: impl Fn(&ServiceName) -> bool,
    ) -> BTreeMap<ServiceName, Arc<ServiceView>> {
        let mut by_service = agents_by_service(members);
        self.cached.retain(|name, _| bundle.service(name).is_some());
        let mut views = BTreeMap::new();
        for service in bundle.services.iter().filter(|s| is_needed(&s.name)) {
            let agents = by_service.remove(&service.name).unwrap_or_default();
            let view = self.service(bundle, service, agents);
            views.insert(service.name.clone(), view);
        }
        views
    }

    fn service(
        &mut self,
        bundle: &Bundle,
        service: &Service,
        agents: Vec<Member>,
    ) -> Arc<ServiceView> {
        let out = domains_out(bundle, service, &agents);
        if let Some(cached) = self.cached.get(&service.name)
            && cached.addresses == service.addresses
            && cached.members == agents
            && cached.out == out
        {
            return cached.view.clone();
        }
        let view = Arc::new(ServiceView::new(
            service.name.clone(),
            service.addresses.clone(),
            agents.clone(),
            &out,
            self.key,
        ));
        let cached = CachedView {
            addresses: service.addresses.clone(),
            members: agents,
            out,
            view: view.clone(),
        };
        self.cached.insert(service.name.clone(), cached);
        view
    }

    /// Returns whether this process has known other members for at least [`SETTLE_DELAY`]. A process
    /// without seeds is the first one and is settled at once.
    fn is_settled(&mut self, board: &Blackboard, members: usize) -> bool {
        if board.settings.node.seeds.is_empty() {
            return true;
        }
        if members <= 1 {
            return false;
        }
        let now = board.now();
        now >= *self.joined_at.get_or_insert(now) + SETTLE_DELAY
    }

    /// Remembers which services have had each address, the newest last.
    fn remember(&mut self, bundle: &Bundle) {
        for service in &bundle.services {
            for address in &service.addresses {
                let names = self.address_services.entry(*address).or_default();
                names.retain(|name| *name != service.name);
                names.push(service.name.clone());
                if names.len() > MAX_REMEMBERED_SERVICES {
                    names.remove(0);
                }
            }
        }
    }

    /// Returns the other services that have or had an address in common with `service`.
    fn related(&self, service: &str) -> BTreeSet<ServiceName> {
        let shared = self
            .address_services
            .values()
            .filter(|h| h.iter().any(|n| n == service));
        shared
            .flatten()
            .filter(|n| *n != service)
            .cloned()
            .collect()
    }
}

/// Returns whether at least half of all members are suspected or considered dead. A partition is then
/// more likely than so many failures, and flows without a known owner may still be alive.
fn is_partitioned(members: &[board::Member]) -> bool {
    let present = members
        .iter()
        .filter(|m| m.record.state != members::MemberState::Left);
    let (alive, unreachable): (Vec<_>, Vec<_>) = present.partition(|m| m.health == Health::Alive);
    !unreachable.is_empty() && unreachable.len() >= alive.len()
}

/// Returns the key of flow placement, which all processes derive from the cluster key.
pub(crate) fn placement_key(key: &ClusterKey) -> [u8; 16] {
    let derived = key.derive("placement");
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&derived[..16]);
    bytes
}

fn agents_by_service(members: &[board::Member]) -> BTreeMap<ServiceName, Vec<Member>> {
    let mut agents: BTreeMap<ServiceName, Vec<Member>> = BTreeMap::new();
    for member in members {
        let record = &member.record;
        if record.roles.contains(Roles::AGENT) && member.health != Health::Dead {
            let agent = flow_member(member);
            agents
                .entry(record.service.clone())
                .or_default()
                .push(agent);
        }
    }
    agents
}

fn flow_member(member: &board::Member) -> Member {
    let record = &member.record;
    Member {
        node: record.node,
        address: record.flows,
        domain: record.domain.clone(),
        state: flow_state(record.state),
        weight: record.weight,
    }
}

fn flow_state(state: members::MemberState) -> MemberState {
    match state {
        members::MemberState::Cold => MemberState::Cold,
        members::MemberState::Ready => MemberState::Ready,
        members::MemberState::Draining => MemberState::Draining,
        members::MemberState::Left => MemberState::Left,
    }
}

/// Returns the failure domains of `agents` in which, according to the bundle, the service does not run.
fn domains_out(bundle: &Bundle, service: &Service, agents: &[Member]) -> BTreeSet<SmolStr> {
    let domains = agents.iter().map(|agent| &agent.domain);
    domains
        .filter(|domain| !bundle.serves(&service.name, domain))
        .cloned()
        .collect()
}
