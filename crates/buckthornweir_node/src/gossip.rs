//! Membership over the socket for messages between processes, and the view of agents that it gives.

use std::net::{SocketAddr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::NodeId;
use buckthornweir_forward::absences::{Absence, Absences};
use buckthornweir_forward::agent::Offer;
use buckthornweir_forward::peers::{Peer, Peers};
use buckthornweir_members::{
    Action, Announcement, BundleStamp, Config, Filling, Health, MemberState, Members, Message,
    Record, Roles, Roster, RosterRequest,
};
use siphasher::sip::SipHasher13;

use crate::fault::{NodeError, Result};
use crate::messages::{PeerBody, PeerMessage};
use crate::settings::{NodeSettings, RoleSettings};

/// Time for the direct probe of a process on another VM, with a hundred times the round trip.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for probes by way of other processes.
const INDIRECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Time in which a suspected process may refute.
const SUSPICION: Duration = Duration::from_millis(800);

/// How often a dead process or a seed is contacted.
const CONTACT_INTERVAL: Duration = Duration::from_secs(2);

/// How often a process that knows no other one greets its seeds: after a loss of power all VMs start
/// within some hundred milliseconds, in any order.
const LONE_INTERVAL: Duration = Duration::from_millis(100);

/// How long after its start a process has surely heard of all agents that started with it.
const ALL_HEARD: Duration = Duration::from_millis(1_500);

/// How soon a plan that did not arrive is pulled again.
const PULL_TIMEOUT: Duration = Duration::from_millis(700);

/// Weight of an agent that takes new flows.
const OPEN_WEIGHT: u8 = 16;

/// A newer plan at another process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pull {
    pub(crate) from: SocketAddr,
}

/// What the membership wants done.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) sends: Vec<(SocketAddr, PeerMessage)>,
    pub(crate) changed: bool,
    pub(crate) pulls: Vec<Pull>,
    /// Processes whose members are to be fetched.
    pub(crate) rosters: Vec<SocketAddr>,
}

/// The membership of one process.
pub(crate) struct Gossip {
    core: Members,
    absences: Absences,
}

impl Gossip {
    /// Returns the membership of a process that starts now.
    ///
    /// # Errors
    ///
    /// Returns an error when other processes would not accept the own record.
    pub(crate) fn new(settings: &NodeSettings, wall: Duration) -> Result<Self> {
        let record = own_record(settings, wall);
        record
            .check()
            .map_err(|error| NodeError::Record(error.to_string().into()))?;
        let config = Config::default()
            .with_probe_timeout(PROBE_TIMEOUT)
            .with_indirect_timeout(INDIRECT_TIMEOUT)
            .with_suspicion(SUSPICION)
            .with_contact_interval(CONTACT_INTERVAL)
            .with_join_interval(LONE_INTERVAL)
            .with_pull_timeout(PULL_TIMEOUT)
            .with_rosters(true);
        Ok(Self {
            core: Members::new(config, record, seeds(settings), rand::random()),
            absences: Absences::default(),
        })
    }

    pub(crate) fn node(&self) -> NodeId {
        self.core.own().node
    }

    pub(crate) fn set_seeds(&mut self, settings: &NodeSettings) {
        self.core.set_seeds(seeds(settings));
    }

    /// Returns whether the view of agents lacks none that may come back with its flows.
    ///
    /// An agent that restarts is not held as dead: that takes longer than its restart.
    pub(crate) fn knows_agents(&self, now: Duration) -> bool {
        now >= ALL_HEARD && self.is_whole()
    }

    /// Returns whether all members that others know are known here.
    pub(crate) fn is_whole(&self) -> bool {
        self.filling() == Filling::Whole
    }

    /// Returns how far the table of members is filled.
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
        self.carry_out(actions)
    }

    pub(crate) fn handle(&mut self, now: Duration, from: SocketAddr, bytes: &[u8]) -> Outcome {
        match Message::decode(bytes) {
            Ok(message) => {
                let actions = self.core.handle(now, from, message);
                self.carry_out(actions)
            }
            Err(error) => {
                tracing::warn!(event = "message_malformed", %from, %error);
                Outcome::default()
            }
        }
    }

    /// Returns what another process is asked for the members that are unknown here.
    pub(crate) fn roster_request(&self) -> RosterRequest {
        self.core.roster_request()
    }

    /// Answers such a request of the process that takes messages at `asker`.
    pub(crate) fn answer_roster(
        &mut self,
        now: Duration,
        asker: SocketAddr,
        request: RosterRequest,
    ) -> (Roster, Outcome) {
        let (roster, actions) = self.core.answer_roster(now, asker, request);
        (roster, self.carry_out(actions))
    }

    /// Takes the answer to a request, or `None` when there was none.
    pub(crate) fn take_roster(
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
        self.carry_out(actions)
    }

    fn log_filling(&self) {
        tracing::info!(event = "members_filled", filling = ?self.core.filling(), alive = self.alive());
    }

    /// Announces what the agent offers to new flows.
    pub(crate) fn announce_offer(&mut self, now: Duration, offer: Offer) -> Outcome {
        let weight = if offer.accepts { OPEN_WEIGHT } else { 0 };
        let state = match offer.cold {
            true => MemberState::Cold,
            false => MemberState::Ready,
        };
        let mut actions = self.core.announce(now, Announcement::Weight(weight));
        actions.extend(self.core.announce(now, Announcement::State(state)));
        actions.extend(self.core.announce(now, Announcement::Free(offer.free)));
        self.carry_out(actions)
    }

    pub(crate) fn announce_plan(&mut self, now: Duration, stamp: BundleStamp) -> Outcome {
        let actions = self.core.announce(now, Announcement::Bundle(stamp));
        self.carry_out(actions)
    }

    /// Announces that the process leaves for good.
    pub(crate) fn leave(&mut self, now: Duration) -> Outcome {
        let actions = self.core.leave(now);
        self.carry_out(actions)
    }

    /// Announces that the process stops as planned and comes back.
    pub(crate) fn suspend(&mut self, now: Duration) -> Outcome {
        let actions = self.core.suspend(now);
        self.carry_out(actions)
    }

    /// Returns the live agents, and those that may come back.
    pub(crate) fn peers(&mut self, now: Duration) -> Peers {
        let absent = self.core.iter().filter_map(|(r, health)| {
            let absence = absence(r, health)?;
            Some((r.node, absence))
        });
        for (node, absence) in self.absences.update(now, absent) {
            let name = self.core.get(node).map(|(record, _)| &*record.name);
            tracing::info!(event = "agent_absent", name, ?absence);
        }
        let agents = self.core.iter().filter_map(|(r, health)| agent(r, health));
        Peers::new(agents).with_away(self.absences.awaited(now))
    }

    /// Returns whether no agent is awaited any more.
    pub(crate) fn none_awaited(&self, now: Duration) -> bool {
        self.absences.none_awaited(now)
    }

    /// Returns where other control processes that are not known to be dead take messages.
    pub(crate) fn control_addresses(&self) -> Vec<SocketAddr> {
        let own = self.node();
        let control = |r: &&Record| r.roles.contains(Roles::CONTROL) && r.node != own;
        let live = self.core.iter().filter(|(_, h)| *h != Health::Dead);
        let records = live.map(|(r, _)| r).filter(control);
        records.map(|r| r.control).collect()
    }

    /// Returns another process that announces a plan above `revision`.
    pub(crate) fn holder_above(&self, revision: u64, skip: SocketAddr) -> Option<SocketAddr> {
        let own = self.node();
        let holds = |r: &&Record| r.bundle.version > revision && r.node != own && r.control != skip;
        let live = self.core.iter().filter(|(_, h)| *h == Health::Alive);
        live.map(|(r, _)| r).find(holds).map(|r| r.control)
    }

    /// Returns the newest revision that a member announces.
    pub(crate) fn newest_revision(&self) -> u64 {
        let newest = self.core.newest_bundle();
        newest.map_or(0, |(_, stamp)| stamp.version)
    }

    /// Returns a control process of the own failure domain, which gets new plans before others.
    pub(crate) fn near_control(&self) -> Option<SocketAddr> {
        let own = self.core.own();
        let near = |r: &&Record| {
            r.roles.contains(Roles::CONTROL) && r.domain == own.domain && r.node != own.node
        };
        let live = self.core.iter().filter(|(_, h)| *h == Health::Alive);
        live.map(|(r, _)| r).find(near).map(|r| r.control)
    }

    /// Returns how many processes are alive.
    pub(crate) fn alive(&self) -> usize {
        self.core.iter().filter(|(_, h)| *h != Health::Dead).count()
    }

    fn carry_out(&self, actions: Vec<Action>) -> Outcome {
        let mut outcome = Outcome::default();
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    let body = PeerBody::Members(message.encode());
                    outcome.sends.push((to, PeerMessage::of(body)));
                }
                Action::Updated { node } => {
                    outcome.changed = true;
                    self.log_change(node);
                }
                Action::Removed { .. } => outcome.changed = true,
                Action::PullBundle { from, .. } => {
                    let record = self.core.get(from).map(|(record, _)| record);
                    outcome
                        .pulls
                        .extend(record.map(|r| Pull { from: r.control }));
                }
                Action::FetchRoster { from } => outcome.rosters.push(from),
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

/// Returns why an agent is not there, if it is not.
fn absence(record: &Record, health: Health) -> Option<Absence> {
    match record.state {
        _ if !record.roles.contains(Roles::AGENT) => None,
        MemberState::Left => None,
        MemberState::Draining => Some(Absence::Stopped),
        MemberState::Cold | MemberState::Ready => (health == Health::Dead).then_some(Absence::Dead),
    }
}

fn agent(record: &Record, health: Health) -> Option<Peer> {
    let live = health != Health::Dead && record.state != MemberState::Left;
    let is_agent = record.roles.contains(Roles::AGENT);
    match (record.flows, record.gossip) {
        (SocketAddr::V4(packet_addr), SocketAddr::V4(ask_addr)) if live && is_agent => Some(Peer {
            node: record.node,
            packet_addr,
            ask_addr,
            domain: record.domain.clone(),
            service: record.service.clone(),
            accepts: record.weight > 0 && record.state != MemberState::Draining,
            cold: record.state == MemberState::Cold,
            free: record.free,
        }),
        _ => None,
    }
}

fn own_record(settings: &NodeSettings, wall: Duration) -> Record {
    let inner = SocketAddr::V4(settings.announced_peer_addr());
    let incarnation = u64::try_from(wall.as_millis()).unwrap_or(1);
    let mut record = Record::new(node_id(settings), &settings.name, inner)
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

/// Returns the id of a process: a VM that takes the name of another one has an id of its own.
fn node_id(settings: &NodeSettings) -> NodeId {
    let mut bytes = settings.name.as_bytes().to_vec();
    bytes.push(0);
    bytes.extend(settings.ip.octets());
    SipHasher13::new().hash(&bytes)
}

/// Returns the address as one of version 4.
pub(crate) fn v4(address: SocketAddr) -> Option<SocketAddrV4> {
    match address {
        SocketAddr::V4(address) => Some(address),
        SocketAddr::V6(_) => None,
    }
}
