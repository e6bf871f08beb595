//! What a process knows of the agents. Announcements reach each process with a delay of its own.

use std::collections::BTreeMap;
use std::time::Duration;

use buckthornweir_forward::NodeId;
use buckthornweir_forward::absences::{Absence, Absences};
use buckthornweir_forward::changes::{Changes, mark};
use buckthornweir_forward::peers::{Peer, Peers};

use crate::common::peer;

const DOMAINS: [&str; 2] = ["a", "b"];

/// Returns the failure domain of a VM.
pub(super) fn domain(vm: u8) -> &'static str {
    DOMAINS[usize::from(vm) % DOMAINS.len()]
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum State {
    Running,
    /// Stopped as planned; it returns with its flows.
    Stopped,
    Left,
}

/// What an agent announced last.
#[derive(Clone, Debug)]
pub(super) struct Member {
    pub(super) vm: u8,
    pub(super) node: NodeId,
    pub(super) instance: u32,
    /// Orders the announcements about one agent.
    pub(super) version: u64,
    pub(super) accepts: bool,
    pub(super) state: State,
    pub(super) dead: bool,
}

/// The agents known to one process.
#[derive(Debug, Default)]
pub(super) struct Directory {
    members: BTreeMap<NodeId, Member>,
    absences: Absences,
    changes: Changes,
    peers: Peers,
    /// Whether it knows all agents that the process knew from which it got its first members.
    pub(super) synced: bool,
}

impl Directory {
    pub(super) fn peers(&self) -> &Peers {
        &self.peers
    }

    pub(super) fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// Stores an announcement unless it is older than the known one.
    pub(super) fn merge(&mut self, member: &Member) {
        let order = |m: &Member| (m.version, m.dead);
        let known = self.members.get(&member.node).map(order);
        if known.is_none_or(|known| known < order(member)) {
            self.members.insert(member.node, member.clone());
        }
    }

    /// Considers one start of an agent dead unless it has announced that it stopped or left.
    pub(super) fn suspect(&mut self, node: NodeId, instance: u32) {
        if let Some(member) = self.members.get_mut(&node)
            && member.instance == instance
        {
            member.dead = true;
        }
    }

    /// Recomputes the set of agents that decisions are based on.
    pub(super) fn refresh(&mut self, now: Duration) {
        let absent = self.members.values().filter_map(|m| match m.state {
            State::Left => None,
            State::Stopped => Some((m.node, Absence::Stopped)),
            State::Running => m.dead.then_some((m.node, Absence::Dead)),
        });
        self.absences.update(now, absent);
        let is_live = |m: &&Member| !m.dead && m.state != State::Left;
        let live = self.members.values().filter(is_live).map(|m| Peer {
            node: m.node,
            instance: m.instance,
            accepts: m.accepts && m.state == State::Running,
            ..peer(m.vm, domain(m.vm), "desk")
        });
        let peers = Peers::new(live);
        let left = self.members.values().filter(|m| m.state == State::Left);
        let left = left.map(|m| mark(m.node, m.instance));
        let span = self.changes.update(peers.marks(), left);
        let away = self.absences.awaited(now);
        self.peers = peers.with_away(away).with_changes(span);
    }
}
