//! Placement of flows on agents.

mod common;

use buckthornweir_flows::prelude::*;
use common::*;

fn candidates(nodes: std::ops::Range<u64>, weight: u8) -> Vec<Candidate> {
    nodes.map(|node| Candidate { node, weight }).collect()
}

fn tuples() -> impl Iterator<Item = FiveTuple> {
    (1..=10_000).map(tuple)
}

#[test]
fn order_of_candidates_does_not_count() {
    let forward = candidates(1..8, 16);
    let mut backward = forward.clone();
    backward.reverse();
    let (a, b) = (
        Placement::new(KEY, &forward),
        Placement::new(KEY, &backward),
    );
    for tuple in tuples() {
        assert_eq!(a.owner(&tuple), b.owner(&tuple));
        assert_eq!(a.order(&tuple), b.order(&tuple));
        assert_eq!(a.order(&tuple).first().copied(), a.owner(&tuple));
        assert_eq!(a.order(&tuple).len(), 7);
    }
}

#[test]
fn candidates_of_weight_zero_get_no_new_flows() {
    let mut members = candidates(1..8, 16);
    members[3].weight = 0;
    let placement = Placement::new(KEY, &members);
    for tuple in tuples() {
        assert_ne!(placement.owner(&tuple), Some(4));
        assert!(placement.order(&tuple).contains(&4));
    }
    let none = Placement::new(KEY, &candidates(1..8, 0));
    assert_eq!(none.owner(&tuple(1)), None);
    assert_eq!(none.order(&tuple(1)).len(), 7);
    assert_eq!(Placement::new(KEY, &[]).owner(&tuple(1)), None);
}

#[test]
fn another_key_gives_another_placement() {
    let members = candidates(1..8, 16);
    let (a, b) = (
        Placement::new(KEY, &members),
        Placement::new([8; 16], &members),
    );
    let same = tuples()
        .filter(|tuple| a.owner(tuple) == b.owner(tuple))
        .count();
    assert!(
        same < 10_000 / 4,
        "{same} of 10000 flows are placed alike under two keys"
    );
}
