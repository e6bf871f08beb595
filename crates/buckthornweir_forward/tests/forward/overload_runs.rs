//! Overload control of one agent over long pseudo-random sequences.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use buckthornweir_forward::agent::{Action, PassReason, ResetReason};
use buckthornweir_forward::plan::OverloadPolicy;
use buckthornweir_forward::segment::{FlowKey, Segment};

use crate::common::{Harness, SERVICE, data, ms, packet_addr, reply, syn, syn_ack, with_hops};
use crate::overload::{
    LOW, SLOTS, alone, busy_with_siblings, fill, low, resets, set_policy, slots,
};

/// A generator of repeatable pseudo-random numbers.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        let factor = 6_364_136_223_846_793_005;
        self.0 = self.0.wrapping_mul(factor).wrapping_add(1);
        (self.0 >> 33) % bound
    }
}

/// Guards against effects of the policy where it does not apply: without one, and with fewer than
/// three slots.
#[test]
fn without_a_policy_or_with_two_slots_nothing_changes() {
    let run = |policy: Option<OverloadPolicy>, count| {
        let mut harness = alone(300);
        set_policy(&mut harness, policy);
        harness.peers = Harness::new().peers;
        harness.report(slots(count, 2));
        let mut random = Random(7);
        let step = |_| {
            let port = random.below(200) as u16;
            match random.below(7) {
                0 | 1 => harness.caller(syn(port, random.below(3) as u32)),
                2 => harness.backend(syn_ack(port)),
                3 => harness.caller(data(port, 90)),
                4 => harness.backend(reply(port, 500)),
                5 => harness.from(packet_addr(2), with_hops(syn(port, 0), 1)),
                _ => harness.after(random.below(20)).tick(),
            }
        };
        (0..3_000).flat_map(step).collect::<Vec<Action>>()
    };
    let policy = Some(OverloadPolicy::default());
    assert_eq!(run(policy, 2), run(None, 2));
    assert!(
        run(policy, 3) != run(None, 3),
        "the sequence reaches the policy"
    );
    let is_queued = |action: &Action| matches!(action, Action::Queued { .. });
    assert!(!run(None, 3).iter().any(is_queued));
}

/// Guards against log lines about rejected and passed flows without the inputs of the decision.
#[test]
fn rejections_and_passes_under_overload_state_their_inputs() {
    let mut harness = fill(busy_with_siblings(300, 0));
    let mut got = Vec::new();
    for port in 1..200 {
        let syns = [syn(port, 0), low(port)];
        syns.into_iter()
            .for_each(|syn| got.extend(harness.caller(syn)));
        got.extend(harness.after(5).tick());
    }
    check_explained(&got);
    let explains = |action: &&Action| matches!(action, Action::Explain { .. });
    assert!(got.iter().filter(explains).count() > 1);
    assert!(resets(&got).contains(&ResetReason::Overloaded));
}

/// An agent with a backend server that serves requests, and a record of what became of the flows.
struct Simulation {
    harness: Harness,
    random: Random,
    running: Vec<(FlowKey, Duration)>,
    queued: BTreeSet<FlowKey>,
    started: BTreeMap<FlowKey, Duration>,
    rejected: BTreeMap<FlowKey, Duration>,
}

impl Simulation {
    fn check(&mut self, actions: Vec<Action>) {
        check_explained(&actions);
        let mut actions = VecDeque::from(actions);
        while let Some(action) = actions.pop_front() {
            match action {
                Action::Queued { key } => assert!(self.queued.insert(key)),
                Action::Dequeued { key, .. } => assert!(self.queued.remove(&key)),
                Action::Opened { key } => {
                    assert_eq!(self.started.insert(key, self.harness.now), None);
                    assert!(!self.rejected.contains_key(&key));
                    let behind = self.running.len().saturating_sub(SLOTS as usize - 1) as u32;
                    let took = ms(25 + self.random.below(50)) + ms(17) * behind;
                    self.running.push((key, self.harness.now + took));
                    actions.extend(self.harness.backend(to(key, syn_ack(1))));
                    actions.extend(self.harness.caller(from(key, data(1, 90))));
                }
                Action::Reset { key, .. } => {
                    assert!(!self.started.contains_key(&key));
                    assert!(self.running.len() > SLOTS as usize, "has capacity");
                    assert_eq!(self.rejected.insert(key, self.harness.now), None);
                }
                _ => {}
            }
        }
    }

    fn send_syn(&mut self, key: FlowKey, copy: u32) {
        let is_over = self.started.contains_key(&key) || self.rejected.contains_key(&key);
        if copy == 0 || !is_over {
            let got = self.harness.caller(from(key, syn(1, copy)));
            self.check(got);
        }
    }

    fn end_requests(&mut self) {
        let now = self.harness.now;
        while let Some(ended) = self.running.iter().position(|(_, until)| now >= *until) {
            let (key, _) = self.running.remove(ended);
            let got = self.harness.backend(to(key, reply(1, 500)));
            self.check(got);
        }
    }
}

/// Checks that each rejection and each pass because of overload follows its inputs, without which
/// its log line could not state them.
fn check_explained(actions: &[Action]) {
    for (index, action) in actions.iter().enumerate() {
        let before = index.checked_sub(1).map(|before| &actions[before]);
        let explained = match before {
            Some(Action::Explain { key, .. }) => Some(key),
            _ => None,
        };
        match action {
            Action::Reset {
                key,
                reason: ResetReason::Overloaded,
                ..
            } => assert_eq!(explained, Some(key)),
            Action::Pass {
                reason: PassReason::Busy | PassReason::Overloaded,
                ..
            } => assert!(explained.is_some(), "{actions:?}"),
            _ => {}
        }
    }
}

/// Returns the packet as sent by the caller of a flow.
fn from(key: FlowKey, segment: Segment) -> Segment {
    Segment {
        source: key.caller,
        target: key.service,
        ..segment
    }
}

/// Returns the packet as sent to the caller of a flow.
fn to(key: FlowKey, segment: Segment) -> Segment {
    Segment {
        source: key.service,
        target: key.caller,
        ..segment
    }
}

/// Guards against wrong outcomes under overload by a factor of four, with copies that go to other
/// agents: each queued SYN leaves the queue once, none starts twice or after its caller's timeout,
/// none is rejected while there is capacity, only those of which all copies came here are rejected,
/// and lower priorities get their share.
#[test]
fn outcomes_are_truthful_and_complete_under_overload() {
    for seed in 1..=5 {
        let mut simulation = Simulation {
            harness: alone(500),
            random: Random(seed),
            running: Vec::new(),
            queued: BTreeSet::new(),
            started: BTreeMap::new(),
            rejected: BTreeMap::new(),
        };
        let mut sent: BTreeMap<FlowKey, (Duration, bool)> = BTreeMap::new();
        let mut copies: BTreeSet<(Duration, FlowKey, u32)> = BTreeSet::new();
        for port in 1_000..9_000 {
            let now = simulation.harness.after(1).now;
            if port % 1_000 == 0 {
                simulation.harness.report(slots(SLOTS, u64::from(port)));
            }
            if simulation.random.below(4) == 0 {
                let ip = Ipv4Addr::new(100, 64, 2, simulation.random.below(40) as u8);
                let key = FlowKey {
                    caller: SocketAddrV4::new(ip, port),
                    service: [SERVICE, LOW][simulation.random.below(2) as usize],
                };
                let is_diverted = simulation.random.below(10) == 0;
                sent.insert(key, (now, is_diverted));
                copies.insert((now, key, 0));
                if !is_diverted {
                    copies.extend([(now + ms(200), key, 1), (now + ms(600), key, 2)]);
                }
            }
            while let Some((_, key, copy)) = copies.first().filter(|c| c.0 <= now).copied() {
                copies.pop_first();
                simulation.send_syn(key, copy);
            }
            simulation.end_requests();
            let got = simulation.harness.tick();
            simulation.check(got);
        }
        for (key, at) in &simulation.started {
            assert!(*at <= sent[key].0 + ms(1_400), "seed {seed}: {key}");
        }
        for (key, at) in &simulation.rejected {
            let (sent, is_diverted) = sent[key];
            assert!(!is_diverted || *at < sent + ms(200), "seed {seed}: {key}");
        }
        let queued = simulation.queued.len();
        assert!(queued <= 64 && queued == simulation.harness.agent.queued());
        assert!(!simulation.rejected.is_empty(), "seed {seed}");
        let started = simulation.started.keys();
        let low = started.filter(|key| key.service == LOW).count();
        assert!(low * 10 >= simulation.started.len(), "seed {seed}: {low}");
    }
}
