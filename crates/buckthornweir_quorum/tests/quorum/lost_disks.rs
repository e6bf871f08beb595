//! Quorums of an even number of voters, some of which have lost their disks.

use std::time::Duration;

use buckthornweir_quorum::{Core, MemberChange, Role};
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::harness::{Answer, Harness, STEP, push};

/// Advances the time as [`Harness::run`]; VMs without a log report their presence and join, and the
/// leader makes the changes that its policy requires.
fn run(harness: &mut Harness, time: Duration) {
    let end = harness.now + time;
    while harness.now < end {
        harness.rejoin();
        harness.run(STEP);
        if let Some(leader) = harness.leader() {
            harness.change_by_policy(leader);
            harness.deliver();
        }
    }
}

fn empty_disk(harness: &mut Harness, at: usize) {
    harness.kill(at);
    harness.vms[at].disk.wipe();
    assert!(harness.start(at));
}

/// Returns `count` positions of six VMs from `first` on.
fn positions(first: usize, count: usize) -> impl Iterator<Item = usize> {
    (first..first + count).map(|at| at % 6)
}

/// Guards against a log that is lost for good: a successor has joined as the sixth voter, the VM that
/// it succeeds ends without a planned stop, and two others lose their disks before that VM counts as
/// silent. The three that are left hold all committed entries.
#[test]
fn six_voters_survive_an_abrupt_end_and_two_lost_disks() {
    for ended in 0..6 {
        let mut harness = Harness::founded(6);
        harness.push_until_accepted(1, 1);
        run(&mut harness, Duration::from_secs(1));
        harness.kill(ended);
        for at in positions(ended + 1, 2) {
            empty_disk(&mut harness, at);
        }
        run(&mut harness, Duration::from_secs(8));
        harness.push_until_accepted(2, 2);
        run(&mut harness, Duration::from_secs(4));
        harness.assert_newest_version(2);
        let leader = harness.wait_for_leader();
        let voters = harness.core(leader).members().voters().count();
        assert_eq!(voters, 5, "ended: {ended}");
    }
}

/// The same when all VMs lose power and one does not come back.
#[test]
fn six_voters_survive_two_lost_disks_and_a_restart_of_all_others() {
    let mut harness = Harness::founded(6);
    harness.push_until_accepted(1, 1);
    run(&mut harness, Duration::from_secs(1));
    (0..6).for_each(|at| harness.kill(at));
    for at in 0..2 {
        harness.vms[at].disk.wipe();
    }
    assert!((0..5).all(|at| harness.start(at)));
    run(&mut harness, Duration::from_secs(8));
    harness.push_until_accepted(2, 2);
    run(&mut harness, Duration::from_secs(4));
    harness.assert_newest_version(2);
}

/// Guards against two leaders: voters that are merely silent may have a leader of their own.
#[test]
fn half_of_the_voters_elect_no_leader_while_the_others_are_silent() {
    let mut harness = Harness::founded(6);
    harness.push_until_accepted(1, 1);
    run(&mut harness, Duration::from_secs(1));
    harness.isolated.extend([0, 1, 2]);
    run(&mut harness, Duration::from_secs(10));
    assert!((0..6).all(|at| harness.core(at).role() != Role::Leader));
}

/// With an odd number of voters, a known loss of a disk makes no quorum smaller.
#[test]
fn five_voters_need_three_also_after_lost_disks() {
    let mut harness = Harness::founded(5);
    harness.push_until_accepted(1, 1);
    run(&mut harness, Duration::from_secs(1));
    harness.isolated.insert(0);
    for at in [1, 2] {
        empty_disk(&mut harness, at);
    }
    run(&mut harness, Duration::from_secs(10));
    assert!((1..5).all(|at| harness.core(at).role() != Role::Leader));
    harness.isolated.clear();
    run(&mut harness, Duration::from_secs(8));
    harness.push_until_accepted(2, 2);
}

/// Guards against the loss of what three of five voters accepted: the other two and a VM whose
/// promotion to the sixth voter is not committed must not go on without them.
#[test]
fn pending_sixth_voter_makes_no_quorum_smaller() {
    let mut harness = Harness::founded(5);
    harness.push_until_accepted(1, 1);
    let leader = harness.wait_for_leader();
    let sixth = harness.add_vm();
    harness.join(sixth, leader);
    harness.run(Duration::from_secs(1));
    let others: Vec<usize> = (0..5).filter(|at| *at != leader).collect();
    let (first_half, second_half) = ([leader, others[0], sixth], &others[1..]);
    let cut = first_half
        .iter()
        .flat_map(|a| second_half.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
    harness.blocked_links = cut.collect();
    let id = harness.vms[sixth].id;
    harness.act(leader, |core, now| {
        core.change_members(now, 1, MemberChange::Promote { id })
    });
    harness.deliver();
    assert!(harness.core(leader).has_pending_change());
    harness.run(Duration::from_secs(6));
    let leads = |at: &&usize| harness.core(**at).role() == Role::Leader;
    let other_leader = *second_half.iter().find(leads).expect("leader of three");
    let answers = harness.push_at(other_leader, 2, push(2, 2));
    assert!(matches!(&answers[..], [Answer::Push(r)] if r.is_accepted()));

    harness.blocked_links.clear();
    harness.isolated.extend(&second_half[1..]);
    empty_disk(&mut harness, second_half[0]);
    run(&mut harness, Duration::from_secs(10));
    assert!(
        first_half
            .iter()
            .all(|at| harness.core(*at).role() != Role::Leader)
    );
    harness.isolated.clear();
    run(&mut harness, Duration::from_secs(10));
    harness.push_until_accepted(3, 3);
    let leader = harness.wait_for_leader();
    assert_eq!(harness.core(leader).bundles().digest_of(2), Some([2; 32]));
}

/// Number of seeds of the random test, and of its steps in each.
const SEEDS: u64 = 200;
const STEPS: usize = 250;

/// Picks a random VM that runs, or any if none does.
fn pick(harness: &Harness, rng: &mut impl Rng) -> usize {
    let runs = |at: &usize| harness.vms[*at].core.is_some();
    let running = (0..harness.vms.len()).filter(runs).choose(rng);
    running.unwrap_or_else(|| rng.random_range(0..harness.vms.len()))
}

/// Performs one random step; `wipes` is the number of disks that may still be lost.
fn random_step(harness: &mut Harness, rng: &mut ChaCha8Rng, step: usize, wipes: &mut usize) {
    let at = pick(harness, rng);
    let leader = harness.leader().unwrap_or(at);
    match rng.random_range(0..100) {
        0..25 => run(harness, STEP),
        25..30 => run(harness, rng.random_range(1..30) * STEP),
        30..45 => {
            harness.now += STEP;
            harness.act(at, Core::tick);
        }
        45..65 => {
            let (token, version) = (step as u64, step as u64);
            let variant = rng.random_range(1..4);
            harness.act(leader, |core, now| {
                core.propose(now, token, push(version, variant))
            });
        }
        65..70 => harness.deliver(),
        70..75 => {
            let by = rng.random_range(0..harness.queue.len().max(1));
            harness.queue.rotate_left(by);
        }
        75..80 => harness.queue.truncate(rng.random_range(0..8)),
        80..84 => {
            let count = rng.random_range(1..4);
            let half = (0..harness.vms.len()).sample(rng, count);
            let sides = (0..harness.vms.len()).flat_map(|a| (0..6).map(move |b| (a, b)));
            let is_cut = |(a, b): &(usize, usize)| half.contains(a) != half.contains(b);
            harness.blocked_links = sides.filter(is_cut).collect();
        }
        84..88 => harness.blocked_links.clear(),
        88..92 => harness.kill(at),
        92..96 => {
            let stopped = (0..6).filter(|at| harness.vms[*at].core.is_none());
            if let Some(at) = stopped.choose(rng) {
                assert!(harness.start(at));
            }
        }
        96..98 => harness.act(leader, Core::leave),
        _ if *wipes > 0 => {
            *wipes -= 1;
            empty_disk(harness, at);
        }
        _ => {}
    }
}

/// Random faults of six voters, two of which lose their disks at any moment. The harness fails if two
/// members lead in one term or hold different content of a version; what was accepted must be kept.
#[test]
fn two_lost_disks_of_six_voters_keep_the_invariants_under_random_faults() {
    let mut accepted = 0;
    for seed in 0..SEEDS {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut harness = Harness::founded(6);
        harness.push_until_accepted(1_000_000, 1);
        let mut wipes = 2;
        for step in 0..STEPS {
            random_step(&mut harness, &mut rng, 1_000_001 + step, &mut wipes);
        }
        for at in 0..6 {
            if harness.vms[at].core.is_none() {
                assert!(harness.start(at));
            }
        }
        harness.blocked_links.clear();
        run(&mut harness, Duration::from_secs(30));
        harness.push_until_accepted(2_000_000, 1);
        let leader = harness.wait_for_leader();
        for (token, answers) in &harness.answers {
            let is_accepted = |a: &Answer| matches!(a, Answer::Push(r) if r.is_accepted());
            if answers.iter().any(is_accepted) {
                accepted += 1;
                let held = harness.core(leader).bundles().digest_of(*token);
                assert!(
                    held.is_some() || *token >= 2_000_000,
                    "seed {seed}: {token} was lost"
                );
            }
        }
    }
    assert!(accepted > 3 * SEEDS, "{accepted} pushes were accepted");
}
