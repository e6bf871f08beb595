//! Lookup of a flow's owner among the other agents.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::agent::Answer;
use crate::peers::{Peer, Peers};
use crate::segment::FlowKey;
use crate::tag::Tag;

/// Maximum number of packets held per flow during a lookup; the caller retransmits any others.
const MAX_HELD_PACKETS: usize = 4;

/// Maximum number of concurrent lookups.
const MAX_LOOKUPS: usize = 4_096;

/// Maximum number of flows remembered as not owned by the local backend server.
const MAX_DENIED_FLOWS: usize = 8_192;

/// How long a flow is remembered as not owned by the local backend server.
const DENIED_TTL: Duration = Duration::from_secs(10);

/// How long to wait for answers: covers several round trips between failure domains and a
/// scheduling pause of a busy VM.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Minimum delay between two lookups of a flow for which no owner was found.
const RETRY_DELAY: Duration = Duration::from_millis(350);

/// Maximum distance between two acknowledgement numbers of the same flow. Larger than a receive
/// window, and small enough that a new flow's random initial sequence number is unlikely to fall
/// within it.
const FLOW_ACK_RANGE: u32 = 1 << 24;

/// How long a lookup that found no owner is remembered.
const LOOKUP_TTL: Duration = Duration::from_millis(2_800);

/// How often an inconclusive lookup is retried without a further packet of the caller, not
/// counting retries made before the agent's grace period after its start has elapsed.
const MAX_RETRIES: u8 = 3;

/// A packet held until the owner of its flow is known.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct HeldPacket {
    pub(crate) bytes: Vec<u8>,
    pub(crate) tag: Tag,
}

/// The parameters of a lookup.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LookupRequest {
    /// Sender of the packet that triggered the lookup.
    pub(crate) requester: SocketAddrV4,
    /// Acknowledgement number of that packet.
    pub(crate) acknowledged: u32,
    /// Number of earlier lookups for the same packet, not counting retries made before the agent's
    /// grace period after its start has elapsed.
    pub(crate) retries: u8,
}

/// An agent that denied owning a flow, by its packet address.
#[derive(Clone, Copy, Debug)]
struct Denier {
    agent: SocketAddrV4,
    /// Fingerprint of the agents that it knew when it answered.
    known: u64,
    /// Fingerprint of their starts, or 0.
    instances: u64,
}

impl Denier {
    /// Returns whether it knew no agent that is unknown here.
    fn is_covered(&self, peers: &Peers) -> bool {
        let has_instances = self.instances != 0;
        self.known == peers.fingerprint() || has_instances && peers.accounts_for(self.instances)
    }
}

/// The state of one lookup.
#[derive(Clone, Debug)]
struct Lookup {
    request: LookupRequest,
    /// When this lookup started, on the triggering packet or as a retry.
    started: Duration,
    /// Start of the first lookup in an uninterrupted series of lookups for this flow.
    first_started: Duration,
    /// When the most recent questions were sent.
    asked: Duration,
    /// Packet addresses of the agents that have not answered yet.
    pending: Vec<SocketAddrV4>,
    /// Agents that denied the flow since `first_started`. A backend server can't become the owner
    /// of an existing flow later, so these are asked again only if they knew an agent that is
    /// unknown here.
    deniers: Vec<Denier>,
    /// Agents that received a copy of the first packet because they may own the flow unknowingly.
    probed: Vec<SocketAddrV4>,
    /// Whether all agents have been asked.
    asked_all: bool,
    /// Whether every agent that answered has seen all flows that its backend server may hold.
    conclusive: bool,
    /// Whether the lookup found no owner and was inconclusive.
    undecided: bool,
    /// Whether it is to be retried.
    retry_pending: bool,
    /// Packet addresses of the agents that did not answer in time.
    missing: Vec<SocketAddrV4>,
    held: Vec<HeldPacket>,
}

/// The result of a lookup in which no answering agent owns the flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct OwnerNotFound {
    pub(crate) request: LookupRequest,
    /// Start of the first lookup in the series for this flow.
    pub(crate) first_started: Duration,
    /// Whether every agent that answered has seen all flows that its backend server may hold.
    pub(crate) conclusive: bool,
    /// Packet addresses of the agents that did not answer.
    pub(crate) missing: Vec<SocketAddrV4>,
}

/// The state of a lookup after an answer or a timeout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LookupOutcome {
    /// Answers are outstanding.
    Pending,
    /// No agent of the own failure domain owns the flow; the other agents have to be asked.
    NotLocal,
    /// No agent that answered owns the flow.
    NotFound(OwnerNotFound),
}

/// A lookup that found the owner.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedLookup {
    /// Sender of the packet that triggered the lookup.
    pub(crate) requester: SocketAddrV4,
    /// Held packets that the owner has not received yet.
    pub(crate) held: Vec<HeldPacket>,
}

/// Flows that the local backend server is known not to own.
#[derive(Debug, Default)]
pub(crate) struct DeniedFlows {
    map: HashMap<FlowKey, Duration>,
}

impl DeniedFlows {
    /// Records that the local backend server does not own the flow.
    pub(crate) fn insert(&mut self, now: Duration, key: FlowKey) {
        if self.map.len() < MAX_DENIED_FLOWS {
            self.map.insert(key, now);
        }
    }

    /// Forgets a flow whose port may be reused.
    pub(crate) fn forget(&mut self, key: &FlowKey) {
        self.map.remove(key);
    }

    pub(crate) fn contains(&self, key: &FlowKey) -> bool {
        self.map.contains_key(key)
    }

    pub(crate) fn sweep(&mut self, now: Duration) {
        self.map.retain(|_, at| now < *at + DENIED_TTL);
    }
}

/// The lookups of one agent.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    map: HashMap<FlowKey, Lookup>,
}

impl Lookups {
    /// Holds a packet for a running lookup. Returns `false` if the flow has no lookup that started
    /// within [`RETRY_DELAY`]; a packet beyond [`MAX_HELD_PACKETS`] is discarded.
    pub(crate) fn hold(&mut self, now: Duration, key: &FlowKey, held: HeldPacket) -> bool {
        let Some(lookup) = self.map.get_mut(key) else {
            return false;
        };
        if now >= lookup.started + RETRY_DELAY {
            return false;
        }
        if lookup.held.len() < MAX_HELD_PACKETS {
            lookup.held.push(held);
        }
        true
    }

    /// Starts a lookup, continuing the series if the flow was looked up recently. Without a new packet
    /// those of the series stay held. Returns `false` if there are too many lookups.
    pub(crate) fn start(
        &mut self,
        now: Duration,
        key: FlowKey,
        request: LookupRequest,
        held: Option<HeldPacket>,
    ) -> bool {
        let prior = self.map.remove(&key);
        let mut prior =
            prior.filter(|prior| is_same_flow(prior.request.acknowledged, request.acknowledged));
        if self.map.len() >= MAX_LOOKUPS {
            return false;
        }
        // A retry without a new packet goes on with what is held and asked.
        let (earlier, pending) = match (&mut prior, &held) {
            (Some(prior), None) => (
                std::mem::take(&mut prior.held),
                std::mem::take(&mut prior.pending),
            ),
            _ => (Vec::new(), Vec::new()),
        };
        let lookup = Lookup {
            request,
            started: now,
            first_started: prior.as_ref().map_or(now, |prior| prior.first_started),
            asked: now,
            pending,
            conclusive: prior.as_ref().is_none_or(|prior| prior.conclusive),
            deniers: prior.map(|prior| prior.deniers).unwrap_or_default(),
            probed: Vec::new(),
            asked_all: false,
            undecided: false,
            retry_pending: false,
            missing: Vec::new(),
            held: held.map_or(earlier, |held| vec![held]),
        };
        self.map.insert(key, lookup);
        true
    }

    /// Records that these agents are asked. Returns those that have to be sent a question: the ones
    /// that have not denied the flow while knowing no agent that is unknown here.
    pub(crate) fn ask<'a>(
        &mut self,
        now: Duration,
        key: &FlowKey,
        agents: Vec<&'a Peer>,
        peers: &Peers,
    ) -> Vec<&'a Peer> {
        let Some(lookup) = self.map.get_mut(key) else {
            return Vec::new();
        };
        lookup.asked = now;
        let mut asked = agents;
        asked.retain(|peer| {
            let is_asked = lookup.pending.contains(&peer.packet_addr);
            !is_asked && lookup.awaits_denial(peer, peers)
        });
        let addresses = asked.iter().map(|peer| peer.packet_addr);
        lookup.pending.extend(addresses);
        asked
    }

    /// Records that agents that have just started are asked in all open lookups, except in those that
    /// have not come to the agents of other failure domains than `domain`. Agents that got a copy of the
    /// packet and did not answer are asked again too: their backend servers may hold the flow.
    ///
    /// Returns the agents to be sent a question, by flow.
    pub(crate) fn ask_started<'a>(
        &mut self,
        now: Duration,
        started: &[&'a Peer],
        domain: &str,
        peers: &'a Peers,
    ) -> Vec<(FlowKey, Vec<&'a Peer>)> {
        let mut questions = Vec::new();
        for (key, lookup) in &mut self.map {
            if !lookup.is_open() {
                continue;
            }
            let silent = match lookup.pending.is_empty() {
                true => {
                    lookup.asked = now;
                    std::mem::take(&mut lookup.probed)
                }
                false => Vec::new(),
            };
            let is_started = |agent: &SocketAddrV4| started.iter().any(|s| s.packet_addr == *agent);
            // The packet may have reached an earlier start, which can't answer any more.
            lookup.probed.retain(|agent| !is_started(agent));
            let silent = silent.iter().filter(|agent| !is_started(agent));
            let silent = silent.filter_map(|agent| peers.by_address(agent));
            let in_turn = |peer: &&&Peer| lookup.asked_all || peer.domain == domain;
            let started = started.iter().filter(in_turn).copied();
            let mut agents: Vec<&Peer> = started.chain(silent).collect();
            agents.retain(|peer| lookup.awaits_denial(peer, peers));
            for peer in &agents {
                if !lookup.pending.contains(&peer.packet_addr) {
                    lookup.pending.push(peer.packet_addr);
                }
            }
            questions.push((*key, agents));
        }
        questions.retain(|(_, agents)| !agents.is_empty());
        questions
    }

    /// Records that there are no further agents to ask. Returns the outcome if no answers are
    /// outstanding.
    pub(crate) fn finish_asking(&mut self, key: &FlowKey) -> LookupOutcome {
        let Some(lookup) = self.map.get_mut(key) else {
            return LookupOutcome::Pending;
        };
        lookup.asked_all = true;
        match lookup.pending.is_empty() {
            true => lookup.conclude(),
            false => LookupOutcome::Pending,
        }
    }

    /// Returns the acknowledgement number of the packet that triggered the lookup.
    pub(crate) fn acknowledged(&self, key: &FlowKey) -> Option<u32> {
        self.map.get(key).map(|lookup| lookup.request.acknowledged)
    }

    /// Returns when the first lookup in the series for this flow started.
    pub(crate) fn first_started(&self, key: &FlowKey) -> Option<Duration> {
        self.map.get(key).map(|lookup| lookup.first_started)
    }

    /// Returns whether all these agents have denied the flow. If `known` is given, a denial counts
    /// only if its agent knew no agent that is not among these.
    pub(crate) fn is_denied_by<'a>(
        &self,
        key: &FlowKey,
        mut agents: impl Iterator<Item = &'a Peer>,
        known: Option<&Peers>,
    ) -> bool {
        let Some(lookup) = self.map.get(key) else {
            return false;
        };
        agents.all(|peer| {
            let denial = lookup.denial(&peer.packet_addr);
            denial.is_some_and(|denier| known.is_none_or(|known| denier.is_covered(known)))
        })
    }

    /// Returns whether the agent has denied the flow.
    pub(crate) fn has_denied(&self, key: &FlowKey, agent: &SocketAddrV4) -> bool {
        let lookup = self.map.get(key);
        lookup.is_some_and(|lookup| lookup.denial(agent).is_some())
    }

    /// Forgets a flow whose port is reused.
    pub(crate) fn forget(&mut self, key: &FlowKey) {
        self.map.remove(key);
    }

    /// Completes a lookup that was answered by `owner`.
    pub(crate) fn resolve(&mut self, key: &FlowKey, owner: SocketAddrV4) -> Option<ResolvedLookup> {
        let lookup = self.map.remove(key)?;
        let has_first = lookup.probed.contains(&owner);
        let held = lookup.held.into_iter();
        Some(ResolvedLookup {
            requester: lookup.request.requester,
            held: held.skip(usize::from(has_first)).collect(),
        })
    }

    /// Handles the answer of an agent that may own the flow unknowingly. Returns the packet to copy
    /// to its backend server; the agent answers again once its backend server has reacted.
    pub(crate) fn probe(
        &mut self,
        now: Duration,
        key: &FlowKey,
        agent: SocketAddrV4,
    ) -> Option<HeldPacket> {
        let lookup = self.map.get_mut(key)?;
        if lookup.probed.contains(&agent) {
            return None;
        }
        if !lookup.pending.contains(&agent) {
            if !lookup.undecided {
                return None;
            }
            // The answer is late.
            lookup.pending.push(agent);
        }
        lookup.probed.push(agent);
        lookup.asked = now;
        lookup.held.first().cloned()
    }

    /// Handles the answer of an agent that does not own the flow.
    pub(crate) fn deny(
        &mut self,
        key: &FlowKey,
        answer: Answer,
        conclusive: bool,
    ) -> LookupOutcome {
        let agent = answer.agent;
        let Some(lookup) = self.map.get_mut(key) else {
            return LookupOutcome::Pending;
        };
        // Late answers also count as denials.
        lookup.note_denial(answer);
        lookup.conclusive &= conclusive;
        let before = lookup.pending.len();
        lookup.pending.retain(|pending| *pending != agent);
        if lookup.pending.len() == before {
            return LookupOutcome::Pending;
        }
        match lookup.pending.is_empty() {
            true => lookup.conclude(),
            false => LookupOutcome::Pending,
        }
    }

    /// Schedules a retry of an inconclusive lookup, unless it has been retried often enough.
    pub(crate) fn schedule_retry(&mut self, key: &FlowKey) {
        if let Some(lookup) = self.map.get_mut(key) {
            lookup.undecided = true;
            lookup.retry_pending = lookup.request.retries < MAX_RETRIES;
        }
    }

    /// Stops waiting for agents that are no longer known. Returns the lookups that waited for no
    /// others.
    pub(crate) fn drop_unknown(&mut self, peers: &Peers) -> Vec<(FlowKey, LookupOutcome)> {
        let mut concluded = Vec::new();
        for (key, lookup) in &mut self.map {
            let before = lookup.pending.len();
            lookup.pending.retain(|agent| peers.has(agent));
            if before > 0 && lookup.pending.is_empty() {
                concluded.push((*key, lookup.conclude()));
            }
        }
        concluded
    }

    /// Returns the lookups that found no owner and were inconclusive.
    pub(crate) fn undecided(&self) -> Vec<(FlowKey, OwnerNotFound)> {
        let undecided = self.map.iter().filter(|(_, lookup)| lookup.undecided);
        undecided
            .map(|(key, lookup)| (*key, lookup.not_found()))
            .collect()
    }

    /// Removes the packets that are held for flows whose owners are not known, and returns them.
    pub(crate) fn take_held(&mut self) -> Vec<(FlowKey, Vec<HeldPacket>)> {
        let open = self.map.iter_mut().filter(|(_, lookup)| lookup.is_open());
        open.map(|(key, lookup)| (*key, std::mem::take(&mut lookup.held)))
            .collect()
    }

    /// Records that a lookup is conclusive after all.
    pub(crate) fn decide(&mut self, key: &FlowKey) {
        if let Some(lookup) = self.map.get_mut(key) {
            (lookup.undecided, lookup.retry_pending) = (false, false);
        }
    }

    /// Returns the lookups that are due for a retry.
    pub(crate) fn due_retries(&self, now: Duration) -> Vec<(FlowKey, LookupRequest)> {
        let due = |lookup: &Lookup| lookup.retry_pending && now >= lookup.started + RETRY_DELAY;
        let due = self.map.iter().filter(|(_, lookup)| due(lookup));
        due.map(|(key, lookup)| (*key, lookup.request)).collect()
    }

    /// Concludes the lookups whose answers are overdue, and forgets old lookups.
    pub(crate) fn sweep(&mut self, now: Duration) -> Vec<(FlowKey, LookupOutcome)> {
        self.map
            .retain(|_, lookup| now < lookup.started + LOOKUP_TTL);
        let overdue = self
            .map
            .iter_mut()
            .filter(|(_, entry)| !entry.pending.is_empty() && now >= entry.asked + ANSWER_TIMEOUT);
        overdue
            .map(|(key, lookup)| (*key, lookup.conclude()))
            .collect()
    }

    /// Returns whether answers or retries are outstanding.
    pub(crate) fn is_waiting(&self) -> bool {
        self.map.values().any(Lookup::is_open)
    }
}

impl Lookup {
    /// Returns whether answers are outstanding, or the lookup found no owner and was inconclusive.
    fn is_open(&self) -> bool {
        self.undecided || !self.pending.is_empty()
    }

    /// Returns whether the agent has yet to deny the flow while it knows no agent that is unknown here.
    fn awaits_denial(&self, peer: &Peer, peers: &Peers) -> bool {
        let denial = self.denial(&peer.packet_addr);
        !denial.is_some_and(|denier| denier.is_covered(peers))
    }

    /// Returns the agent's last denial of the flow, if any.
    fn denial(&self, agent: &SocketAddrV4) -> Option<&Denier> {
        let index = self
            .deniers
            .binary_search_by_key(agent, |denier| denier.agent);
        index.ok().map(|index| &self.deniers[index])
    }

    fn note_denial(&mut self, answer: Answer) {
        let denier = Denier {
            agent: answer.agent,
            known: answer.known,
            instances: answer.instances,
        };
        match self
            .deniers
            .binary_search_by_key(&answer.agent, |denier| denier.agent)
        {
            Ok(index) => self.deniers[index] = denier,
            Err(index) => self.deniers.insert(index, denier),
        }
    }

    fn conclude(&mut self) -> LookupOutcome {
        self.missing.append(&mut self.pending);
        if !self.asked_all {
            return LookupOutcome::NotLocal;
        }
        let missing = std::mem::take(&mut self.missing);
        LookupOutcome::NotFound(OwnerNotFound {
            missing,
            ..self.not_found()
        })
    }

    fn not_found(&self) -> OwnerNotFound {
        OwnerNotFound {
            request: self.request,
            first_started: self.first_started,
            conclusive: self.conclusive,
            missing: Vec::new(),
        }
    }
}

/// Returns whether two acknowledgement numbers may belong to the same flow, rather than to two
/// flows that used the same port.
fn is_same_flow(one: u32, other: u32) -> bool {
    one.wrapping_sub(other) < FLOW_ACK_RANGE || other.wrapping_sub(one) < FLOW_ACK_RANGE
}
