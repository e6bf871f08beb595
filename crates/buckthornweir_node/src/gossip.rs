//! Membership over peer messages, and the set of agents derived from it.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::NodeId;
use buckthornweir_forward::absences::{Absence, Absences};
use buckthornweir_forward::agent::Offer;
use buckthornweir_forward::changes::{Changes, mark};
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_members::{
    Action, Announcement, BundleStamp, Config, Filling, Health, Instance, MemberState, Members,
    Message, Record, Roles, Roster, RosterRequest,
};
use siphasher::sip::SipHasher13;

use crate::fault::{NodeError, Result};
use crate::messages::{PeerBody, PeerMessage};
use crate::settings::{NodeSettings, RoleSettings};

/// Time limit for a direct probe; about a hundred times the round trip between VMs.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for indirect probes through other processes.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which a suspected process can refute the suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval at which a dead process or a seed is contacted.
const CONTACT_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which a process that knows no other one introduces itself to its seeds. It is short
/// because after a power failure all VMs start within some hundred milliseconds, in any order.
const JOIN_INTERVAL: Duration = Duration::from_millis(100);

/// Time after its start by which a process has heard of all agents that started with it.
const START_GRACE_PERIOD: Duration = Duration::from_millis(1_500);

/// Time after which a fetch of a plan that did not arrive is retried.
const PULL_TIMEOUT: Duration = Duration::from_millis(700);

/// The source of a newer plan.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pull {
    pub(crate) from: SocketAddr,
}

/// The effects of a membership event.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) outbox: Vec<(SocketAddr, PeerMessage)>,
    pub(crate) members_changed: bool,
    pub(crate) pulls: Vec<Pull>,
    /// Processes from which members are to be fetched.
    pub(crate) roster_sources: Vec<SocketAddr>,
}

/// The membership of one process.
pub(crate) struct Gossip {
    core: Members,
    absences: Absences,
    changes: Changes,
}

impl Gossip {
    /// Creates the membership of a process that starts now.
    ///
    /// # Errors
    ///
    /// Returns an error if the own record is invalid, since other processes would reject it.
    pub(crate) fn new(settings: &NodeSettings, unix_time: Duration) -> Result<Self> {
        let record = own_record(settings, unix_time);
        record
            .check()
            .map_err(|error| NodeError::Record(error.to_string().into()))?;
        let config = Config::default()
            .with_probe_timeout(PROBE_TIMEOUT)
            .with_indirect_timeout(INDIRECT_TIMEOUT)
            .with_suspicion(SUSPICION_TIMEOUT)
            .with_contact_interval(CONTACT_INTERVAL)
            .with_join_interval(JOIN_INTERVAL)
            .with_pull_timeout(PULL_TIMEOUT)
            .with_rosters(true);
        Ok(Self {
            core: Members::new(config, record, seeds(settings), rand::random()),
            absences: Absences::default(),
            changes: Changes::default(),
        })
    }

    pub(crate) fn node(&self) -> NodeId {
        self.core.own().node
    }

    pub(crate) fn set_seeds(&mut self, settings: &NodeSettings) {
        self.core.set_seeds(seeds(settings));
    }

    /// Returns whether all agents that may hold flows are known.
    ///
    /// This includes agents that are restarting, since a restart takes less time than the detection
    /// of a failure.
    pub(crate) fn knows_all_agents(&self, now: Duration) -> bool {
        now >= START_GRACE_PERIOD && self.is_complete()
    }

    /// Returns whether the table of members is complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.filling() == Filling::Whole
    }

    /// Returns how complete the table of members is.
    pub(crate) fn filling(&self) -> Filling {
        self.core.filling()
    }

    pub(crate) fn next_tick(&self) -> Duration {
        self.core.next_tick()
    }

    pub(crate) fn tick(&mut self, now: Duration) -> Outcome {
        let before = self.core.filling();
        let actions = self.core.tick(now);
        if before != self.core.filling() {
            self.log_filling();
        }
        self.process_actions(actions)
    }

    pub(crate) fn handle(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> Outcome {
        match Message::decode(bytes) {
            Ok(message) => {
                let actions = self.core.handle(now, from, message);
                self.process_actions(actions)
            }
            Err(error) => {
                tracing::warn!(event = "message_malformed", %from, %error);
                Outcome::default()
            }
        }
    }

    /// Builds a request for the members that are unknown here.
    pub(crate) fn roster_request(&self) -> RosterRequest {
        self.core.roster_request()
    }

    /// Answers a roster request of the process that receives peer messages at `requester`.
    pub(crate) fn answer_roster(
        &mut self,
        now: Duration,
        requester: SocketAddr,
        request: RosterRequest,
    ) -> (Roster, Outcome) {
        let (roster, actions) = self.core.answer_roster(now, requester, request);
        (roster, self.process_actions(actions))
    }

    /// Handles the response to a roster request, or `None` if it failed.
    pub(crate) fn handle_roster(
        &mut self,
        now: Duration,
        from: SocketAddr,
        roster: Option<Roster>,
    ) -> Outcome {
        let before = self.core.filling();
        let actions = self.core.handle_roster(now, from, roster);
        if before != self.core.filling() {
            self.log_filling();
        }
        self.process_actions(actions)
    }

    fn log_filling(&self) {
        tracing::info!(event = "members_filled", filling = ?self.core.filling(), alive = self.alive());
    }

    /// Announces the agent's capacity for new flows.
    pub(crate) fn announce_offer(&mut self, now: Duration, offer: Offer) -> Outcome {
        let weight = if offer.accepts { offer.weight } else { 0 };
        let state = match offer.cold {
            true => MemberState::Cold,
            false => MemberState::Ready,
        };
        let mut actions = self.core.announce(now, Announcement::Weight(weight));
        actions.extend(self.core.announce(now, Announcement::State(state)));
        actions.extend(self.core.announce(now, Announcement::Free(offer.free)));
        self.process_actions(actions)
    }

    pub(crate) fn announce_plan(&mut self, now: Duration, stamp: BundleStamp) -> Outcome {
        let actions = self.core.announce(now, Announcement::Bundle(stamp));
        self.process_actions(actions)
    }

    /// Announces that the process leaves permanently.
    pub(crate) fn leave(&mut self, now: Duration) -> Outcome {
        let actions = self.core.leave(now);
        self.process_actions(actions)
    }

    /// Announces a planned stop after which the process returns.
    pub(crate) fn suspend(&mut self, now: Duration) -> Outcome {
        let actions = self.core.suspend(now);
        self.process_actions(actions)
    }

    /// Returns the live agents, and the absent ones that may return.
    pub(crate) fn peers(&mut self, now: Duration) -> Peers {
        let absent = self.core.iter().filter_map(|(r, health)| {
            let absence = absence(r, health)?;
            Some((r.node, absence))
        });
        for (node, absence) in self.absences.update(now, absent) {
            let name = self.core.get(node).map(|(record, _)| &*record.name);
            tracing::info!(event = "agent_absent", name, ?absence);
        }
        let instance = |node| self.core.instance(node).unwrap_or_default();
        let agents = self
            .core
            .iter()
            .filter_map(|(r, health)| agent_peer(r, instance(r.node), health));
        let peers = Peers::new(agents);
        let has_left = |r: &&Record| r.roles.contains(Roles::AGENT) && r.state == MemberState::Left;
        let left = self.core.iter().map(|(r, _)| r).filter(has_left);
        let left = left.map(|r| mark(r.node, instance(r.node)));
        let span = self.changes.update(peers.marks(), left);
        peers
            .with_away(self.absences.awaited(now))
            .with_changes(span)
    }

    /// Returns whether no absent agent is awaited.
    pub(crate) fn none_awaited(&self, now: Duration) -> bool {
        self.absences.none_awaited(now)
    }

    /// Returns the addresses of the other control processes that are not considered dead.
    pub(crate) fn control_addresses(&self) -> Vec<SocketAddr> {
        let own = self.node();
        let control = |r: &&Record| r.roles.contains(Roles::CONTROL) && r.node != own;
        let live = self.core.iter().filter(|(_, h)| *h != Health::Dead);
        let records = live.map(|(r, _)| r).filter(control);
        records.map(|r| r.control).collect()
    }

    /// Returns the address of a process other than `exclude` that announces a plan above
    /// `revision`.
    pub(crate) fn holder_above(&self, revision: u64, exclude: SocketAddr) -> Option<SocketAddr> {
        let own = self.node();
        let has_newer =
            |r: &&Record| r.bundle.version > revision && r.node != own && r.control != exclude;
        let live = self.core.iter().filter(|(_, h)| *h == Health::Alive);
        live.map(|(r, _)| r).find(has_newer).map(|r| r.control)
    }

    /// Returns the newest revision that any member announces.
    pub(crate) fn newest_revision(&self) -> u64 {
        let newest = self.core.newest_bundle();
        newest.map_or(0, |(_, stamp)| stamp.version)
    }

    /// Returns the address of a control process in the own failure domain; control processes get
    /// new plans first.
    pub(crate) fn local_control(&self) -> Option<SocketAddr> {
        let own = self.core.own();
        let is_local = |r: &&Record| {
            r.roles.contains(Roles::CONTROL) && r.domain == own.domain && r.node != own.node
        };
        let live = self.core.iter().filter(|(_, h)| *h == Health::Alive);
        live.map(|(r, _)| r).find(is_local).map(|r| r.control)
    }

    /// Returns the number of processes that are not considered dead.
    pub(crate) fn alive(&self) -> usize {
        self.core.iter().filter(|(_, h)| *h != Health::Dead).count()
    }

    fn process_actions(&self, actions: Vec<Action>) -> Outcome {
        let mut outcome = Outcome::default();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let body = PeerBody::Members(message.encode());
                    outcome.outbox.push((to, PeerMessage::new(body)));
                }
                Action::Updated { node } => {
                    outcome.members_changed = true;
                    self.log_change(node);
                }
                Action::Removed { .. } => outcome.members_changed = true,
                Action::PullBundle { from, .. } => {
                    let record = self.core.get(from).map(|(record, _)| record);
                    outcome
                        .pulls
                        .extend(record.map(|r| Pull { from: r.control }));
                }
                Action::FetchRoster { from } => outcome.roster_sources.push(from),
                Action::Conflict { other, keeps } => {
                    tracing::warn!(event = "name_conflict", %other, keeps);
                }
            }
        }
        outcome
    }

    fn log_change(&self, node: NodeId) {
        if let Some((record, health)) = self.core.get(node) {
            tracing::debug!(
                event = "member_changed",
                member = %record.name,
                ?health,
                state = ?record.state,
                weight = record.weight,
                incarnation = record.incarnation,
                revision = record.bundle.version,
            );
        }
    }
}

fn seeds(settings: &NodeSettings) -> Vec<SocketAddr> {
    let seeds = settings.seed_addresses().into_iter();
    seeds.map(SocketAddr::V4).collect()
}

/// Returns why a member is absent, if it is an absent agent that may return.
fn absence(record: &Record, health: Health) -> Option<Absence> {
    match record.state {
        _ if !record.roles.contains(Roles::AGENT) => None,
        MemberState::Left => None,
        MemberState::Draining => Some(Absence::Stopped),
        MemberState::Cold | MemberState::Ready => (health == Health::Dead).then_some(Absence::Dead),
    }
}

fn agent_peer(record: &Record, instance: Instance, health: Health) -> Option<Peer> {
    let live = health != Health::Dead && record.state != MemberState::Left;
    let is_agent = record.roles.contains(Roles::AGENT);
    match (record.flows, record.gossip) {
        (SocketAddr::V4(packet_addr), SocketAddr::V4(ask_addr)) if live && is_agent => Some(Peer {
            node: record.node,
            instance,
            packet_addr,
            ask_addr,
            domain: record.domain.clone(),
            service: record.service.clone(),
            accepts: record.weight > 0 && record.state != MemberState::Draining,
            cold: record.state == MemberState::Cold,
            free: record.free,
            weight: record.weight,
        }),
        _ => None,
    }
}

fn own_record(settings: &NodeSettings, unix_time: Duration) -> Record {
    let peer_addr = SocketAddr::V4(settings.announced_peer_addr());
    let incarnation = u64::try_from(unix_time.as_millis()).unwrap_or(1);
    let mut record = Record::new(node_id(settings), &settings.name, peer_addr)
        .with_incarnation(incarnation)
        .with_domain(&settings.domain)
        .with_state(MemberState::Ready);
    match &settings.role {
        RoleSettings::Balancer(balancer) => {
            record.roles = Roles::BALANCER;
            record.flows = SocketAddr::V4(settings.announced_addr(balancer.packets));
        }
        RoleSettings::Agent(agent) => {
            record.roles = Roles::AGENT;
            record.service = agent.service.clone();
            record.flows = SocketAddr::V4(settings.announced_addr(agent.packets));
        }
        RoleSettings::Control(_) => record.roles = Roles::CONTROL,
    }
    record
}

/// Returns the id of a process. It depends on the address too, so that a VM that reuses another
/// one's name gets a different id.
fn node_id(settings: &NodeSettings) -> NodeId {
    let mut bytes = settings.name.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend(settings.ip.octets());
    SipHasher13::new().hash(&bytes)
}

/// Returns the address if it is an IPv4 address.
pub(crate) fn as_v4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}
