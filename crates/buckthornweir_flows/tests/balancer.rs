//! Routing decisions of a balancer.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use buckthornweir_flows::balancer::{HintLimits, RouteDrop};
use buckthornweir_flows::messages::{FlowKey, Hint};
use buckthornweir_flows::prelude::*;
use common::mesh::*;
use common::*;

const NOW: Duration = Duration::from_secs(1);

fn balancer() -> Balancer {
    Balancer::new(KEY, &HintLimits::default())
}

fn node(route: &Route) -> Option<NodeId> {
    match route {
        Route::Forward { node, .. } => Some(*node),
        Route::Drop(_) => None,
    }
}

fn hint(tuple: &FiveTuple, owner: NodeId) -> Hint {
    Hint {
        service: "orders".into(),
        flow: Some(FlowKey::from(tuple)),
        owner,
    }
}

#[test]
fn every_balancer_forwards_a_flow_to_the_owner_of_its_placement() {
    let view = BalancerView::new(1, vec![service("orders", ready_members(&[1, 2, 3]))]);
    let placement = view.service(tuple(1).service).unwrap().placement();
    let balancers = [balancer(), Balancer::new([9; 16], &HintLimits::default())];
    for tuple in (1..2_000).map(tuple) {
        for packet in [syn(&tuple, 0), data(&tuple, 1, b"x")] {
            for balancer in &balancers {
                let route = balancer.route(&view, &info(&packet), NOW);
                assert_eq!(node(&route), placement.owner(&tuple));
            }
        }
    }
}

#[test]
fn packets_without_a_route_are_dropped() {
    let draining = || vec![member(1, MemberState::Draining)];
    let out = BTreeSet::from(["domain-1".into()]);
    let addresses = vec![tuple(1).service];
    let service_out = ServiceView::new("orders".into(), addresses, ready_members(&[1]), &out, KEY);
    let table = [
        (vec![], [RouteDrop::NoService; 2].map(Some)),
        (
            vec![service("orders", vec![])],
            [Some(RouteDrop::NoOwner), Some(RouteDrop::NoMembers)],
        ),
        (
            vec![service("orders", draining())],
            [Some(RouteDrop::NoOwner), None],
        ),
        (
            vec![service_out],
            [Some(RouteDrop::NoOwner), Some(RouteDrop::NoMembers)],
        ),
    ];
    let tuple = tuple(40_000);
    for (services, expected) in table {
        let view = BalancerView::new(1, services);
        for (packet, expected) in [syn(&tuple, 0), data(&tuple, 1, b"x")].iter().zip(expected) {
            let dropped = match balancer().route(&view, &info(packet), NOW) {
                Route::Drop(reason) => Some(reason),
                Route::Forward { .. } => None,
            };
            assert_eq!(dropped, expected);
        }
    }
}

#[test]
fn hints_to_members_apply_until_they_expire() {
    let view = BalancerView::new(1, vec![service("orders", ready_members(&[1, 2, 3]))]);
    let tuple = tuple(40_000);
    let placement = view.service(tuple.service).unwrap().placement();
    let owner = placement.owner(&tuple);
    let other = placement.order(&tuple).pop();
    let balancer = balancer();
    let route = |packet: &[u8], now| node(&balancer.route(&view, &info(packet), now));
    balancer.hint(&hint(&tuple, other.unwrap()), NOW).unwrap();
    assert_eq!(route(&data(&tuple, 1, b"x"), NOW), other);
    assert_eq!(route(&syn(&tuple, 1), NOW), owner);
    let later = NOW + HintLimits::default().lifetime;
    assert_eq!(route(&data(&tuple, 1, b"x"), later), owner);
    balancer.hint(&hint(&tuple, 99), later).unwrap();
    assert_eq!(route(&data(&tuple, 1, b"x"), later), owner);
    assert!(balancer.hint(&Hint::default(), NOW).is_err());
}

#[test]
fn number_of_hints_is_bounded() {
    let view = BalancerView::new(1, vec![service("orders", ready_members(&[1, 2, 3]))]);
    let limits = HintLimits {
        hints: 160,
        ..HintLimits::default()
    };
    let balancer = Balancer::new(KEY, &limits);
    let placement = view.service(tuple(1).service).unwrap().placement();
    let last = |tuple: &FiveTuple| placement.order(tuple).pop().unwrap();
    for tuple in (1..5_000).map(tuple) {
        balancer.hint(&hint(&tuple, last(&tuple)), NOW).unwrap();
    }
    let is_hinted = |tuple: &FiveTuple| {
        let route = balancer.route(&view, &info(&data(tuple, 1, b"x")), NOW);
        node(&route) == Some(last(tuple))
    };
    assert!((1..5_000).map(tuple).filter(is_hinted).count() <= 160);
    assert!(is_hinted(&tuple(4_999)));
}
