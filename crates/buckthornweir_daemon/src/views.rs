//! What the decisions about flows go by: views of services and their members, worked out from the
//! blackboard at each change.

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

/// How long changes are gathered before views are worked out anew.
pub(crate) const GATHER: Duration = Duration::from_millis(50);

/// How long it takes until a process that has met others knows all members, and all know it.
const SETTLING: Duration = Duration::from_secs(3);

/// The most services that are remembered for one address.
const REMEMBERED: usize = 8;

/// Works out views, and keeps those whose inputs have not changed.
#[derive(Default)]
pub(crate) struct ViewBuilder {
    key: [u8; 16],
    made: BTreeMap<ServiceName, Made>,
    holders: BTreeMap<SocketAddr, Vec<ServiceName>>,
    joined: Option<Duration>,
}

/// A view with what it was made from.
struct Made {
    addresses: Vec<SocketAddr>,
    members: Vec<Member>,
    out: BTreeSet<SmolStr>,
    view: Arc<ServiceView>,
}

impl ViewBuilder {
    /// Returns a builder without views.
    pub(crate) fn new(key: &ClusterKey) -> Self {
        Self {
            key: placement_key(key),
            ..Self::default()
        }
    }

    /// Returns what a balancer goes by.
    pub(crate) fn balancer(&mut self, board: &Blackboard) -> BalancerView {
        let Some(signed) = board.signed_bundle() else {
            return BalancerView::default();
        };
        let bundle = signed.bundle();
        let views = self.services(bundle, &board.members(), |_| true);
        BalancerView::new(bundle.version, views.into_values().collect())
    }

    /// Returns what an agent of `service` goes by, or `None` without a bundle that has it.
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
            is_settled: self.is_settled(board, members.len()) && !is_cut_off(&members),
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
        self.made.retain(|name, _| bundle.service(name).is_some());
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
        if let Some(made) = self.made.get(&service.name)
            && made.addresses == service.addresses
            && made.members == agents
            && made.out == out
        {
            return made.view.clone();
        }
        let view = Arc::new(ServiceView::new(
            service.name.clone(),
            service.addresses.clone(),
            agents.clone(),
            &out,
            self.key,
        ));
        let made = Made {
            addresses: service.addresses.clone(),
            members: agents,
            out,
            view: view.clone(),
        };
        self.made.insert(service.name.clone(), made);
        view
    }

    /// Returns whether this process has known other members for so long that it knows all of them
    /// and all know it. A process without seeds is the first one and knows all there are.
    fn is_settled(&mut self, board: &Blackboard, members: usize) -> bool {
        if board.settings.node.seeds.is_empty() {
            return true;
        }
        if members <= 1 {
            return false;
        }
        let now = board.now();
        now >= *self.joined.get_or_insert(now) + SETTLING
    }

    /// Remembers which services have held each address, the newest last.
    fn remember(&mut self, bundle: &Bundle) {
        for service in &bundle.services {
            for address in &service.addresses {
                let held = self.holders.entry(*address).or_default();
                held.retain(|name| *name != service.name);
                held.push(service.name.clone());
                if held.len() > REMEMBERED {
                    held.remove(0);
                }
            }
        }
    }

    /// Returns the services that have or had an address which is or was one of `service`.
    fn related(&self, service: &str) -> BTreeSet<ServiceName> {
        let shared = self
            .holders
            .values()
            .filter(|h| h.iter().any(|n| n == service));
        shared
            .flatten()
            .filter(|n| *n != service)
            .cloned()
            .collect()
    }
}

/// Returns whether half of all members or more are suspected or taken for dead. It is then likelier
/// that this process is cut off from them than that they died, and flows that it has no owner for may
/// live.
fn is_cut_off(members: &[board::Member]) -> bool {
    let present = members
        .iter()
        .filter(|m| m.record.state != members::MemberState::Left);
    let (alive, away): (Vec<_>, Vec<_>) = present.partition(|m| m.health == Health::Alive);
    !away.is_empty() && away.len() >= alive.len()
}

/// Returns the key under which flows are placed; all processes derive the same one.
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
            let view = flow_member(member);
            agents.entry(record.service.clone()).or_default().push(view);
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

/// Returns the failure domains of `agents` where the service does not run now.
fn domains_out(bundle: &Bundle, service: &Service, agents: &[Member]) -> BTreeSet<SmolStr> {
    let domains = agents.iter().map(|agent| &agent.domain);
    domains
        .filter(|domain| !bundle.serves(&service.name, domain))
        .cloned()
        .collect()
}
