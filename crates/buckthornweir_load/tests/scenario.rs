//! Tests of scenario parsing, the example scenarios and request generation.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::fmt::Write;

use buckthornweir_load::{Scenario, generate_request};
use expect_test::expect;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const VALID_SCENARIO: &str = "\
[scenario]
name = small
time = 10s
region = fj-west
domains = fj-west-a, fj-west-b
[service orders]
address = 10.100.0.1:80
backends = 2
flows = 10
rate = 20
[event 1]
at = 5s
do = kill
to = balancer-2
";

#[test]
fn error_messages_name_line_key_and_allowed_values() {
    let cases = [
        ("time = 10s", "time = 0s"),
        ("time = 10s\n", ""),
        ("time = 10s", "time = 10s\nwarm-up = 11s"),
        ("time = 10s", "time = 10s\ncontrols = 2"),
        ("time = 10s", "time = 10s\nbalancers = 199"),
        (
            "domains = fj-west-a, fj-west-b",
            "domains = fj-west-a, fj-west-a",
        ),
        ("backends = 2", "backends = 201"),
        ("rate = 20", "rate = 20001"),
        ("rate = 20", "rate = 20\nhot = 101%"),
        ("rate = 20", "rate = 20\nslots = 2\ncold-slots = 3"),
        ("rate = 20", "rate = 20\nspeed = 3"),
        ("[service orders]", "[service Orders]"),
        ("at = 5s", "at = 11s"),
        ("do = kill", "do = burn"),
        ("to = balancer-2", "to = balancer-4"),
        ("do = kill\nto = balancer-2", "do = domain-out\nto = johar"),
        (
            "do = kill\nto = balancer-2",
            "do = silent\nto = agent-orders-1",
        ),
        ("do = kill\nto = balancer-2", "do = late\nto = orders-1"),
        ("do = kill\nto = balancer-2", "do = push\nto = orders-1"),
        ("[event 1]", "[events 1]"),
    ];
    let mut table = String::new();
    for (old, new) in cases {
        assert!(VALID_SCENARIO.contains(old), "{old}");
        let fault = Scenario::parse("s.ini", &VALID_SCENARIO.replace(old, new)).unwrap_err();
        writeln!(table, "{fault}").expect("writing to a string can't fail");
    }
    expect![[r#"
        s.ini:3: [scenario] time = "0s" is not allowed; allowed: a length of time from 1s to 1h, such as 250ms or 2s
        s.ini:1: [scenario] time is missing
        s.ini:4: [scenario] warm-up = "11s" is not allowed; allowed: a length of time from 0s to 10s, such as 250ms or 2s
        s.ini:4: [scenario] controls = "2" is not allowed; allowed: 1, 3, 5, 7
        s.ini:4: [scenario] balancers = "202" is not allowed; allowed: at most 200 processes in all
        s.ini:5: [scenario] domains = "fj-west-a, fj-west-a" is not allowed; allowed: a list separated by commas in which no item stands twice
        s.ini:8: [service orders] backends = "201" is not allowed; allowed: a whole number from 1 to 200
        s.ini:10: [service orders] rate = "20001" is not allowed; allowed: a whole number from 0 to 20000
        s.ini:11: [service orders] hot = "101%" is not allowed; allowed: a share from 0% to 100%
        s.ini:12: [service orders] cold-slots = "3" is not allowed; allowed: a whole number from 1 to 2
        s.ini:11: [service orders] speed is not a known key; allowed: slots, address, backends, cold-slots, cold-time, connections, work, deadline, flows, rate, requests, once, keyed, bytes, hot, burst, burst-every
        s.ini:6: [service Orders] NAME = "Orders" is not allowed; allowed: a name of 1 to 63 lower-case letters, digits and hyphens
        s.ini:12: [event 1] at = "11s" is not allowed; allowed: a length of time from 0s to 10s, such as 250ms or 2s
        s.ini:13: [event 1] do = "burn" is not allowed; allowed: kill, stop, start, restart, freeze, thaw, domain-out, domain-back, push, heal, shed, drain, cold, late, silent, cut-before-answer, cut-after-headers, cut-mid-body, lying-health, lying-load
        s.ini:14: [event 1] to = "balancer-4" is not allowed; allowed: balancer-1, balancer-2, balancer-3, control-1, agent-orders-1, agent-orders-2
        s.ini:14: [event 1] to = "johar" is not allowed; allowed: fj-west-a, fj-west-b
        s.ini:14: [event 1] to = "agent-orders-1" is not allowed; allowed: orders-1, orders-2
        s.ini:11: [event 1] by is missing
        s.ini:14: [event 1] to is not a known key; allowed: at, do
        s.ini:11: [events 1] is not a known section; allowed: [scenario], [service NAME], [event NAME]
    "#]]
    .assert_eq(&table);
}

#[test]
fn example_scenarios_have_the_specified_sizes() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/scenarios");
    for (file, first, second) in [("veiqia", "orders", "sheets"), ("ravi", "desk", "proofs")] {
        let path = format!("{folder}/{file}.ini");
        let scenario = Scenario::read(path.as_ref()).unwrap();
        assert_eq!(scenario.domains.len(), 3);
        let expected = [(first, 7), (second, 3)];
        for (service, (name, backends)) in scenario.services.iter().zip(expected) {
            assert_eq!((service.name.as_str(), service.backends), (name, backends));
            assert_eq!((service.slots, service.connections), (5, 2000));
        }
    }
}

#[test]
fn same_seed_generates_same_requests() {
    let scenario = Scenario::parse(
        "s.ini",
        &VALID_SCENARIO.replace("rate = 20", "rate = 20\nonce = 50%"),
    );
    let load = &scenario.unwrap().services[0].load;
    let requests = |seed| {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        (0..20)
            .map(|_| generate_request(load, "orders", &mut rng))
            .collect::<Vec<_>>()
    };
    assert_eq!(requests(3), requests(3));
    assert_ne!(requests(3), requests(4));
}
