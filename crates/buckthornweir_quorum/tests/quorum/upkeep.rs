//! The leader keeps the voters whole, and removed VMs begin anew.

use std::time::Duration;

use buckthornweir_quorum::UpkeepPolicy;

use crate::bench::{Bench, STEP};

const POLICY: UpkeepPolicy = UpkeepPolicy {
    voters: 5,
    silence: Duration::from_millis(2_500),
};

/// Runs for a time; the leader makes the changes that its upkeep names.
fn keep_up(bench: &mut Bench, time: Duration) {
    let end = bench.now + time;
    while bench.now < end {
        bench.run(STEP);
        for at in 0..bench.vms.len() {
            if bench.vms[at].core.is_none() {
                continue;
            }
            bench.act(at, |core, now| match core.upkeep(now, POLICY) {
                Some(change) => core.change_members(now, 0, change),
                None => Vec::new(),
            });
        }
        bench.deliver();
    }
}

fn voters(bench: &mut Bench) -> Vec<String> {
    let leader = bench.elect();
    let members = bench.core(leader).members();
    members.voters().map(|m| m.address.to_string()).collect()
}

#[test]
fn a_vm_that_joins_becomes_a_voter() {
    let mut bench = Bench::founded(5);
    bench.elect();
    let new = bench.add_vm();
    bench.join(new, 0);
    keep_up(&mut bench, Duration::from_secs(3));
    assert_eq!(voters(&mut bench).len(), 6);
}

#[test]
fn a_lost_voter_makes_room_for_one_that_joins() {
    let mut bench = Bench::founded(5);
    let leader = bench.elect();
    let lost = (leader + 1) % 5;
    bench.kill(lost);
    let new = bench.add_vm();
    bench.join(new, leader);
    keep_up(&mut bench, Duration::from_secs(6));
    let lost_address = bench.vms[lost].address.clone();
    let voters = voters(&mut bench);
    assert_eq!(voters.len(), 5, "{voters:?}");
    assert!(!voters.contains(&lost_address));
}

#[test]
fn a_voter_that_is_silent_for_a_moment_stays() {
    let mut bench = Bench::founded(5);
    let leader = bench.elect();
    bench.cut.insert((leader + 1) % 5);
    keep_up(&mut bench, Duration::from_secs(2));
    bench.cut.clear();
    keep_up(&mut bench, Duration::from_secs(3));
    assert_eq!(voters(&mut bench).len(), 5);
}

#[test]
fn lost_voters_go_only_while_enough_are_left() {
    let mut bench = Bench::founded(6);
    let leader = bench.elect();
    let others: Vec<usize> = (0..6).filter(|at| *at != leader).collect();
    bench.kill(others[0]);
    bench.kill(others[1]);
    keep_up(&mut bench, Duration::from_secs(8));
    assert_eq!(voters(&mut bench).len(), 5, "one of two lost ones");
}

#[test]
fn a_removed_vm_is_told_apart_from_one_that_lags() {
    let mut bench = Bench::founded(6);
    let leader = bench.elect();
    let removed = (leader + 1) % 6;
    bench.cut.insert(removed);
    keep_up(&mut bench, Duration::from_secs(8));
    let id = bench.vms[removed].id;
    let index = bench.core(leader).commit();
    assert!(bench.core(leader).committed_members().get(id).is_none());
    assert!(bench.core(removed).is_expelled_at(index));
    // A member whose log ends earlier than the one that asks knows nothing of its removal.
    assert!(!bench.core(removed).is_expelled_at(1));
    let blank = bench.add_vm();
    assert!(
        !bench.core(blank).is_expelled_at(index),
        "one without a log"
    );
}
