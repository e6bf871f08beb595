//! Placement of flows on agents.

mod common;

use std::collections::BTreeMap;

use buckthornweir_flows::prelude::*;
use common::*;
use expect_test::expect;

fn candidates(nodes: std::ops::Range<u64>, weight: u8) -> Vec<Candidate> {
    nodes.map(|node| Candidate { node, weight }).collect()
}

fn tuples() -> impl Iterator<Item = FiveTuple> {
    (1..=10_000).map(tuple)
}

#[test]
fn placement_does_not_depend_on_candidate_order() {
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

/// Returns the number of buckets of each candidate.
fn buckets(placement: &Placement) -> BTreeMap<NodeId, u32> {
    let owned = |tuple| Some((placement.bucket(&tuple), placement.owner(&tuple)?));
    let owners: BTreeMap<_, _> = (1..=40_000).map(tuple).filter_map(owned).collect();
    let mut counts = BTreeMap::new();
    for owner in owners.into_values() {
        *counts.entry(owner).or_default() += 1;
    }
    counts
}

#[test]
fn buckets_follow_the_weights() {
    let mut members = candidates(1..8, 16);
    members[0].weight = 1;
    let counts = buckets(&Placement::new(KEY, &members));
    let sum: u32 = counts.values().sum();
    for member in &members {
        let share = f64::from(counts[&member.node]) / f64::from(sum);
        let expected = f64::from(member.weight) / 97.0;
        // The tuples reach about nine tenths of the buckets.
        assert!(share < expected * 1.2, "{share} for {member:?}");
        assert!(share > expected * 0.8, "{share} for {member:?}");
    }
}

#[test]
fn one_change_moves_few_flows() {
    for members in [3, 7, 30] {
        let before = Placement::new(KEY, &candidates(1..members + 1, 16));
        let joined = Placement::new(KEY, &candidates(1..members + 2, 16));
        let left = Placement::new(KEY, &candidates(1..members, 16));
        for (after, minimum) in [
            (joined, 1.0 / (members + 1) as f64),
            (left, 1.0 / members as f64),
        ] {
            let moved = tuples().filter(|tuple| before.owner(tuple) != after.owner(tuple));
            let share = moved.count() as f64 / 10_000.0;
            assert!(
                share < minimum * 1.5,
                "{share} of {members} members' flows moved"
            );
        }
    }
}

#[test]
fn cold_agents_get_few_new_flows() {
    // Three of seven agents, as of a whole failure domain, return with the lowest weight step.
    let before = Placement::new(KEY, &candidates(1..5, 16));
    let mut members = candidates(1..8, 16);
    members[4..].iter_mut().for_each(|member| member.weight = 1);
    let after = Placement::new(KEY, &members);
    let to_returned = tuples()
        .filter(|tuple| after.owner(tuple) > Some(4))
        .count();
    let share = to_returned as f64 / 10_000.0;
    assert!(
        share < 3.0 / 67.0 * 1.3,
        "{share} of the new flows go to cold agents"
    );
    let moved = tuples().filter(|tuple| {
        let owner = after.owner(tuple);
        owner != before.owner(tuple) && owner < Some(5)
    });
    assert!(moved.count() < 200, "flows move between agents that stayed");
}

/// Members that get no new flows increase the index width of the table, which doesn't change any
/// owner.
///
/// The numbers of members include both sides of each limit: the indices of 1, 3, 15 and 255 members
/// fit into 1, 2, 4 and 8 bits.
#[test]
fn index_width_does_not_change_owners() {
    for members in [1, 2, 3, 4, 15, 16, 255, 256] {
        let narrow = Placement::new(KEY, &candidates(1_001..1_001 + members, 16));
        for idle in [1, 2, 14, 254, 300] {
            // The additional members have lower node IDs, which increases the indices of the
            // others.
            let mut all = candidates(1..1 + idle, 0);
            all.extend(candidates(1_001..1_001 + members, 16));
            let wide = Placement::new(KEY, &all);
            for tuple in tuples().step_by(10) {
                assert_eq!(
                    narrow.owner(&tuple),
                    wide.owner(&tuple),
                    "{members} members and {idle} without new flows"
                );
            }
        }
    }
}

/// Processes of different versions must place flows on the same owners.
#[test]
fn owners_match_earlier_versions() {
    let mut lines = String::new();
    for members in [1, 2, 3, 4, 7, 15, 16, 255, 256] {
        let mut candidates = candidates(1..members + 1, 16);
        candidates[0].weight = 3;
        let placement = Placement::new(KEY, &candidates);
        let owners = tuples().filter_map(|tuple| placement.owner(&tuple));
        let digest = owners.fold(0u64, |sum, owner| {
            sum.wrapping_mul(0x0100_0000_01b3) ^ owner
        });
        lines += &format!("{members} members: {digest:016x}\n");
    }
    expect![[r#"
        1 members: 2035351b4f911750
        2 members: 05ac1344c822a3f8
        3 members: b173016accee7966
        4 members: 028057577ed0c7ac
        7 members: 42611a778fe62875
        15 members: a6db9f9b2d795200
        16 members: 89493ee0ec8be013
        255 members: d394f887e2fc49b9
        256 members: d045a0978d19aac0
    "#]]
    .assert_eq(&lines);
}
