//! The search for the owner of a flow among the other agents.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::peers::Peer;
use crate::segment::FlowKey;
use crate::tag::Tag;

/// Packets that are kept for a flow while its owner is looked up; more are sent again by the caller.
const MAX_HELD_PACKETS: usize = 4;

/// How many searches may go on at once.
const MAX_LOOKUPS: usize = 4_096;

/// Flows that are remembered as not held here.
const MAX_DENIED_FLOWS: usize = 8_192;

/// How long a flow is remembered as not held here.
const DENIED_TTL: Duration = Duration::from_secs(10);

/// How long answers are awaited: some round trips between failure domains, and the pause of a busy VM.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a flow without owner is not looked up again.
const RETRY_DELAY: Duration = Duration::from_millis(350);

/// How far the acknowledgements of one flow lie apart at most: more than a window, less than a new flow's
/// random start is likely to.
const FLOW_ACK_RANGE: u32 = 1 << 24;

/// How long a search that found nobody is remembered.
const LOOKUP_TTL: Duration = Duration::from_millis(2_800);

/// How often a search that came too early to be certain is repeated without another packet.
const MAX_RETRIES: u8 = 3;

/// A packet that waits for the owner of its flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct HeldPacket {
    pub(crate) bytes: Vec<u8>,
    pub(crate) tag: Tag,
}

/// What a search is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LookupRequest {
    /// Who sent the packet that began the search.
    pub(crate) requester: SocketAddrV4,
    /// Acknowledgement of that packet.
    pub(crate) acknowledged: u32,
    /// Fingerprint of the agents that are known.
    pub(crate) fingerprint: u64,
    /// How many searches for the same packets went before.
    pub(crate) retries: u8,
}

/// An agent that has denied a flow, by where it takes packets.
#[derive(Clone, Copy, Debug)]
struct Denier {
    agent: SocketAddrV4,
    /// Fingerprint of the agents that it knew then.
    known: u64,
}

/// One search.
#[derive(Clone, Debug)]
struct Lookup {
    request: LookupRequest,
    /// When the packet came that began the search.
    started: Duration,
    /// When the first of the searches for this flow started that follow closely on each other.
    first_started: Duration,
    /// When the agents were asked that answer now.
    asked: Duration,
    /// Where the agents that have not answered take packets.
    pending: Vec<SocketAddrV4>,
    /// Agents that have denied the flow since it began. A backend server does not come to hold a flow later, so
    /// that these are asked again only for the agents that they know.
    deniers: Vec<Denier>,
    /// Agents that got a copy of the first packet, since they may hold the flow without knowing it.
    probed: Vec<SocketAddrV4>,
    /// Whether no other agents are asked when these deny the flow.
    asked_all: bool,
    /// Whether all that answered have seen each flow that their backend servers may hold.
    conclusive: bool,
    /// Whether nobody was found, which was not certain.
    retry_pending: bool,
    /// Where the agents that did not answer in time take packets.
    missing: Vec<SocketAddrV4>,
    held: Vec<HeldPacket>,
}

/// A search in which no agent that answered holds the flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct OwnerNotFound {
    pub(crate) request: LookupRequest,
    /// When the first of the searches for this flow started.
    pub(crate) first_started: Duration,
    /// Whether all that answered have seen each flow that their backend servers may hold.
    pub(crate) conclusive: bool,
    /// Where the agents that did not answer take packets.
    pub(crate) missing: Vec<SocketAddrV4>,
}

/// What a search came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum LookupOutcome {
    /// Answers are missing.
    Pending,
    /// No agent that was asked holds the flow; the others are to be asked.
    NotLocal,
    /// No agent that answered holds the flow.
    NotFound(OwnerNotFound),
}

/// A search whose answer came.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedLookup {
    /// Who sent the packet that began the search.
    pub(crate) requester: SocketAddrV4,
    /// Packets that the owner has not got yet.
    pub(crate) held: Vec<HeldPacket>,
}

/// Flows that the backend server here has returned a packet of.
#[derive(Debug, Default)]
pub(crate) struct DeniedFlows {
    map: HashMap<FlowKey, Duration>,
}

impl DeniedFlows {
    /// Notes that the backend server does not hold the flow.
    pub(crate) fn note(&mut self, now: Duration, key: FlowKey) {
        if self.map.len() < MAX_DENIED_FLOWS {
            self.map.insert(key, now);
        }
    }

    /// Forgets a flow: its port may be used anew.
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

/// The searches of one agent.
#[derive(Debug, Default)]
pub(crate) struct Lookups {
    map: HashMap<FlowKey, Lookup>,
}

impl Lookups {
    /// Keeps a packet for a search that goes on. Returns whether there is one, or one that found nobody
    /// a short time ago.
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

    /// Starts a search, which goes on where one for the same flow ended a short time ago. Returns whether
    /// there was room for it.
    pub(crate) fn start(
        &mut self,
        now: Duration,
        key: FlowKey,
        request: LookupRequest,
        held: Option<HeldPacket>,
    ) -> bool {
        let prior = self.map.remove(&key);
        let prior =
            prior.filter(|prior| is_same_flow(prior.request.acknowledged, request.acknowledged));
        if self.map.len() >= MAX_LOOKUPS {
            return false;
        }
        let lookup = Lookup {
            request,
            started: now,
            first_started: prior.as_ref().map_or(now, |prior| prior.first_started),
            asked: now,
            pending: Vec::new(),
            conclusive: prior.as_ref().is_none_or(|prior| prior.conclusive),
            deniers: prior.map(|prior| prior.deniers).unwrap_or_default(),
            probed: Vec::new(),
            asked_all: false,
            retry_pending: false,
            missing: Vec::new(),
            held: held.into_iter().collect(),
        };
        self.map.insert(key, lookup);
        true
    }

    /// Notes that these agents are asked, and returns those of them that have not denied the flow while they
    /// knew the same agents.
    pub(crate) fn ask<'a>(
        &mut self,
        now: Duration,
        key: &FlowKey,
        agents: Vec<&'a Peer>,
    ) -> Vec<&'a Peer> {
        let Some(lookup) = self.map.get_mut(key) else {
            return Vec::new();
        };
        lookup.asked = now;
        let mut asked = agents;
        let view = lookup.request.fingerprint;
        asked.retain(|peer| {
            lookup
                .denial(&peer.packet_addr)
                .is_none_or(|known| known != view)
        });
        lookup
            .pending
            .extend(asked.iter().map(|peer| peer.packet_addr));
        asked
    }

    /// Notes that there are no more agents to ask. Returns what the search came to when no answer is
    /// awaited.
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

    /// Returns the acknowledgement of the packet that a flow is searched by.
    pub(crate) fn acknowledged(&self, key: &FlowKey) -> Option<u32> {
        self.map.get(key).map(|lookup| lookup.request.acknowledged)
    }

    /// Returns whether all these agents have denied the flow, while they knew the agents with the fingerprint
    /// `view` if one is given.
    pub(crate) fn is_denied_by<'a>(
        &self,
        key: &FlowKey,
        mut agents: impl Iterator<Item = &'a Peer>,
        view: Option<u64>,
    ) -> bool {
        let Some(lookup) = self.map.get(key) else {
            return false;
        };
        agents.all(|peer| {
            let denial = lookup.denial(&peer.packet_addr);
            denial.is_some_and(|known| view.is_none_or(|view| view == known))
        })
    }

    /// Forgets what is known of a flow: its port is used anew.
    pub(crate) fn forget(&mut self, key: &FlowKey) {
        self.map.remove(key);
    }

    /// Ends a search whose answer came from `owner`.
    pub(crate) fn resolve(&mut self, key: &FlowKey, owner: SocketAddrV4) -> Option<ResolvedLookup> {
        let lookup = self.map.remove(key)?;
        let has_first = lookup.probed.contains(&owner);
        let held = lookup.held.into_iter();
        Some(ResolvedLookup {
            requester: lookup.request.requester,
            held: held.skip(usize::from(has_first)).collect(),
        })
    }

    /// Takes the answer of an agent that may hold the flow without knowing it. Returns the packet whose
    /// copy its backend server is to get; the agent answers again after that.
    pub(crate) fn probe(
        &mut self,
        now: Duration,
        key: &FlowKey,
        agent: SocketAddrV4,
    ) -> Option<HeldPacket> {
        let lookup = self.map.get_mut(key)?;
        if !lookup.pending.contains(&agent) || lookup.probed.contains(&agent) {
            return None;
        }
        lookup.probed.push(agent);
        lookup.asked = now;
        lookup.held.first().cloned()
    }

    /// Takes the answer of an agent that does not hold the flow, and the fingerprint of those it knows.
    pub(crate) fn deny(
        &mut self,
        key: &FlowKey,
        agent: SocketAddrV4,
        known: u64,
        conclusive: bool,
    ) -> LookupOutcome {
        let Some(lookup) = self.map.get_mut(key) else {
            return LookupOutcome::Pending;
        };
        // Late answers count as well.
        lookup.note_denial(agent, known);
        lookup.conclusive &= conclusive;
        let prior = lookup.pending.len();
        lookup.pending.retain(|pending| *pending != agent);
        if lookup.pending.len() == prior {
            return LookupOutcome::Pending;
        }
        match lookup.pending.is_empty() {
            true => lookup.conclude(),
            false => LookupOutcome::Pending,
        }
    }

    /// Notes that a search found nobody, which is not certain.
    pub(crate) fn schedule_retry(&mut self, key: &FlowKey) {
        if let Some(lookup) = self.map.get_mut(key) {
            lookup.retry_pending = lookup.request.retries < MAX_RETRIES;
        }
    }

    /// Returns the searches that are to be repeated now that more agents may be known.
    pub(crate) fn due_retries(&self, now: Duration) -> Vec<(FlowKey, LookupRequest)> {
        let due = |lookup: &Lookup| lookup.retry_pending && now >= lookup.started + RETRY_DELAY;
        let due = self.map.iter().filter(|(_, lookup)| due(lookup));
        due.map(|(key, lookup)| (*key, lookup.request)).collect()
    }

    /// Concludes the searches whose answers are overdue, and forgets old ones.
    pub(crate) fn sweep(&mut self, now: Duration) -> Vec<(FlowKey, LookupOutcome)> {
        self.map
            .retain(|_, lookup| now < lookup.started + LOOKUP_TTL);
        let overdue = self.map.iter_mut().filter(|(_, lookup)| {
            !lookup.pending.is_empty() && now >= lookup.asked + ANSWER_TIMEOUT
        });
        overdue
            .map(|(key, lookup)| (*key, lookup.conclude()))
            .collect()
    }

    /// Returns whether answers are awaited.
    pub(crate) fn is_waiting(&self) -> bool {
        let is_waiting = |lookup: &Lookup| lookup.retry_pending || !lookup.pending.is_empty();
        self.map.values().any(is_waiting)
    }
}

impl Lookup {
    /// Returns the fingerprint of the agents that an agent knew when it denied the flow last, if it did.
    fn denial(&self, agent: &SocketAddrV4) -> Option<u64> {
        let place = self
            .deniers
            .binary_search_by_key(agent, |denier| denier.agent);
        place.ok().map(|place| self.deniers[place].known)
    }

    fn note_denial(&mut self, agent: SocketAddrV4, known: u64) {
        let denier = Denier { agent, known };
        match self
            .deniers
            .binary_search_by_key(&agent, |denier| denier.agent)
        {
            Ok(place) => self.deniers[place] = denier,
            Err(place) => self.deniers.insert(place, denier),
        }
    }

    fn conclude(&mut self) -> LookupOutcome {
        self.missing.append(&mut self.pending);
        if !self.asked_all {
            return LookupOutcome::NotLocal;
        }
        LookupOutcome::NotFound(OwnerNotFound {
            request: self.request,
            first_started: self.first_started,
            conclusive: self.conclusive,
            missing: std::mem::take(&mut self.missing),
        })
    }
}

/// Returns whether two acknowledgements may be of one flow, and not of two that used the same port.
fn is_same_flow(one: u32, other: u32) -> bool {
    one.wrapping_sub(other) < FLOW_ACK_RANGE || other.wrapping_sub(one) < FLOW_ACK_RANGE
}
