//! Division of flows between services by weight.

use std::collections::BTreeMap;

use buckthornweir_forward::plan::{Route, Split};

use crate::common::key;

fn split(service: &str, weight: u32) -> Split {
    Split {
        service: service.into(),
        weight,
    }
}

#[test]
fn flows_are_split_by_weight() {
    let route = Route {
        splits: vec![split("desk", 90), split("proofs", 10), split("old", 0)],
        ..Route::default()
    };
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for port in 0..10_000 {
        *counts
            .entry(route.service(&key(port)).unwrap())
            .or_default() += 1;
    }
    assert!((8_800..9_200).contains(&counts["desk"]), "{counts:?}");
    assert_eq!(counts["desk"] + counts["proofs"], 10_000);
    assert!(route.allows("desk") && !route.allows("old") && !route.allows("none"));
}

#[test]
fn a_change_of_weights_moves_few_flows() {
    let before = Route {
        splits: vec![split("desk", 90), split("proofs", 10)],
        ..Route::default()
    };
    let after = Route {
        splits: vec![split("desk", 80), split("proofs", 20)],
        ..Route::default()
    };
    let moved =
        (0..10_000).filter(|port| before.service(&key(*port)) != after.service(&key(*port)));
    assert!(moved.count() < 1_200);
}

#[test]
fn a_route_without_weight_accepts_no_flows() {
    for splits in [
        vec![],
        vec![split("desk", 0)],
        vec![split("desk", 0), split("proofs", 0)],
    ] {
        let route = Route {
            splits,
            ..Route::default()
        };
        assert_eq!(route.service(&key(1)), None);
    }
}
