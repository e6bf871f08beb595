//! Addresses of planned processes.

use std::collections::HashSet;

use buckthornweir_standins::{Hosts, Plan};

#[test]
fn hosts_are_loopback_and_handed_out_once() {
    let mut hosts = Hosts::new();
    let ips: HashSet<_> = (0..1000).map(|_| hosts.next_ip()).collect();
    assert_eq!(ips.len(), 1000);
    assert!(ips.iter().all(std::net::IpAddr::is_loopback));
}

#[test]
fn planned_processes_share_no_address() {
    for hosts in [None, Some(Hosts::new())] {
        let plan = Plan::new("00");
        let mut plan = match hosts {
            Some(hosts) => plan.with_hosts(hosts),
            None => plan,
        };
        let first = plan.balancer("balancer-1", "gulberg");
        let second = plan.balancer("balancer-2", "johar");
        assert_ne!(first.control, second.control);
        assert_ne!(first.fabric, second.fabric);
        let line = format!("control = {}", first.control);
        assert!(first.settings.contains(&line), "{}", first.settings);
    }
}
