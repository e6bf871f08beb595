//! Disks that are full for some seconds, one after another, while members are replaced.

use std::time::Duration;

use buckthornweir_quorum::{Config, Core};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Harness, STEP, push};

/// Number of seeds, and of disks that fill up in each.
const SEEDS: u64 = 12;
const FULL_DISKS: usize = 10;

/// Number of steps after which a log that was closed is opened again.
const REOPEN_STEPS: usize = 5;

/// Performs one step as the processes do: logs that were closed are opened again, removed members
/// begin anew, VMs without a log join, and the leader changes the members.
fn step(harness: &mut Harness, gone: &[usize], count: usize) {
    if count.is_multiple_of(REOPEN_STEPS) {
        for at in (0..harness.vms.len()).filter(|at| !gone.contains(at)) {
            if harness.vms[at].core.is_none() {
                harness.start(at);
            }
        }
    }
    if let Some(leader) = harness.leader() {
        let (commit, members) = (
            harness.core(leader).commit(),
            harness.core(leader).committed_members(),
        );
        for at in 0..harness.vms.len() {
            let core = harness.vms[at].core.as_ref();
            let is_removed = core.is_some_and(|core| {
                members.get(core.id()).is_none() && core.is_expelled_at(commit)
            });
            if is_removed {
                harness.kill(at);
                harness.vms[at].disk.wipe();
            }
        }
        harness.change_by_policy(leader);
    }
    harness.rejoin();
    for at in 0..harness.vms.len() {
        harness.act(at, Core::rejoin);
    }
    harness.run(STEP);
}

/// Guards against changes that are refused for good after the disks of the members were full one after
/// another, for less and for more than the time after which a voter counts as lost, while others are
/// replaced or joined with a full disk.
#[test]
fn pushes_are_accepted_after_disks_were_full_one_after_another() {
    let mut closed_logs = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let config = Config::default().with_compaction(6, usize::MAX);
        let mut harness = Harness::with_config(5, config);
        harness.keeps_writes = true;
        harness.push_until_accepted(1, 1);
        let (mut version, mut count) = (1, 0);
        let mut gone = Vec::new();
        for round in 0..FULL_DISKS {
            if round % 4 == 1 {
                let lost = (0..harness.vms.len())
                    .rev()
                    .find(|at| !gone.contains(at))
                    .filter(|_| rng.random_bool(0.7));
                if let Some(lost) = lost {
                    harness.kill(lost);
                    gone.push(lost);
                    harness.add_vm();
                }
            }
            let running: Vec<usize> = (0..harness.vms.len())
                .filter(|at| !gone.contains(at))
                .collect();
            let full = running[rng.random_range(0..running.len())];
            harness.vms[full].disk.set_out_of_space(true);
            for _ in 0..rng.random_range(5..60) {
                version += 1;
                count += 1;
                if let Some(leader) = harness.leader() {
                    harness.act(leader, |core, now| {
                        core.propose(now, version, push(version, 1))
                    });
                }
                step(&mut harness, &gone, count);
            }
            closed_logs += usize::from(harness.vms[full].core.is_none());
            harness.vms[full].disk.set_out_of_space(false);
            for _ in 0..rng.random_range(1..40) {
                count += 1;
                step(&mut harness, &gone, count);
            }
        }
        for _ in 0..150 {
            count += 1;
            step(&mut harness, &gone, count);
        }
        version += 1;
        harness.push_until_accepted(version, 2);
        harness.run(Duration::from_secs(2));
        let leader = harness.wait_for_leader();
        let voters = harness.core(leader).members().voters().count();
        assert!(voters >= 5, "seed {seed}: {voters} voters");
        harness.assert_newest_version(version);
    }
    assert!(closed_logs > FULL_DISKS, "{closed_logs} logs were closed");
}
