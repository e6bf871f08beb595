//! The tables of a balancer, worked out at each change of bundle or members and swapped whole.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use buckthornweir_bundle::{Bundle, Service, ServiceName, Version};
use buckthornweir_flows::placement::{Candidate, Placement};
use buckthornweir_members::{Health, MemberState, Roles};
use buckthornweir_wire::{ClusterKey, NodeId};

use crate::board::{Blackboard, Member};

/// Where packets go, by the address that callers use.
#[derive(Debug, Default)]
pub(crate) struct Tables {
    /// The version of the bundle.
    pub(crate) version: Version,
    services: HashMap<SocketAddr, Arc<ServiceTable>>,
}

/// Where packets of one service go.
#[derive(Debug)]
pub(crate) struct ServiceTable {
    /// The service.
    pub(crate) name: ServiceName,
    /// The owners of its buckets.
    pub(crate) placement: Placement,
    /// Where each agent takes packets.
    pub(crate) agents: HashMap<NodeId, SocketAddr>,
}

impl Tables {
    /// Works the tables out from the blackboard.
    pub(crate) fn of(board: &Blackboard) -> Self {
        let members = board.members();
        let key = placement_key(&board.settings.node.key);
        board
            .with_bundle(|bundle| Self::build(bundle, &members, key))
            .unwrap_or_default()
    }

    fn build(bundle: &Bundle, members: &[Member], key: [u8; 16]) -> Self {
        let mut services = HashMap::new();
        for service in &bundle.services {
            let table = Arc::new(ServiceTable::build(bundle, service, members, key));
            for address in &service.addresses {
                services.insert(*address, table.clone());
            }
        }
        Self {
            version: bundle.version,
            services,
        }
    }

    /// Returns the table of the service at `address`.
    pub(crate) fn service_at(&self, address: &SocketAddr) -> Option<&Arc<ServiceTable>> {
        self.services.get(address)
    }
}

impl ServiceTable {
    fn build(bundle: &Bundle, service: &Service, members: &[Member], key: [u8; 16]) -> Self {
        let serving = || members.iter().filter(|m| serves(bundle, &service.name, m));
        let candidates: Vec<Candidate> = serving().map(candidate).collect();
        let agents = serving().map(|m| (m.record.node, m.record.flows));
        Self {
            name: service.name.clone(),
            placement: Placement::new(key, &candidates),
            agents: agents.collect(),
        }
    }
}

/// Returns the key under which flows are placed; all processes derive the same one.
pub(crate) fn placement_key(key: &ClusterKey) -> [u8; 16] {
    let derived = key.derive("placement");
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&derived[..16]);
    bytes
}

fn serves(bundle: &Bundle, service: &str, member: &Member) -> bool {
    let record = &member.record;
    record.roles.contains(Roles::AGENT)
        && record.service == service
        && record.state != MemberState::Left
        && member.health != Health::Dead
        && bundle.serves(service, &record.domain)
}

fn candidate(member: &Member) -> Candidate {
    let record = &member.record;
    let takes_flows = matches!(record.state, MemberState::Cold | MemberState::Ready);
    Candidate {
        node: record.node,
        weight: if takes_flows { record.weight } else { 0 },
    }
}
