//! An exhaustive breadth-first search over small state spaces of the core.
//!
//! A state is three members, what each has on disk, and the messages under way. From each state
//! every message may arrive next, arrive twice or never; every timer may fire; a member may
//! crash and come back; two operators push different bundles under one version.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use buckthornweir_quorum::messages::{Kind, Message};
use buckthornweir_quorum::prelude::*;
use buckthornweir_quorum::storage::Origin;
use buckthornweir_quorum::{Index, NodeId, Term};

use crate::bench::push;

const COUNT: usize = 3;
const NONE: Budget = Budget {
    timeouts: 0,
    beats: 0,
    pushes: 0,
    crashes: 0,
    copies: 0,
    removals: 0,
    depth: 0,
};

/// How often each kind of event may happen on one path, and how many events in all.
#[derive(Debug, Clone, Copy)]
struct Budget {
    timeouts: usize,
    beats: usize,
    pushes: usize,
    crashes: usize,
    copies: usize,
    removals: usize,
    depth: usize,
}

#[derive(Clone)]
struct Node {
    core: Core,
    disk: Restored,
    now: Duration,
    print: u64,
}

/// A message under way.
struct Letter {
    from: NodeId,
    message: Message,
    print: u64,
}

impl Letter {
    fn is_prevote(&self) -> bool {
        matches!(
            self.message.kind,
            Some(Kind::PreVote(_) | Kind::PreVoteReply(_))
        )
    }
}

#[derive(Clone)]
struct World {
    nodes: Vec<Rc<Node>>,
    letters: Vec<Rc<Letter>>,
    budget: Budget,
    leaders: BTreeMap<Term, NodeId>,
    committed: BTreeMap<Index, (Term, u64)>,
}

#[derive(Clone, Copy)]
enum Event {
    Deliver(usize),
    Copy(usize),
    Timeout(usize),
    Beat(usize),
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
        print: 0,
    })
}

impl World {
    /// Returns a world of founded members without a leader.
    fn founded(budget: Budget) -> Self {
        let ids = 1..=COUNT as NodeId;
        let members = Members::new(ids.clone().map(|id| Member::voter(id, "192.0.2.1:7000")));
        let founding = Founding {
            cluster: 7,
            members,
            floor: 0,
        };
        let mut world = Self {
            nodes: ids.map(blank_node).collect(),
            letters: Vec::new(),
            budget,
            leaders: BTreeMap::new(),
            committed: BTreeMap::new(),
        };
        for at in 0..COUNT {
            let founding = founding.clone();
            world.act(at, |core, now| core.found(now, founding));
        }
        world
    }

    /// Returns a world in which the first member leads and all have committed its first entry.
    fn led(budget: Budget) -> Self {
        let first = Budget {
            timeouts: 1,
            depth: usize::MAX,
            ..NONE
        };
        let mut world = Self::founded(first).after(Event::Timeout(0));
        while !world.letters.is_empty() {
            world = world.after(Event::Deliver(0));
        }
        assert!(world.nodes.iter().all(|n| n.core.commit() == 2));
        Self { budget, ..world }
    }

    /// Returns a world in which the first member leads and the others' leases have run out.
    fn silent(budget: Budget) -> Self {
        let mut world = Self::led(budget);
        for at in 1..COUNT {
            world.pass(at, Config::default().election);
        }
        world
    }

    /// Returns a world in which two members have won pre-votes and ask for votes in one term.
    fn contested(budget: Budget) -> Self {
        let first = Budget {
            timeouts: 2,
            depth: usize::MAX,
            ..NONE
        };
        let mut world = Self::founded(first);
        for at in 0..2 {
            world = world.after(Event::Timeout(at));
            let candidate = at as NodeId + 1;
            let with_third = |l: &Rc<Letter>| {
                (l.from, l.message.to) == (candidate, 3) || (l.from, l.message.to) == (3, candidate)
            };
            for _ in 0..2 {
                let pick = world
                    .letters
                    .iter()
                    .position(|l| with_third(l) && l.is_prevote());
                world = world.after(Event::Deliver(pick.expect("a pre-vote under way")));
            }
        }
        world.letters.retain(|l| !l.is_prevote());
        assert!(world.nodes[..2].iter().all(|n| n.core.term() == 1));
        Self { budget, ..world }
    }

    fn act(&mut self, at: usize, call: impl FnOnce(&mut Core, Duration) -> Vec<Action>) {
        let node = Rc::make_mut(&mut self.nodes[at]);
        let from = node.core.id();
        for action in call(&mut node.core, node.now) {
            match action {
                Action::Persist(records) => records.iter().for_each(|r| store(&mut node.disk, r)),
                Action::Send { message, .. } => {
                    let print = hash_of((from, &message));
                    self.letters.push(Rc::new(Letter {
                        from,
                        message,
                        print,
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
        node.print = node.core.fingerprint(node.now);
        self.letters.sort_by_key(|letter| letter.print);
        self.letters.dedup_by_key(|letter| letter.print);
        self.check(at);
    }

    /// Checks that what is committed here was committed alike everywhere, now and before.
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
        let mut events: Vec<_> = (0..self.letters.len()).map(Event::Deliver).collect();
        if budget.copies > 0 {
            events.extend((0..self.letters.len()).map(Event::Copy));
        }
        for (at, node) in self.nodes.iter().enumerate() {
            let leads = node.core.role() == Role::Leader;
            if budget.timeouts > 0 && !leads {
                events.push(Event::Timeout(at));
            }
            if budget.beats > 0 && leads {
                events.push(Event::Beat(at));
            }
            if budget.pushes > 0 && leads {
                events.push(Event::Push(at, budget.pushes as u8));
            }
            if budget.removals > 0 && leads {
                events.extend((1..=COUNT as NodeId).map(|id| Event::Remove(at, id)));
            }
            if budget.crashes > 0 {
                events.push(Event::Crash(at));
            }
        }
        events
    }

    fn after(&self, event: Event) -> Self {
        let mut world = self.clone();
        world.budget.depth -= 1;
        match event {
            Event::Deliver(at) => {
                let letter = world.letters.remove(at);
                world.deliver(&letter);
            }
            Event::Copy(at) => {
                world.budget.copies -= 1;
                let letter = Rc::clone(&world.letters[at]);
                world.deliver(&letter);
            }
            Event::Timeout(at) => {
                world.budget.timeouts -= 1;
                world.pass(at, Config::default().election * 2);
                world.act(at, Core::tick);
            }
            Event::Beat(at) => {
                world.budget.beats -= 1;
                world.pass(at, Config::default().heartbeat);
                world.act(at, Core::tick);
            }
            Event::Push(at, mark) => {
                world.budget.pushes -= 1;
                world.act(at, |core, now| core.propose(now, 1, push(1, mark)));
            }
            Event::Remove(at, id) => {
                world.budget.removals -= 1;
                let change = MemberChange::Remove { id };
                world.act(at, |core, now| core.change_members(now, 1, change));
            }
            Event::Crash(at) => {
                world.budget.crashes -= 1;
                let node = Rc::make_mut(&mut world.nodes[at]);
                let id = node.core.id();
                node.core = Core::new(Config::default(), node.disk.clone(), id, node.now);
                node.print = node.core.fingerprint(node.now);
            }
        }
        world
    }

    /// Lets time pass at one member.
    fn pass(&mut self, at: usize, time: Duration) {
        let node = Rc::make_mut(&mut self.nodes[at]);
        node.now += time;
        node.print = node.core.fingerprint(node.now);
    }

    fn deliver(&mut self, letter: &Letter) {
        let to = self
            .nodes
            .iter()
            .position(|n| n.core.id() == letter.message.to);
        if let Some(to) = to {
            let message = letter.message.clone();
            self.act(to, |core, now| core.handle(now, letter.from, message));
        }
    }

    fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.nodes
            .iter()
            .for_each(|node| node.print.hash(&mut hasher));
        self.letters
            .iter()
            .for_each(|letter| letter.print.hash(&mut hasher));
        let Budget {
            depth: _,
            timeouts,
            beats,
            pushes,
            crashes,
            copies,
            removals,
        } = self.budget;
        (timeouts, beats, pushes, crashes, copies, removals).hash(&mut hasher);
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

/// What a search has seen.
#[derive(Debug, Default)]
struct Seen {
    states: usize,
    most_terms: usize,
    most_committed: usize,
}

impl Seen {
    fn note(&mut self, world: &World) {
        self.states += 1;
        self.most_terms = self.most_terms.max(world.leaders.len());
        self.most_committed = self.most_committed.max(world.committed.len());
    }
}

/// Visits every state that the budget of `start` allows.
fn search(start: World) -> Seen {
    let mut known = HashSet::from([start.fingerprint()]);
    let mut queue = VecDeque::from([start]);
    let mut seen = Seen::default();
    while let Some(world) = queue.pop_front() {
        seen.note(&world);
        for event in world.events() {
            let next = world.after(event);
            if known.insert(next.fingerprint()) {
                match next.budget.depth {
                    0 => seen.note(&next),
                    _ => queue.push_back(next),
                }
            }
        }
    }
    seen
}

#[test]
fn elections_with_crashes_give_one_leader_a_term() {
    let seen = search(World::founded(Budget {
        timeouts: 2,
        depth: 10,
        ..NONE
    }));
    assert_eq!((seen.most_terms, seen.most_committed), (2, 1), "{seen:?}");
    let crashes = Budget {
        timeouts: 2,
        crashes: 1,
        depth: 9,
        ..NONE
    };
    assert!(search(World::founded(crashes)).states > 10_000);
}

#[test]
fn contested_elections_with_crashes_give_one_leader_a_term() {
    let budget = Budget {
        crashes: 2,
        copies: 1,
        depth: 7,
        ..NONE
    };
    assert_eq!(search(World::contested(budget)).most_terms, 1);
}

#[test]
fn doubled_messages_give_one_leader_a_term() {
    let copies = Budget {
        timeouts: 2,
        copies: 1,
        depth: 8,
        ..NONE
    };
    assert!(search(World::founded(copies)).states > 10_000);
}

#[test]
fn pushes_with_crashes_and_doubled_messages_keep_what_was_committed() {
    let budget = Budget {
        pushes: 2,
        crashes: 1,
        copies: 1,
        depth: 13,
        ..NONE
    };
    let seen = search(World::led(budget));
    assert_eq!(seen.most_committed, 3, "{seen:?}");
}

#[test]
fn pushes_over_a_change_of_leader_keep_what_was_committed() {
    let budget = Budget {
        timeouts: 1,
        pushes: 2,
        depth: 13,
        ..NONE
    };
    let seen = search(World::silent(budget));
    assert_eq!((seen.most_terms, seen.most_committed), (2, 4), "{seen:?}");
    let beats = Budget {
        beats: 1,
        depth: 9,
        ..budget
    };
    assert_eq!(search(World::silent(beats)).most_terms, 2);
}

#[test]
fn pushes_over_two_elections_and_a_crash_keep_what_was_committed() {
    let budget = Budget {
        timeouts: 2,
        pushes: 2,
        crashes: 1,
        depth: 8,
        ..NONE
    };
    assert_eq!(search(World::silent(budget)).most_terms, 2);
}

#[test]
fn removals_over_a_change_of_leader_keep_what_was_committed() {
    let budget = Budget {
        timeouts: 1,
        removals: 2,
        depth: 13,
        ..NONE
    };
    let seen = search(World::silent(budget));
    assert_eq!((seen.most_terms, seen.most_committed), (2, 4), "{seen:?}");
    let pushes = Budget {
        timeouts: 2,
        removals: 1,
        pushes: 1,
        depth: 8,
        ..NONE
    };
    assert_eq!(search(World::silent(pushes)).most_terms, 2);
}
