//! Cases in which overload control could reset an open flow, exceed the bound of a cold backend
//! server or fail on extreme reports.

use std::time::Duration;

use buckthornweir_forward::agent::{Action, DropReason, ResetReason};
use buckthornweir_forward::backend::{Report, ReportState};
use buckthornweir_forward::loads::Load;
use buckthornweir_forward::peers::Peers;
use buckthornweir_forward::plan::{OverloadPolicy, Service};
use buckthornweir_forward::segment::Segment;
use buckthornweir_forward::tag::Tag;

use crate::common::{
    Outcome, SERVICE, data, key, ms, outcome, packet_addr, peer, reply, returned, syn,
};
use crate::overload::{LOW, SLOTS, alone, fill, opened, resets, set_policy, slots, stop};

fn with_tag(segment: Segment, tag: Tag) -> Segment {
    let tag = tag.word();
    Segment { tag, ..segment }
}

/// Guards against a reset of a flow that opened at the agent of the first SYN: a balancer may send a
/// hedged SYN before it knows that the agent stops.
#[test]
fn a_stopping_agent_drops_hedged_syns() {
    let mut harness = alone(800);
    stop(&mut harness);
    let tag = Tag {
        hedged: true,
        ..Tag::default()
    };
    let got = harness.caller(with_tag(syn(1, 0), tag));
    assert_eq!(got, [Action::Drop(DropReason::Hedged)]);
}

/// Guards against starting all queued flows at a cold backend server when operators disable the
/// policy.
#[test]
fn the_cold_bound_holds_when_the_policy_is_disabled() {
    let mut harness = fill(alone(800));
    let service = |overload| Service {
        cold_rate: Some(6.0),
        overload,
    };
    let policy = Some(OverloadPolicy::default());
    harness.plan.services.insert("desk".into(), service(policy));
    harness.report(Report {
        cold: ms(5_000),
        ..slots(SLOTS, 2)
    });
    harness.tick();
    for port in 1..=4 {
        assert_eq!(outcome(&harness.caller(syn(port, 0))), Some(Outcome::Held));
    }
    harness.plan.services.insert("desk".into(), service(None));
    // 12 flows started in the last 1.1 s, and the bound is 6 · 1.5 + 5, less a reserve of 1.
    let got = harness.tick();
    assert_eq!(opened(&got).len(), 1, "{got:?}");
    assert_eq!(harness.agent.queued(), 0);
}

/// Guards against an overflow in the load of an agent whose backend server reports the largest
/// number of slots.
#[test]
fn the_load_states_at_most_the_largest_number() {
    let mut harness = alone(800);
    harness.report(slots(u32::MAX, 2));
    let load = harness.agent.load(harness.now, &harness.plan);
    assert_eq!(load.map(|load| load.capacity), Some(u32::MAX));
}

/// Guards against a reset of a flow that a hedged SYN opened at another backend server, where only
/// the balancer has a limit of hedged SYNs and the policy states none.
#[test]
fn a_syn_that_a_balancer_may_hedge_is_not_reset_after_the_hedging_delay() {
    for hedgeable in [false, true] {
        let tag = Tag {
            hedgeable,
            ..Tag::default()
        };
        assert_eq!(Tag::read(tag.word()), tag);
        assert_eq!(tag.passed_on().hedgeable, hedgeable);
        let mut harness = fill(alone(800));
        let got = harness.caller(with_tag(syn(1, 0), tag));
        assert_eq!(outcome(&got), Some(Outcome::Held));
        // The SYN waits for less than 200 ms, after which its caller sends the next copy.
        let mut got = Vec::new();
        (0..199).for_each(|_| got.extend(harness.after(1).tick()));
        assert_eq!(harness.agent.queued(), 0);
        assert_eq!(resets(&got).is_empty(), hedgeable, "{got:?}");
    }
}

/// Guards against a reset of a flow that a hedged SYN opened elsewhere while the first SYN waited at
/// an agent, if the backend server that gets it then refuses it.
#[test]
fn a_hedgeable_syn_that_waited_is_not_reset_when_nobody_takes_it() {
    let tag = Tag {
        hedgeable: true,
        ..Tag::default()
    };
    let first = with_tag(syn(1, 0), tag);
    let mut harness = fill(alone(800));
    harness.caller(first);
    let got = harness.after(100).backend(reply(100, 500));
    assert_eq!(opened(&got), [key(1)]);
    let got = harness.backend(returned(first));
    assert_eq!(resets(&got), [], "returned by the backend server");

    let mut harness = alone(800);
    let state = ReportState::Draining;
    harness.report(Report {
        state,
        ..slots(SLOTS, 2)
    });
    let passed = with_tag(syn(1, 0), tag.aged(ms(100)).passed_on());
    let got = harness.from(packet_addr(2), passed);
    assert_eq!(resets(&got), [], "passed on");
    let got = harness.caller(with_tag(syn(2, 0), tag));
    assert_eq!(resets(&got), [ResetReason::NobodyTakes], "a new SYN");
}

/// Guards against a reset of a flow whose next copy opened it elsewhere: an agent of an earlier release
/// that passes a SYN on clears the time for which the SYN has waited.
#[test]
fn a_syn_of_unknown_age_is_not_reset() {
    let passed = Tag::default().aged(ms(100)).passed_on();
    let earlier_release = Tag {
        hops: 2,
        aside: true,
        ..Tag::default()
    };
    for (tag, is_known) in [
        (passed.passed_on(), true),
        (earlier_release, false),
        (earlier_release.passed_on(), false),
    ] {
        assert_eq!(Tag::read(tag.word()), tag);
        let mut harness = fill(alone(300));
        (1..40).for_each(|port| drop(harness.caller(syn(port, 0))));
        let got = harness.from(packet_addr(2), with_tag(syn(90, 0), tag));
        assert_eq!(!resets(&got).is_empty(), is_known, "{tag:?}: {got:?}");
    }
}

/// Guards against panics from values at the ends of their ranges that operators or other agents may
/// send.
#[test]
fn extreme_values_are_handled() {
    let objectives = [Duration::ZERO, ms(1), ms(u64::MAX)];
    for (objective, least_share) in objectives
        .into_iter()
        .flat_map(|objective| [0.0, 1.0, f64::INFINITY, f64::NAN].map(|share| (objective, share)))
    {
        let mut harness = alone(800);
        let policy = OverloadPolicy {
            least_share,
            second_tries: f64::NAN,
        };
        set_policy(&mut harness, Some(policy));
        for (route, priority) in harness.plan.routes.values_mut().zip([255, 0]) {
            route.class.objective = Some(objective);
            route.class.priority = Some(priority);
        }
        harness.peers = Peers::new([1, 2, 3].map(|node| peer(node, "a", "desk")));
        for port in 100..400 {
            let load = Load {
                wait: ms(u32::MAX.into()),
                service: ms(u32::MAX.into()),
                capacity: u32::from(port % 2 == 0) * u32::MAX,
                slots: 0,
            };
            let now = harness.now;
            harness.agent.note_load(now, packet_addr(2), load);
            harness
                .agent
                .note_load(now, packet_addr(3), Load::default());
            let target = [SERVICE, LOW][usize::from(port % 3 == 0)];
            let tag = Tag {
                hops: (port % 7) as u8 * 40,
                age: u8::MAX * (port % 5 == 0) as u8,
                ..Tag::default()
            };
            let copy = u32::from(port % 11 == 0) * u32::MAX;
            let first = Segment {
                target,
                ..with_tag(syn(port, copy), tag)
            };
            harness.after(1).caller(first);
            if port % 4 == 0 {
                harness.caller(Segment {
                    target,
                    ..data(port, 90)
                });
            }
            harness.tick();
            let now = harness.now;
            harness.agent.offer(now, &harness.plan);
            harness.agent.load(now, &harness.plan);
            if port % 20 == 0 {
                harness.after(5_000).backend(Segment {
                    source: target,
                    rst: port % 40 == 0,
                    ..reply(port, 500)
                });
                harness.report(slots(u32::MAX - u32::from(port), u64::from(port)));
                harness.report(slots(SLOTS, u64::from(port) + 1));
            }
        }
    }
}
