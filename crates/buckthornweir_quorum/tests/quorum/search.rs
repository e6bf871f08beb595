//! Exhaustive breadth-first exploration of small state spaces of the core.
//!
//! A state consists of three members, their disks and the messages in flight. From each state, any
//! message may be delivered next, delivered twice or never delivered, any timer may fire, any
//! member may crash and restart, and two operators may push different bundles under one version.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use buckthornweir_quorum::messages::{Kind, Message};
use buckthornweir_quorum::prelude::*;
use buckthornweir_quorum::storage::Origin;
use buckthornweir_quorum::{Index, NodeId, Term};

use crate::harness::push;

const MEMBER_COUNT: usize = 3;
const EMPTY_BUDGET: Budget = Budget {
    timeouts: 0,
    heartbeats: 0,
    pushes: 0,
    crashes: 0,
    duplicates: 0,
    removals: 0,
    depth: 0,
};

/// Maximum number of events of each kind, and of all events, on one path.
#[derive(Debug, Clone, Copy)]
struct Budget {
    timeouts: usize,
    heartbeats: usize,
    pushes: usize,
    crashes: usize,
    duplicates: usize,
    removals: usize,
    depth: usize,
}

#[derive(Clone)]
struct Node {
    core: Core,
    disk: Restored,
    now: Duration,
    fingerprint: u64,
}

/// A message in flight.
struct InFlight {
    from: NodeId,
    message: Message,
    fingerprint: u64,
}

impl InFlight {
    fn is_prevote(&self) -> bool {
        matches!(
            self.message.kind,
            Some(Kind::PreVote(_) | Kind::PreVoteReply(_))
        )
    }
}

#[derive(Clone)]
struct Model {
    nodes: Vec<Rc<Node>>,
    in_flight: Vec<Rc<InFlight>>,
    budget: Budget,
    leaders: BTreeMap<Term, NodeId>,
    committed: BTreeMap<Index, (Term, u64)>,
}

#[derive(Clone, Copy)]
enum Event {
    Deliver(usize),
    Duplicate(usize),
    Timeout(usize),
    Heartbeat(usize),
    Push(usize, u8),
    Crash(usize),
    Remove(usize, NodeId),
}

fn hash_of(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn blank_node(id: NodeId) -> Rc<Node> {
    let origin = Origin::Whole { torn: 0 };
    let disk = Restored {
        origin,
        ..Restored::blank(id)
    };
    let now = Duration::ZERO;
    let core = Core::new(Config::default(), disk.clone(), id, now);
    Rc::new(Node {
        core,
        disk,
        now,
        fingerprint: 0,
    })
}

impl Model {
    /// Creates a model with a founded log and no leader.
    fn founded(budget: Budget) -> Self {
        let ids = 1..=MEMBER_COUNT as NodeId;
        let members = Members::new(ids.clone().map(|id| Member::voter(id, "192.0.2.1:7000")));
        let founding = Founding {
            cluster: 7,
            members,
            floor: 0,
        };
        let mut model = Self {
            nodes: ids.map(blank_node).collect(),
            in_flight: Vec::new(),
            budget,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
        };
        for at in 0..MEMBER_COUNT {
            let founding = founding.clone();
            model.act(at, |core, now| core.found(now, founding));
        }
        model
    }

    /// Creates a model in which the first member leads and all members have committed its first
    /// entry.
    fn with_leader(budget: Budget) -> Self {
        let first = Budget {
            timeouts: 1,
            depth: usize::MAX,
            ..EMPTY_BUDGET
        };
        let mut model = Self::founded(first).after(Event::Timeout(0));
        while !model.in_flight.is_empty() {
            model = model.after(Event::Deliver(0));
        }
        assert!(model.nodes.iter().all(|n| n.core.commit() == 2));
        Self { budget, ..model }
    }

    /// Creates a model in which the first member leads and the followers no longer ignore
    /// candidates, because an election timeout has passed since the last message of the leader.
    fn with_inactive_leader(budget: Budget) -> Self {
        let mut model = Self::with_leader(budget);
        for at in 1..MEMBER_COUNT {
            model.advance_time(at, Config::default().election_timeout);
        }
        model
    }

    /// Creates a model in which two members have won pre-votes and request votes in the same term.
    fn contested(budget: Budget) -> Self {
        let first = Budget {
            timeouts: 2,
            depth: usize::MAX,
            ..EMPTY_BUDGET
        };
        let mut model = Self::founded(first);
        for at in 0..2 {
            model = model.after(Event::Timeout(at));
            let candidate = at as NodeId + 1;
            let with_third = |l: &Rc<InFlight>| {
                (l.from, l.message.to) == (candidate, 3) || (l.from, l.message.to) == (3, candidate)
            };
            for _ in 0..2 {
                let pick = model
                    .in_flight
                    .iter()
                    .position(|l| with_third(l) && l.is_prevote());
                model = model.after(Event::Deliver(pick.expect("pre-vote in flight")));
            }
        }
        model.in_flight.retain(|l| !l.is_prevote());
        assert!(model.nodes[..2].iter().all(|n| n.core.term() == 1));
        Self { budget, ..model }
    }

    fn act(&mut self, at: usize, call: impl FnOnce(&mut Core, Duration) -> Vec<Action>) {
        let node = Rc::make_mut(&mut self.nodes[at]);
        let from = node.core.id();
        for action in call(&mut node.core, node.now) {
            match action {
                Action::Persist(records) => records.iter().for_each(|r| store(&mut node.disk, r)),
                Action::Send { message, .. } => {
                    let fingerprint = hash_of((from, &message));
                    self.in_flight.push(Rc::new(InFlight {
                        from,
                        message,
                        fingerprint,
                    }));
                }
                Action::RoleChanged {
                    role: Role::Leader,
                    term,
                    ..
                } => {
                    let first = *self.leaders.entry(term).or_insert(from);
                    assert_eq!(first, from, "two leaders in term {term}");
                }
                _ => {}
            }
        }
        node.fingerprint = node.core.fingerprint(node.now);
        self.in_flight.sort_by_key(|pending| pending.fingerprint);
        self.in_flight.dedup_by_key(|pending| pending.fingerprint);
        self.check(at);
    }

    /// Asserts that committed entries never differ between members or over time, and that the
    /// newest leader holds them all.
    fn check(&mut self, at: usize) {
        let core = &self.nodes[at].core;
        for index in 2..=core.commit() {
            let Some(entry) = core.entry(index) else {
                continue;
            };
            let found = (entry.term, hash_of(&entry.data));
            let first = *self.committed.entry(index).or_insert(found);
            assert_eq!(first, found, "two entries committed at {index}");
        }
        let newest = self.nodes.iter().max_by_key(|n| n.core.term());
        let Some(leader) = newest.filter(|n| n.core.role() == Role::Leader) else {
            return;
        };
        for (index, (term, _)) in &self.committed {
            let held = leader.core.entry(*index).map(|e| e.term);
            assert_eq!(held, Some(*term), "the leader misses a committed entry");
        }
    }

    fn events(&self) -> Vec<Event> {
        let budget = self.budget;
        let mut events: Vec<_> = (0..self.in_flight.len()).map(Event::Deliver).collect();
        if budget.duplicates > 0 {
            events.extend((0..self.in_flight.len()).map(Event::Duplicate));
        }
        for (at, node) in self.nodes.iter().enumerate() {
            let leads = node.core.role() == Role::Leader;
            if budget.timeouts > 0 && !leads {
                events.push(Event::Timeout(at));
            }
            if budget.heartbeats > 0 && leads {
                events.push(Event::Heartbeat(at));
            }
            if budget.pushes > 0 && leads {
                events.push(Event::Push(at, budget.pushes as u8));
            }
            if budget.removals > 0 && leads {
                events.extend((1..=MEMBER_COUNT as NodeId).map(|id| Event::Remove(at, id)));
            }
            if budget.crashes > 0 {
                events.push(Event::Crash(at));
            }
        }
        events
    }

    fn after(&self, event: Event) -> Self {
        let mut model = self.clone();
        model.budget.depth -= 1;
        match event {
            Event::Deliver(at) => {
                let pending = model.in_flight.remove(at);
                model.deliver(&pending);
            }
            Event::Duplicate(at) => {
                model.budget.duplicates -= 1;
                let pending = Rc::clone(&model.in_flight[at]);
                model.deliver(&pending);
            }
            Event::Timeout(at) => {
                model.budget.timeouts -= 1;
                model.advance_time(at, Config::default().election_timeout * 2);
                model.act(at, Core::tick);
            }
            Event::Heartbeat(at) => {
                model.budget.heartbeats -= 1;
                model.advance_time(at, Config::default().heartbeat_interval);
                model.act(at, Core::tick);
            }
            Event::Push(at, variant) => {
                model.budget.pushes -= 1;
                model.act(at, |core, now| core.propose(now, 1, push(1, variant)));
            }
            Event::Remove(at, id) => {
                model.budget.removals -= 1;
                let change = MemberChange::Remove { id };
                model.act(at, |core, now| core.change_members(now, 1, change));
            }
            Event::Crash(at) => {
                model.budget.crashes -= 1;
                let node = Rc::make_mut(&mut model.nodes[at]);
                let id = node.core.id();
                node.core = Core::new(Config::default(), node.disk.clone(), id, node.now);
                node.fingerprint = node.core.fingerprint(node.now);
            }
        }
        model
    }

    /// Advances the time at one member.
    fn advance_time(&mut self, at: usize, time: Duration) {
        let node = Rc::make_mut(&mut self.nodes[at]);
        node.now += time;
        node.fingerprint = node.core.fingerprint(node.now);
    }

    fn deliver(&mut self, pending: &InFlight) {
        let to = self
            .nodes
            .iter()
            .position(|n| n.core.id() == pending.message.to);
        if let Some(to) = to {
            let message = pending.message.clone();
            self.act(to, |core, now| core.handle(now, pending.from, message));
        }
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.nodes
            .iter()
            .for_each(|node| node.fingerprint.hash(&mut hasher));
        self.in_flight
            .iter()
            .for_each(|pending| pending.fingerprint.hash(&mut hasher));
        let Budget {
            depth: _,
            timeouts,
            heartbeats,
            pushes,
            crashes,
            duplicates,
            removals,
        } = self.budget;
        (timeouts, heartbeats, pushes, crashes, duplicates, removals).hash(&mut hasher);
        (&self.leaders, &self.committed).hash(&mut hasher);
        hasher.finish()
    }
}

fn store(disk: &mut Restored, record: &Record) {
    match record {
        Record::Vote { term, vote } => (disk.term, disk.vote) = (*term, *vote),
        Record::Entry(entry) => disk.entries.push(entry.clone()),
        Record::Commit { index } => disk.commit = *index,
        Record::Truncate { from } => disk.entries.retain(|e| e.index < *from),
        Record::Reset(reset) => {
            (disk.term, disk.vote) = (reset.term, reset.vote);
            disk.snapshot = Some(reset.snapshot.clone());
            disk.entries.clone_from(&reset.entries);
            disk.commit = reset.snapshot.index;
        }
    }
}

/// Statistics of a search.
#[derive(Debug, Default)]
struct SearchStats {
    states: usize,
    most_terms: usize,
    most_committed: usize,
}

impl SearchStats {
    fn record(&mut self, model: &Model) {
        self.states += 1;
        self.most_terms = self.most_terms.max(model.leaders.len());
        self.most_committed = self.most_committed.max(model.committed.len());
    }
}

/// Visits every state that is reachable within the budget of `start`.
fn search(start: Model) -> SearchStats {
    let mut known = HashSet::from([start.fingerprint()]);
    let mut queue = VecDeque::from([start]);
    let mut stats = SearchStats::default();
    while let Some(model) = queue.pop_front() {
        stats.record(&model);
        for event in model.events() {
            let next = model.after(event);
            if known.insert(next.fingerprint()) {
                match next.budget.depth {
                    0 => stats.record(&next),
                    _ => queue.push_back(next),
                }
            }
        }
    }
    stats
}

#[test]
fn elections_with_crashes_elect_one_leader_per_term() {
    let stats = search(Model::founded(Budget {
        timeouts: 2,
        depth: 10,
        ..EMPTY_BUDGET
    }));
    assert_eq!(
        (stats.most_terms, stats.most_committed),
        (2, 1),
        "{stats:?}"
    );
    let crashes = Budget {
        timeouts: 2,
        crashes: 1,
        depth: 9,
        ..EMPTY_BUDGET
    };
    assert!(search(Model::founded(crashes)).states > 10_000);
}

#[test]
fn contested_elections_with_crashes_elect_one_leader_per_term() {
    let budget = Budget {
        crashes: 2,
        duplicates: 1,
        depth: 7,
        ..EMPTY_BUDGET
    };
    assert_eq!(search(Model::contested(budget)).most_terms, 1);
}

#[test]
fn duplicated_messages_elect_one_leader_per_term() {
    let duplicates = Budget {
        timeouts: 2,
        duplicates: 1,
        depth: 8,
        ..EMPTY_BUDGET
    };
    assert!(search(Model::founded(duplicates)).states > 10_000);
}

#[test]
fn pushes_with_crashes_and_duplicated_messages_keep_committed_entries() {
    let budget = Budget {
        pushes: 2,
        crashes: 1,
        duplicates: 1,
        depth: 13,
        ..EMPTY_BUDGET
    };
    let stats = search(Model::with_leader(budget));
    assert_eq!(stats.most_committed, 3, "{stats:?}");
}

#[test]
fn pushes_across_a_leader_change_keep_committed_entries() {
    let budget = Budget {
        timeouts: 1,
        pushes: 2,
        depth: 13,
        ..EMPTY_BUDGET
    };
    let stats = search(Model::with_inactive_leader(budget));
    assert_eq!(
        (stats.most_terms, stats.most_committed),
        (2, 4),
        "{stats:?}"
    );
    let heartbeats = Budget {
        heartbeats: 1,
        depth: 9,
        ..budget
    };
    assert_eq!(
        search(Model::with_inactive_leader(heartbeats)).most_terms,
        2
    );
}

#[test]
fn pushes_across_two_elections_and_a_crash_keep_committed_entries() {
    let budget = Budget {
        timeouts: 2,
        pushes: 2,
        crashes: 1,
        depth: 8,
        ..EMPTY_BUDGET
    };
    assert_eq!(search(Model::with_inactive_leader(budget)).most_terms, 2);
}

#[test]
fn removals_across_a_leader_change_keep_committed_entries() {
    let budget = Budget {
        timeouts: 1,
        removals: 2,
        depth: 13,
        ..EMPTY_BUDGET
    };
    let stats = search(Model::with_inactive_leader(budget));
    assert_eq!(
        (stats.most_terms, stats.most_committed),
        (2, 4),
        "{stats:?}"
    );
    let pushes = Budget {
        timeouts: 2,
        removals: 1,
        pushes: 1,
        depth: 8,
        ..EMPTY_BUDGET
    };
    assert_eq!(search(Model::with_inactive_leader(pushes)).most_terms, 2);
}
