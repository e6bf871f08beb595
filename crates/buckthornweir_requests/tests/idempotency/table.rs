//! Table of faults of requests with an idempotency key.

use std::time::Duration;

use crate::net::{EndFault, Got, KeyNet};
use buckthornweir_requests::NodeId;
use buckthornweir_requests::idempotency::{Member, holders_of};
use buckthornweir_requests::messages::KeyEnd;

const KEY: &str = "order-1";
const DOMAINS: [&str; 7] = ["a", "b", "c", "a", "b", "c", "a"];
const SECOND: Duration = Duration::from_secs(1);

const IN_USE: Got = Got::Refused("key-in-use", false);
const UNKNOWN: Got = Got::Refused("outcome-unknown", false);
const UNREACHABLE: Got = Got::Refused("key-home-unreachable", false);
const REPLAYED: Got = Got::Replayed(201);

fn net() -> KeyNet {
    KeyNet::new(&DOMAINS)
}

/// Returns the holders of the key, and an agent that is none of them.
fn holders() -> (Vec<NodeId>, NodeId) {
    let members: Vec<_> = DOMAINS
        .iter()
        .zip(1..)
        .map(|(domain, node)| Member::new(node, *domain))
        .collect();
    let holders = holders_of([0, 0], KEY.as_bytes(), members.iter());
    let other = (1..=7).find(|node| !holders.contains(node));
    (holders, other.expect("seven agents"))
}

/// Runs the request once through an agent that holds no record.
fn ran() -> (KeyNet, Vec<NodeId>, NodeId) {
    let mut net = net();
    let (holders, other) = holders();
    assert_eq!(net.ask(other, KEY), Some(Got::Ran));
    (net, holders, other)
}

#[test]
fn key_sent_again_is_answered_from_the_record() {
    type Fault = fn(&mut KeyNet, &[NodeId], NodeId);
    // fault between the two sends, agents besides the holders, what the second caller gets
    let table: [(&str, Fault, Got); 13] = [
        ("none", |_, _, _| {}, REPLAYED),
        ("asker died", |net, _, other| net.kill(other), REPLAYED),
        ("first holder died", |net, h, _| net.kill(h[0]), REPLAYED),
        ("second holder died", |net, h, _| net.kill(h[1]), REPLAYED),
        (
            "first holder restarted",
            |net, h, _| net_restart(net, h[0]),
            REPLAYED,
        ),
        (
            "all holders restarted one after another",
            |net, h, _| {
                for &holder in h {
                    net_restart(net, holder);
                    net.pass(SECOND * 2);
                }
            },
            Got::Refused("answer-not-kept", false),
        ),
        ("first holder left", |net, h, _| net.leave(h[0]), REPLAYED),
        (
            "two holders left, one after another",
            |net, h, _| {
                net.leave(h[0]);
                net.pass(SECOND * 8);
                net.leave(h[1]);
                net.pass(SECOND * 8);
            },
            REPLAYED,
        ),
        (
            "two holders died",
            |net, h, _| {
                net.kill(h[0]);
                net.kill(h[1]);
            },
            REPLAYED,
        ),
        (
            "all holders died",
            |net, h, _| h.iter().for_each(|&holder| net.kill(holder)),
            UNREACHABLE,
        ),
        (
            "all holders died and restarted",
            |net, h, _| {
                h.iter().for_each(|&holder| net.kill(holder));
                net.pass(SECOND);
                h.iter().for_each(|&holder| net.restart(holder));
                net.pass(SECOND * 5);
            },
            UNREACHABLE,
        ),
        (
            "a holder died and another was lost right after its repair",
            |net, h, _| {
                net_restart(net, h[0]);
                net.pass(SECOND * 2);
                net.kill(h[1]);
                net.pass(SECOND * 2);
            },
            REPLAYED,
        ),
        (
            "a member joined",
            |net, _, _| {
                net.start(8, "d");
                net.pass(SECOND * 12);
            },
            REPLAYED,
        ),
    ];
    for (name, fault, expected) in table {
        let (mut net, holders, other) = ran();
        fault(&mut net, &holders, other);
        let alive = net.alive();
        let through = alive
            .iter()
            .find(|node| !holders.contains(node) && **node != other);
        let got = net.ask(*through.expect("an agent lives"), KEY);
        assert_eq!(got, Some(expected), "{name}");
        assert_eq!(net.count(KEY), 1, "{name}");
    }
}

fn net_restart(net: &mut KeyNet, node: NodeId) {
    net.kill(node);
    net.restart(node);
}

#[test]
fn key_sent_again_while_running_does_not_run_again() {
    type Fault = fn(&mut KeyNet, &[NodeId], NodeId);
    let table: [(&str, Fault, Got); 5] = [
        ("none", |_, _, _| {}, IN_USE),
        ("a holder died", |net, h, _| net.kill(h[0]), IN_USE),
        ("asker died", |net, _, other| net.kill(other), IN_USE),
        (
            "asker died and the deadline passed",
            |net, _, other| {
                net.kill(other);
                net.pass(SECOND * 3);
            },
            UNKNOWN,
        ),
        (
            "asker stood still and the deadline passed",
            |net, _, other| {
                net.freeze(other);
                net.pass(SECOND * 3);
            },
            UNKNOWN,
        ),
    ];
    for (name, fault, expected) in table {
        let mut net = net();
        net.service = SECOND * 10;
        let (holders, other) = holders();
        assert_eq!(net.ask(other, KEY), None, "{name}");
        fault(&mut net, &holders, other);
        let through = *net
            .alive()
            .iter()
            .find(|n| !holders.contains(n))
            .expect("an agent lives");
        assert_eq!(net.ask(through, KEY), Some(expected), "{name}");
        assert_eq!(net.count(KEY), 1, "{name}");
    }
}

#[test]
fn key_sent_again_right_after_its_answer_gets_the_answer() {
    use EndFault::{Late, Lost};
    let ms = Duration::from_millis;
    // what happens to the ends, at how many holders, what the second caller gets
    let table = [
        (Late(ms(30)), 1, REPLAYED),
        (Late(ms(30)), 2, REPLAYED),
        (Late(ms(30)), 3, REPLAYED),
        (Late(ms(300)), 3, REPLAYED),
        (Lost(1), 1, REPLAYED),
        (Lost(1), 2, REPLAYED),
        (Lost(1), 3, REPLAYED),
        (Late(ms(1_500)), 1, REPLAYED),
        (Late(ms(1_500)), 3, IN_USE),
    ];
    for (fault, count, expected) in table {
        for through in 1..=7 {
            let mut net = net();
            let (holders, other) = holders();
            let faults = holders.iter().take(count).map(|&holder| (holder, fault));
            net.ends = faults.collect();
            let first = net.send(other, KEY, 1);
            while !net.got.contains_key(&first) {
                net.pass(ms(1));
            }
            let got = net.ask(through, KEY);
            let name = format!("{fault:?} at {count} holders, through {through}");
            assert_eq!(got, Some(expected.clone()), "{name}");
            assert_eq!(net.count(KEY), 1, "{name}");
        }
    }
}

#[test]
fn late_withdrawal_of_a_round_takes_nothing_from_the_next() {
    let ms = Duration::from_millis;
    for delay in [150, 250, 350, 450] {
        let mut net = net();
        net.service = SECOND * 10;
        let (holders, other) = holders();
        let (near, far) = (&holders[1..], holders[0]);
        for &holder in near {
            net.cut(other, holder, true);
            net.ends.insert(holder, EndFault::Late(ms(delay)));
        }
        // The first asker reaches one holder, and withdraws; the second gets the other two, and
        // asks again.
        net.send(other, KEY, 1);
        net.pass(ms(10));
        let mut others = (1..=7).filter(|n| !holders.contains(n) && *n != other);
        let second = others.next().expect("seven agents");
        assert_eq!(net.ask(second, KEY), None);
        assert_eq!(net.count(KEY), 1, "{delay} ms");
        net.kill(far);
        let third = others.next().expect("seven agents");
        assert_eq!(net.ask(third, KEY), Some(IN_USE), "{delay} ms");
        assert_eq!(net.count(KEY), 1, "{delay} ms");
    }
}

#[test]
fn end_of_the_run_decides_about_the_next_send() {
    let (holders, other) = holders();
    let mut net = net();
    net.end = KeyEnd::NotRun;
    assert_eq!(net.ask(other, KEY), Some(Got::Ran));
    net.end = KeyEnd::Unknown;
    assert_eq!(net.ask(other, KEY), Some(Got::Ran));
    assert_eq!(net.ask(holders[0], KEY), Some(UNKNOWN));
    assert_eq!(net.count(KEY), 1);
}

#[test]
fn key_of_another_request_is_refused_as_not_run() {
    let (mut net, holders, _) = ran();
    let caller = net.send(holders[0], KEY, 2);
    net.pass(SECOND);
    assert_eq!(
        net.got.get(&caller),
        Some(&Got::Refused("key-mismatch", true))
    );
    assert_eq!(net.count(KEY), 1);
}

#[test]
fn two_sides_of_a_partition_never_both_run_a_key() {
    let long = SECOND * 120;
    for time in [SECOND / 10, SECOND * 3, long] {
        for split in 1..7 {
            let mut net = net();
            for a in 1..=split {
                for b in split + 1..=7 {
                    net.cut(a, b, true);
                }
            }
            net.pass(time);
            let first = net.ask(1, KEY);
            let second = net.ask(7, KEY);
            let runs = net.count(KEY);
            assert!(
                runs <= 1,
                "split {split} after {time:?}: {first:?} {second:?}"
            );
            // The larger side goes on once it has dropped the others.
            assert!(
                runs == 1 || time != long,
                "split {split}: {first:?} {second:?}"
            );
        }
    }
}

#[test]
fn two_askers_at_once_run_a_key_once_at_most() {
    for other in 2..=7 {
        let mut net = net();
        let first = net.send(1, KEY, 1);
        let second = net.send(other, KEY, 1);
        net.pass(SECOND);
        assert_eq!(net.count(KEY), 1, "through 1 and {other}");
        assert!(net.got.contains_key(&first) && net.got.contains_key(&second));
    }
}

#[test]
fn agent_without_the_others_records_grants_nothing() {
    let (mut net, holders, _) = ran();
    for node in (1..=7).filter(|node| *node != holders[0]) {
        net.cut(holders[0], node, true);
    }
    net_restart(&mut net, holders[0]);
    net.pass(SECOND * 10);
    assert!(!net.is_ready(holders[0]));
    assert_eq!(net.ask(holders[0], KEY), Some(UNREACHABLE));
    net.heal();
    net.pass(SECOND * 3);
    assert!(net.is_ready(holders[0]));
    assert_eq!(net.held(holders[0]), 1);
    assert_eq!(net.count(KEY), 1);
}

#[test]
fn service_whose_agents_are_all_replaced_keeps_its_records() {
    let (mut net, _, _) = ran();
    for node in 1..=7 {
        net.start(node + 10, DOMAINS[node as usize - 1]);
        net.pass(SECOND / 2);
        net.leave(node);
        net.pass(SECOND / 2);
    }
    net.pass(SECOND * 12);
    assert_eq!(
        net.ask(13, KEY),
        Some(Got::Refused("answer-not-kept", false))
    );
    assert_eq!(net.count(KEY), 1);
    assert_eq!(net.ask(12, "order-2"), Some(Got::Ran));
}

#[test]
fn key_that_a_lone_agent_granted_is_not_granted_again() {
    let ms = Duration::from_millis;
    // Another member joins; the first one is lost, and comes back or not.
    for joined in (0..7_000).step_by(500) {
        for away in [500, 2_000, 6_000, 40_000] {
            let mut net = KeyNet::new(&["a"]);
            assert_eq!(net.ask(1, KEY), Some(Got::Ran));
            net.start(2, "b");
            net.pass(ms(joined));
            net.kill(1);
            net.pass(ms(away));
            let second = net.ask(2, KEY);
            net.restart(1);
            net.pass(SECOND * 2);
            let others = [net.ask(1, KEY), net.ask(2, KEY)];
            let name = format!("joined {joined}, away {away}: {second:?} {others:?}");
            assert_eq!(net.count(KEY), 1, "{name}");
        }
    }
}

#[test]
fn agents_that_come_back_after_a_partition_run_no_key_again() {
    for away in [SECOND * 20, SECOND * 48, SECOND * 120] {
        for a in 1..=7 {
            for b in a + 1..=7 {
                let mut net = net();
                let cut = |net: &mut KeyNet, node| {
                    net.cut(a, node, true);
                    net.cut(b, node, true);
                };
                for node in (1..=7).filter(|node| ![a, b].contains(node)) {
                    cut(&mut net, node);
                }
                net.pass(away / 2);
                net.start(8, "b");
                cut(&mut net, 8);
                net.pass(away / 2);
                net.heal();
                for round in 0..24 {
                    for node in [a, b, 8, 8, a] {
                        net.send(node, &format!("order-{round}-{}", node % 2), 1);
                        net.send(9 - a.min(8), &format!("order-{round}-{}", node % 2), 1);
                        net.pass(SECOND / 20);
                    }
                }
                let doubled = net.runs.iter().find(|(_, runs)| runs.len() > 1);
                assert_eq!(doubled, None, "{a} and {b} away for {away:?}");
            }
        }
    }
}
