//! Uniqueness of the addresses of planned processes.

use std::collections::HashSet;

use buckthornweir_standins::{Plan, free_tcp};

#[test]
fn addresses_are_distinct_and_on_loopback() {
    let addresses: HashSet<_> = (0..1000).map(|_| free_tcp()).collect();
    assert_eq!(addresses.len(), 1000);
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
}

#[test]
fn planned_processes_have_distinct_addresses() {
    let mut plan = Plan::new("00");
    let first = plan.balancer("balancer-1", "gulberg");
    let second = plan.balancer("balancer-2", "johar");
    assert_ne!(first.control, second.control);
    assert_ne!(first.fabric, second.fabric);
    let line = format!("control = {}", first.control);
    assert!(first.settings.contains(&line), "{}", first.settings);
}
