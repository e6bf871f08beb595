//! The search for the owner of a flow among the other agents.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::time::Duration;

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

/// One search.
#[derive(Clone, Debug)]
pub(crate) struct Lookup {
    started: Duration,
    /// Where the agents that have not answered take packets.
    open: Vec<SocketAddrV4>,
    /// Whether all agents were asked, and all that answered know the same ones.
    same_view: bool,
    /// Agents that may hold the flow without knowing it.
    perhaps: Vec<SocketAddrV4>,
    tried: usize,
    held: Vec<Held>,
    /// Who sent the packet that began the search.
    asker: SocketAddrV4,
    /// Acknowledgement of the packet that began the search.
    acknowledged: u32,
}

/// What a search came to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Found {
    /// Answers are missing.
    Open,
    /// This agent may hold the flow; the packets go to it as a question.
    Perhaps(SocketAddrV4, Vec<Held>),
    /// No agent that answered holds the flow.
    Nobody {
        /// Acknowledgement of the caller's packet, when all agents answered and all know the same ones.
        complete: Option<u32>,
        /// Agents that did not answer.
        missing: usize,
    },
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

    /// Starts a search that asks the agents `asked`, which are all there are if it is `whole`. Returns
    /// whether there was room for it.
    #[expect(
        clippy::too_many_arguments,
        reason = "what is known of the first packet and of the agents"
    )]
    pub(crate) fn start(
        &mut self,
        now: Duration,
        key: FlowKey,
        asker: SocketAddrV4,
        asked: Vec<SocketAddrV4>,
        whole: bool,
        acknowledged: u32,
        held: Held,
    ) -> bool {
        let before = self.map.remove(&key);
        if self.map.len() >= LOOKUP_LIMIT {
            return false;
        }
        let lookup = Lookup {
            started: now,
            open: asked,
            same_view: whole,
            perhaps: Vec::new(),
            // Agents that may hold the flow are tried in turn over repeated searches.
            tried: before.map_or(0, |before| before.tried),
            held: vec![held],
            asker,
            acknowledged,
        };
        self.map.insert(key, lookup);
        true
    }

    /// Ends a search whose answer came.
    pub(crate) fn end(&mut self, key: &FlowKey) -> Option<(SocketAddrV4, Vec<Held>)> {
        let lookup = self.map.remove(key)?;
        Some((lookup.asker, lookup.held))
    }

    /// Takes the answer of an agent that does not know the flow, and whether it knows the same agents.
    pub(crate) fn deny(
        &mut self,
        key: &FlowKey,
        agent: SocketAddrV4,
        may_hold: bool,
        same_view: bool,
    ) -> Found {
        let Some(lookup) = self.map.get_mut(key) else {
            return Found::Open;
        };
        let before = lookup.open.len();
        lookup.open.retain(|open| *open != agent);
        if lookup.open.len() == before {
            return Found::Open;
        }
        lookup.same_view &= same_view;
        lookup.perhaps.extend(may_hold.then_some(agent));
        if !lookup.open.is_empty() {
            return Found::Open;
        }
        lookup.conclude()
    }

    /// Concludes the searches whose answers are overdue, and forgets old ones.
    pub(crate) fn sweep(&mut self, now: Duration) -> Vec<(FlowKey, Found)> {
        self.map
            .retain(|_, lookup| now < lookup.started + REPEAT * 8);
        let overdue = self
            .map
            .iter_mut()
            .filter(|(_, lookup)| !lookup.open.is_empty() && now >= lookup.started + ANSWER_LIMIT);
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
        let missing = std::mem::take(&mut self.open).len();
        self.perhaps.sort_unstable();
        if self.perhaps.is_empty() || self.held.is_empty() {
            // An agent that has just joined may know few others; those that answer then know more.
            let complete = missing == 0 && self.same_view && self.perhaps.is_empty();
            return Found::Nobody {
                complete: complete.then_some(self.acknowledged),
                missing,
            };
        }
        let agent = self.perhaps[self.tried % self.perhaps.len()];
        self.tried += 1;
        Found::Perhaps(agent, std::mem::take(&mut self.held))
    }
}
