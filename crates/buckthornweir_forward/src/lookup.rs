//! The search for the owner of a flow among the other agents.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use crate::peers::Peer;
use crate::segment::FlowKey;
use crate::tag::Tag;

/// Packets that are kept for a flow while its owner is looked up; more are sent again by the caller.
const HELD_LIMIT: usize = 4;

/// How many searches may go on at once.
const LOOKUP_LIMIT: usize = 4_096;

/// Flows that are remembered as not held here.
const DENIED_LIMIT: usize = 8_192;

/// How long a flow is remembered as not held here.
const DENIED_LIFE: Duration = Duration::from_secs(10);

/// How long answers are awaited: some round trips between failure domains, and the pause of a busy VM.
const ANSWER_LIMIT: Duration = Duration::from_millis(150);

/// How long a flow without owner is not looked up again.
const REPEAT: Duration = Duration::from_millis(350);

/// How far the acknowledgements of one flow lie apart at most: more than a window, less than a new flow's
/// random start is likely to.
const FLOW_SPAN: u32 = 1 << 24;

/// How long a search that found nobody is remembered.
const MEMORY: Duration = Duration::from_millis(2_800);

/// How often a search that came too early to be certain is repeated without another packet.
const REPEATS: u8 = 3;

/// A packet that waits for the owner of its flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Held {
    pub(crate) bytes: Vec<u8>,
    pub(crate) tag: Tag,
}

/// What a search is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Search {
    /// Who sent the packet that began the search.
    pub(crate) asker: SocketAddrV4,
    /// Acknowledgement of that packet.
    pub(crate) acknowledged: u32,
    /// Fingerprint of the agents that are known.
    pub(crate) fingerprint: u64,
    /// How many searches for the same packets went before.
    pub(crate) repeats: u8,
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
    search: Search,
    /// When the packet came that began the search.
    started: Duration,
    /// When the first of the searches for this flow started that follow closely on each other.
    began: Duration,
    /// When the agents were asked that answer now.
    asked: Duration,
    /// Where the agents that have not answered take packets.
    open: Vec<SocketAddrV4>,
    /// Agents that have denied the flow since it began. A backend server does not come to hold a flow later, so
    /// that these are asked again only for the agents that they know.
    deniers: Vec<Denier>,
    /// Agents that got a copy of the first packet, since they may hold the flow without knowing it.
    probed: Vec<SocketAddrV4>,
    /// Whether no other agents are asked when these deny the flow.
    is_last: bool,
    /// Whether all that answered have seen each flow that their backend servers may hold.
    sure: bool,
    /// Whether nobody was found, which was not certain.
    unsettled: bool,
    /// Where the agents that did not answer in time take packets.
    missing: Vec<SocketAddrV4>,
    held: Vec<Held>,
}

/// A search in which no agent that answered holds the flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Nobody {
    pub(crate) search: Search,
    /// When the first of the searches for this flow started.
    pub(crate) began: Duration,
    /// Whether all that answered have seen each flow that their backend servers may hold.
    pub(crate) sure: bool,
    /// Where the agents that did not answer take packets.
    pub(crate) missing: Vec<SocketAddrV4>,
}

/// What a search came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Found {
    /// Answers are missing.
    Open,
    /// No agent that was asked holds the flow; the others are to be asked.
    NotNear,
    /// No agent that answered holds the flow.
    Nobody(Nobody),
}

/// A search whose answer came.
#[derive(Clone, Debug)]
pub(crate) struct Ended {
    /// Who sent the packet that began the search.
    pub(crate) asker: SocketAddrV4,
    /// Packets that the owner has not got yet.
    pub(crate) held: Vec<Held>,
}

/// Flows that the backend server here has returned a packet of.
#[derive(Debug, Default)]
pub(crate) struct Denied {
    map: HashMap<FlowKey, Duration>,
}

impl Denied {
    /// Notes that the backend server does not hold the flow.
    pub(crate) fn note(&mut self, now: Duration, key: FlowKey) {
        if self.map.len() < DENIED_LIMIT {
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
        self.map.retain(|_, at| now < *at + DENIED_LIFE);
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
    pub(crate) fn hold(&mut self, now: Duration, key: &FlowKey, held: Held) -> bool {
        let Some(lookup) = self.map.get_mut(key) else {
            return false;
        };
        if now >= lookup.started + REPEAT {
            return false;
        }
        if lookup.held.len() < HELD_LIMIT {
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
        search: Search,
        held: Option<Held>,
    ) -> bool {
        let before = self.map.remove(&key);
        let before =
            before.filter(|before| is_near(before.search.acknowledged, search.acknowledged));
        if self.map.len() >= LOOKUP_LIMIT {
            return false;
        }
        let lookup = Lookup {
            search,
            started: now,
            began: before.as_ref().map_or(now, |before| before.began),
            asked: now,
            open: Vec::new(),
            sure: before.as_ref().is_none_or(|before| before.sure),
            deniers: before.map(|before| before.deniers).unwrap_or_default(),
            probed: Vec::new(),
            is_last: false,
            unsettled: false,
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
        let view = lookup.search.fingerprint;
        asked.retain(|peer| {
            lookup
                .denial(&peer.packets)
                .is_none_or(|known| known != view)
        });
        lookup.open.extend(asked.iter().map(|peer| peer.packets));
        asked
    }

    /// Notes that there are no more agents to ask. Returns what the search came to when no answer is
    /// awaited.
    pub(crate) fn ask_no_more(&mut self, key: &FlowKey) -> Found {
        let Some(lookup) = self.map.get_mut(key) else {
            return Found::Open;
        };
        lookup.is_last = true;
        match lookup.open.is_empty() {
            true => lookup.conclude(),
            false => Found::Open,
        }
    }

    /// Returns the acknowledgement of the packet that a flow is searched by.
    pub(crate) fn acknowledged(&self, key: &FlowKey) -> Option<u32> {
        self.map.get(key).map(|lookup| lookup.search.acknowledged)
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
            let denial = lookup.denial(&peer.packets);
            denial.is_some_and(|known| view.is_none_or(|view| view == known))
        })
    }

    /// Forgets what is known of a flow: its port is used anew.
    pub(crate) fn forget(&mut self, key: &FlowKey) {
        self.map.remove(key);
    }

    /// Ends a search whose answer came from `owner`.
    pub(crate) fn end(&mut self, key: &FlowKey, owner: SocketAddrV4) -> Option<Ended> {
        let lookup = self.map.remove(key)?;
        let has_first = lookup.probed.contains(&owner);
        let held = lookup.held.into_iter();
        Some(Ended {
            asker: lookup.search.asker,
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
    ) -> Option<Held> {
        let lookup = self.map.get_mut(key)?;
        if !lookup.open.contains(&agent) || lookup.probed.contains(&agent) {
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
        sure: bool,
    ) -> Found {
        let Some(lookup) = self.map.get_mut(key) else {
            return Found::Open;
        };
        // Late answers count as well.
        lookup.note_denial(agent, known);
        lookup.sure &= sure;
        let before = lookup.open.len();
        lookup.open.retain(|open| *open != agent);
        if lookup.open.len() == before {
            return Found::Open;
        }
        match lookup.open.is_empty() {
            true => lookup.conclude(),
            false => Found::Open,
        }
    }

    /// Notes that a search found nobody, which is not certain.
    pub(crate) fn doubt(&mut self, key: &FlowKey) {
        if let Some(lookup) = self.map.get_mut(key) {
            lookup.unsettled = lookup.search.repeats < REPEATS;
        }
    }

    /// Returns the searches that are to be repeated now that more agents may be known.
    pub(crate) fn unsettled(&self, now: Duration) -> Vec<(FlowKey, Search)> {
        let due = |lookup: &Lookup| lookup.unsettled && now >= lookup.started + REPEAT;
        let due = self.map.iter().filter(|(_, lookup)| due(lookup));
        due.map(|(key, lookup)| (*key, lookup.search)).collect()
    }

    /// Concludes the searches whose answers are overdue, and forgets old ones.
    pub(crate) fn sweep(&mut self, now: Duration) -> Vec<(FlowKey, Found)> {
        self.map.retain(|_, lookup| now < lookup.started + MEMORY);
        let overdue = self
            .map
            .iter_mut()
            .filter(|(_, lookup)| !lookup.open.is_empty() && now >= lookup.asked + ANSWER_LIMIT);
        overdue
            .map(|(key, lookup)| (*key, lookup.conclude()))
            .collect()
    }

    /// Returns whether answers are awaited.
    pub(crate) fn is_waiting(&self) -> bool {
        let waits = |lookup: &Lookup| lookup.unsettled || !lookup.open.is_empty();
        self.map.values().any(waits)
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

    fn conclude(&mut self) -> Found {
        self.missing.append(&mut self.open);
        if !self.is_last {
            return Found::NotNear;
        }
        Found::Nobody(Nobody {
            search: self.search,
            began: self.began,
            sure: self.sure,
            missing: std::mem::take(&mut self.missing),
        })
    }
}

/// Returns whether two acknowledgements may be of one flow, and not of two that used the same port.
fn is_near(one: u32, other: u32) -> bool {
    one.wrapping_sub(other) < FLOW_SPAN || other.wrapping_sub(one) < FLOW_SPAN
}
