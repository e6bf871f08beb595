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

/// Every how many full disks a VM is lost for good and another one added.
const REPLACEMENT_PERIOD: usize = 4;

/// Number of steps after the last full disk until pushes must be accepted.
const RECOVERY_STEPS: usize = 150;

/// Members whose disks fill up, and what has happened to them.
struct Run {
    harness: Harness,
    rng: ChaCha8Rng,
    /// Positions of VMs that were lost for good.
    gone: Vec<usize>,
    /// The last version that was pushed.
    version: u64,
    steps: usize,
    /// Number of logs that a full disk closed.
    closed_logs: usize,
}

impl Run {
    fn start(seed: u64) -> Self {
        let config = Config::default().with_compaction(6, usize::MAX);
        let mut harness = Harness::with_config(5, config);
        harness.keeps_writes = true;
        harness.push_until_accepted(1, 1);
        Self {
            harness,
            rng: ChaCha8Rng::seed_from_u64(seed),
            gone: Vec::new(),
            version: 1,
            steps: 0,
            closed_logs: 0,
        }
    }

    /// Returns the positions of the VMs that were not lost for good.
    fn remaining(&self) -> Vec<usize> {
        let all = 0..self.harness.vms.len();
        all.filter(|at| !self.gone.contains(at)).collect()
    }

    /// Fills up the disk of a VM while operators push, and makes room again.
    fn fill_disk(&mut self) {
        let remaining = self.remaining();
        let full = remaining[self.rng.random_range(0..remaining.len())];
        self.harness.vms[full].disk.set_out_of_space(true);
        for _ in 0..self.rng.random_range(5..60) {
            self.push();
            self.step();
        }
        self.closed_logs += usize::from(self.harness.vms[full].core.is_none());
        self.harness.vms[full].disk.set_out_of_space(false);
        for _ in 0..self.rng.random_range(1..40) {
            self.step();
        }
    }

    /// Loses the newest VM for good, and adds another one.
    fn replace_newest(&mut self) {
        if let Some(lost) = self.remaining().pop() {
            self.harness.kill(lost);
            self.gone.push(lost);
            self.harness.add_vm();
        }
    }

    fn push(&mut self) {
        self.version += 1;
        let command = push(self.version, 1);
        if let Some(leader) = self.harness.leader() {
            let token = self.version;
            self.harness
                .act(leader, |core, now| core.propose(now, token, command));
        }
    }

    /// Performs one step as the processes do: logs that were closed are opened again, removed members
    /// begin anew, VMs without a log join, and the leader changes the members.
    fn step(&mut self) {
        self.steps += 1;
        if self.steps.is_multiple_of(REOPEN_STEPS) {
            for at in self.remaining() {
                if self.harness.vms[at].core.is_none() {
                    self.harness.start(at);
                }
            }
        }
        if let Some(leader) = self.harness.leader() {
            self.empty_removed(leader);
            self.harness.change_by_policy(leader);
        }
        self.harness.rejoin();
        for at in 0..self.harness.vms.len() {
            self.harness.act(at, Core::rejoin);
        }
        self.harness.run(STEP);
    }

    /// Empties the disks of the VMs that were removed from the log.
    fn empty_removed(&mut self, leader: usize) {
        let core = self.harness.core(leader);
        let (commit, members) = (core.commit(), core.committed_members());
        for vm in &mut self.harness.vms {
            let is_removed = vm.core.as_ref().is_some_and(|core| {
                members.get(core.id()).is_none() && core.is_expelled_at(commit)
            });
            if is_removed {
                (vm.core, vm.storage) = (None, None);
                vm.disk.wipe();
            }
        }
    }
}

/// Guards against changes that are refused for good after the disks of the members were full one after
/// another, for less and for more than the time after which a voter counts as lost, while others are
/// replaced or joined with a full disk.
#[test]
fn pushes_are_accepted_after_disks_were_full_one_after_another() {
    let mut closed_logs = 0;
    for seed in 0..SEEDS {
        let mut run = Run::start(seed);
        for round in 0..FULL_DISKS {
            if round % REPLACEMENT_PERIOD == 1 {
                run.replace_newest();
            }
            run.fill_disk();
        }
        for _ in 0..RECOVERY_STEPS {
            run.step();
        }
        closed_logs += run.closed_logs;
        let version = run.version + 1;
        let mut harness = run.harness;
        harness.push_until_accepted(version, 2);
        harness.run(Duration::from_secs(2));
        let leader = harness.wait_for_leader();
        let voters = harness.core(leader).members().voters().count();
        assert!(voters >= 5, "seed {seed}: {voters} voters");
        harness.assert_newest_version(version);
    }
    assert!(closed_logs > FULL_DISKS, "{closed_logs} logs were closed");
}
