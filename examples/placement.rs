//! Prints how new flows are distributed over agents, and how many would start at another agent after one joins.
//!
//! ```text
//! cargo run --release --example placement
//! ```

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use buckthornweir::flows::NodeId;
use buckthornweir::flows::packet::FiveTuple;
use buckthornweir::flows::placement::{Candidate, MAX_WEIGHT, Placement};

/// Number of placed flows.
const FLOWS: u32 = 100_000;

/// The placement key, the same on all nodes.
const KEY: [u8; 16] = [7; 16];

fn main() {
    let before = Placement::new(KEY, &candidates(7));
    let after = Placement::new(KEY, &candidates(8));
    println!("agent  flows of 7  flows of 8");
    let counts = [count(&before), count(&after)];
    for node in 1..=8 {
        let [seven, eight] = counts
            .each_ref()
            .map(|c| c.get(&node).copied().unwrap_or(0));
        println!("{node:>5}  {seven:>10}  {eight:>10}");
    }
    let moved = flows()
        .filter(|f| before.owner(f) != after.owner(f))
        .count();
    println!("{moved} of {FLOWS} flows would start at another agent");
}

fn candidates(count: NodeId) -> Vec<Candidate> {
    let candidate = |node| Candidate {
        node,
        weight: MAX_WEIGHT,
    };
    (1..=count).map(candidate).collect()
}

fn flows() -> impl Iterator<Item = FiveTuple> {
    let service = SocketAddr::from((Ipv4Addr::new(10, 100, 0, 1), 80));
    (0..FLOWS).map(move |number| {
        let ip = Ipv4Addr::from(0x0a00_0000 + number / 50_000);
        let port = 10_000 + (number % 50_000) as u16;
        FiveTuple {
            caller: SocketAddr::from((ip, port)),
            service,
        }
    })
}

fn count(placement: &Placement) -> BTreeMap<NodeId, usize> {
    let mut counts = BTreeMap::new();
    for owner in flows().filter_map(|flow| placement.owner(&flow)) {
        *counts.entry(owner).or_default() += 1;
    }
    counts
}
