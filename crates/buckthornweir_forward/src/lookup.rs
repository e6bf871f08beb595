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

/// A packet that waits for the owner of its flow.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Held {
    pub(crate) bytes: Vec<u8>,
    pub(crate) tag: Tag,
}

/// What a search is for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Search {
    /// Who sent the packet that began the search.
    pub(crate) asker: SocketAddrV4,
    /// Acknowledgement of that packet.
    pub(crate) acknowledged: u32,
    /// Fingerprint of the agents that are known.
    pub(crate) fingerprint: u64,
    /// Whether all agents can be asked.
    pub(crate) whole: bool,
    /// Whether no other agents are asked when these deny the flow.
    pub(crate) is_last: bool,
}

/// One search.
#[derive(Clone, Debug)]
struct Lookup {
    search: Search,
    /// When the packet came that began the search.
    started: Duration,
    /// When the agents were asked that answer now.
    asked: Duration,
    /// Where the agents that have not answered take packets.
    open: Vec<SocketAddrV4>,
    /// Agents that got a copy of the first packet, since they may hold the flow without knowing it.
    probed: Vec<SocketAddrV4>,
    /// Whether all agents were asked, and all that answered know the same ones.
    same_view: bool,
    /// Where the agents that did not answer in time take packets.
    missing: Vec<SocketAddrV4>,
    /// How many agents were asked.
    count: usize,
    held: Vec<Held>,
}

/// What a search came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Found {
    /// Answers are missing.
    Open,
    /// No agent that was asked holds the flow; the others are to be asked.
    NotNear {
        /// Acknowledgement of the caller's packet.
        acknowledged: u32,
    },
    /// No agent that answered holds the flow.
    Nobody {
        /// Acknowledgement of the caller's packet, when all agents answered and all know the same ones.
        complete: Option<u32>,
        /// Where the agents that did not answer take packets.
        missing: Vec<SocketAddrV4>,
        /// How many agents were asked.
        asked: usize,
        /// Fingerprint of the agents that were known when the search began.
        fingerprint: u64,
    },
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

    /// Starts a search that asks some agents. Returns whether there was room for it.
    pub(crate) fn start(
        &mut self,
        now: Duration,
        key: FlowKey,
        search: Search,
        asked: &[&Peer],
        held: Held,
    ) -> bool {
        self.map.remove(&key);
        if self.map.len() >= LOOKUP_LIMIT {
            return false;
        }
        let lookup = Lookup {
            search,
            started: now,
            asked: now,
            open: asked.iter().map(|peer| peer.packets).collect(),
            probed: Vec::new(),
            same_view: search.whole,
            missing: Vec::new(),
            count: asked.len(),
            held: vec![held],
        };
        self.map.insert(key, lookup);
        true
    }

    /// Asks more agents after those before denied the flow. Returns what the search came to when there
    /// are none.
    pub(crate) fn widen(
        &mut self,
        now: Duration,
        key: &FlowKey,
        fingerprint: u64,
        asked: &[&Peer],
    ) -> Found {
        let Some(lookup) = self.map.get_mut(key) else {
            return Found::Open;
        };
        lookup.search.is_last = true;
        lookup.asked = now;
        lookup.count += asked.len();
        lookup.open.extend(asked.iter().map(|peer| peer.packets));
        // An agent that joined since was not asked.
        lookup.same_view &= lookup.search.fingerprint == fingerprint;
        match lookup.open.is_empty() {
            true => lookup.conclude(),
            false => Found::Open,
        }
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
    pub(crate) fn deny(&mut self, key: &FlowKey, agent: SocketAddrV4, known: u64) -> Found {
        let Some(lookup) = self.map.get_mut(key) else {
            return Found::Open;
        };
        let before = lookup.open.len();
        lookup.open.retain(|open| *open != agent);
        if lookup.open.len() == before {
            return Found::Open;
        }
        lookup.same_view &= known == lookup.search.fingerprint;
        match lookup.open.is_empty() {
            true => lookup.conclude(),
            false => Found::Open,
        }
    }

    /// Concludes the searches whose answers are overdue, and forgets old ones.
    pub(crate) fn sweep(&mut self, now: Duration) -> Vec<(FlowKey, Found)> {
        self.map
            .retain(|_, lookup| now < lookup.started + REPEAT * 8);
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
        self.map.values().any(|lookup| !lookup.open.is_empty())
    }
}

impl Lookup {
    fn conclude(&mut self) -> Found {
        self.missing.append(&mut self.open);
        let acknowledged = self.search.acknowledged;
        if !self.search.is_last {
            return Found::NotNear { acknowledged };
        }
        // An agent that has just joined may know few others; those that answer then know more.
        let complete = self.missing.is_empty() && self.same_view;
        Found::Nobody {
            complete: complete.then_some(acknowledged),
            missing: std::mem::take(&mut self.missing),
            asked: self.count,
            fingerprint: self.search.fingerprint,
        }
    }
}
