//! Crash points, failing disks and damaged folders.

use std::time::Duration;

use buckthornweir_quorum::prelude::*;
use buckthornweir_quorum::storage::{Damage, Error, Origin, Reset};
use buckthornweir_quorum::{Entry, Payload, Snapshot};

use crate::disk::{FakeDisk, Fault};
use crate::harness::{Harness, bundle};

/// Returns batches that contain every kind of record.
fn batches() -> Vec<Vec<Record>> {
    vec![
        vec![Record::Vote {
            term: 1,
            vote: Some(1),
        }],
        vec![Record::Reset(Box::new(reset(1, vec![])))],
        vec![entry(2, 1), entry(3, 1), Record::Commit { index: 2 }],
        vec![
            Record::Vote {
                term: 2,
                vote: None,
            },
            Record::Truncate { from: 3 },
            entry(3, 2),
        ],
        vec![Record::Reset(Box::new(reset(3, vec![push_entry(4, 2)])))],
        vec![entry(5, 2)],
        vec![Record::Commit { index: 5 }],
    ]
}

fn push_entry(index: u64, term: u64) -> Entry {
    let payload = Payload::Command(Command::Push(bundle(index, 1)));
    Entry {
        index,
        term,
        data: payload.encode(),
    }
}

fn entry(index: u64, term: u64) -> Record {
    Record::Entry(push_entry(index, term))
}

fn reset(index: u64, entries: Vec<Entry>) -> Reset {
    let members = Members::new([Member::voter(1, "192.0.2.1:7000")]);
    let state = Bundles::default().encode();
    let snapshot = Snapshot {
        cluster: 7,
        index,
        term: 1,
        members,
        state,
    };
    Reset {
        term: 2,
        vote: None,
        snapshot,
        entries,
    }
}

fn open(disk: &FakeDisk, new_id: u64) -> Result<(Storage, Restored), Error> {
    Storage::open_on(Box::new(disk.clone()), new_id)
}

fn undamaged(restored: Restored) -> Restored {
    Restored {
        origin: Origin::Whole { torn: 0 },
        ..restored
    }
}

/// Returns the recovered state after each number of records.
fn expected_states() -> Vec<Restored> {
    let records = batches().concat();
    let state_after = |done: usize| {
        let disk = FakeDisk::default();
        let (mut storage, _) = open(&disk, 1).expect("empty folder");
        for record in &records[..done] {
            storage
                .persist(std::slice::from_ref(record))
                .expect("working disk");
        }
        let (_, restored) = open(&disk, 9).expect("intact folder");
        undamaged(restored)
    };
    (0..=records.len()).map(state_after).collect()
}

/// Returns the number of records in the first `done` batches.
fn records_in(done: usize) -> usize {
    batches().iter().take(done).map(Vec::len).sum()
}

/// Persists all batches with a fault at `step`; returns the disk, the number of acknowledged
/// batches (`None` if the storage did not open) and the number of disk steps.
fn run_with_fault(step: usize, fault: Fault) -> (FakeDisk, Option<usize>, usize) {
    let disk = FakeDisk::default();
    disk.fail_at(step, fault);
    let Ok((mut storage, _)) = open(&disk, 1) else {
        return (disk, None, step);
    };
    let mut done = 0;
    for batch in batches() {
        if storage.persist(&batch).is_err() {
            assert!(matches!(storage.persist(&batch), Err(Error::Stopped)));
            break;
        }
        done += 1;
    }
    let steps = disk.steps();
    (disk, Some(done), steps)
}

#[test]
fn acknowledged_records_survive_a_crash_at_every_write_and_sync() {
    let states = expected_states();
    let (_, _, steps) = run_with_fault(usize::MAX, Fault::Kill);
    for fault in [Fault::Kill, Fault::Tear, Fault::Fail] {
        for keep in [0, 1, 37, usize::MAX] {
            for step in 0..steps {
                let (disk, done, _) = run_with_fault(step, fault);
                disk.crash(|unsynced| unsynced.min(keep));
                let (_, restored) = open(&disk, 9).expect("working disk");
                let Some(done) = done else {
                    assert!(restored.entries.is_empty());
                    continue;
                };
                let restored = undamaged(restored);
                // All acknowledged batches must be recovered, with any prefix of the next one.
                let allowed = &states[records_in(done)..=records_in(done + 1)];
                let is_allowed = allowed.contains(&restored);
                assert!(
                    is_allowed,
                    "{fault:?} at step {step}, {keep} bytes kept, {done} batches done: {restored:?}"
                );
            }
        }
    }
}

/// The operating system may write the later part of an unsynced batch before the earlier one. The
/// batch was not acknowledged, so it must be truncated and not reported as damage.
#[test]
fn hole_in_an_unsynced_write_is_not_damage() {
    let states = expected_states();
    let (_, _, steps) = run_with_fault(usize::MAX, Fault::Kill);
    for hole in [1, 10, 22, 30, 60, 200] {
        for step in 0..steps {
            let (disk, done, _) = run_with_fault(step, Fault::Kill);
            disk.crash_with_hole(|_| usize::MAX, hole);
            let (_, restored) = open(&disk, 9).expect("working disk");
            let Some(done) = done else { continue };
            let allowed = &states[records_in(done)..=records_in(done + 1)];
            let restored = undamaged(restored);
            assert!(
                allowed.contains(&restored),
                "hole of {hole} bytes at step {step}: {restored:?}"
            );
        }
    }
}

#[test]
fn crash_during_the_first_start_is_not_damage() {
    for step in 0..12 {
        let disk = FakeDisk::default();
        disk.fail_at(step, Fault::Kill);
        let first = open(&disk, 8).is_ok();
        disk.crash(|_| usize::MAX);
        let (_, restored) = open(&disk, 9).expect("working disk");
        let damaged = matches!(restored.origin, Origin::Damaged(_));
        assert!(
            !damaged && (!first || restored.id == 8),
            "step {step}: {restored:?}"
        );
    }
}

#[test]
fn only_the_last_quarantined_files_are_kept() {
    let disk = FakeDisk::default();
    for new_id in 1..=5 {
        let (mut storage, _) = open(&disk, new_id).expect("working disk");
        let large = Record::Reset(Box::new(reset(new_id * 10, vec![])));
        storage.persist(&[large]).expect("working disk");
        disk.edit("identity", |data| data[25] ^= 1);
    }
    open(&disk, 6).expect("working disk");
    let quarantined = disk
        .names()
        .iter()
        .filter(|name| name.starts_with("damaged-"))
        .count();
    assert_eq!(quarantined, 3, "{:?}", disk.names());
}

#[test]
fn crash_during_recovery_loses_nothing() {
    let states = expected_states();
    let all = states.last().expect("at least one state");
    for fault in [Fault::Kill, Fault::Tear, Fault::Fail, Fault::Full] {
        for step in 0..12 {
            let (disk, _, _) = run_with_fault(usize::MAX, Fault::Kill);
            disk.fail_at(step, fault);
            let _ = open(&disk, 8);
            disk.crash(|_| 0);
            let (_, restored) = open(&disk, 9).expect("working disk");
            assert_eq!(&undamaged(restored), all, "{fault:?} at step {step}");
        }
    }
}

#[test]
fn recovery_rewrites_bytes_held_only_in_the_page_cache() {
    let disk = FakeDisk::default();
    let (mut storage, _) = open(&disk, 1).expect("empty folder");
    disk.ignore_syncs();
    storage
        .persist(&[Record::Vote {
            term: 4,
            vote: Some(2),
        }])
        .expect("reported as synced");
    disk.restart_process();
    let (_, first) = open(&disk, 9).expect("intact folder");
    disk.crash(|_| 0);
    let (_, second) = open(&disk, 9).expect("intact folder");
    assert_eq!((first.term, second.term), (4, 4));
}

#[test]
fn full_disk_is_reported_and_stops_the_storage() {
    let disk = FakeDisk::default();
    let (mut storage, _) = open(&disk, 1).expect("empty folder");
    disk.fail_at(0, Fault::Full);
    let record = [Record::Vote {
        term: 1,
        vote: None,
    }];
    assert!(matches!(
        storage.persist(&record),
        Err(Error::Full("append"))
    ));
    assert!(matches!(storage.persist(&record), Err(Error::Stopped)));
}

#[test]
fn failed_sync_is_never_retried() {
    let disk = FakeDisk::default();
    let (mut storage, _) = open(&disk, 1).expect("empty folder");
    disk.fail_at(1, Fault::Fail);
    let record = [Record::Vote {
        term: 1,
        vote: None,
    }];
    assert!(matches!(
        storage.persist(&record),
        Err(Error::Disk("sync", _))
    ));
    assert!(matches!(storage.persist(&record), Err(Error::Stopped)));
}

#[test]
fn damage_before_the_last_synced_record_gives_a_new_identity() {
    let (whole_disk, _, _) = run_with_fault(usize::MAX, Fault::Kill);
    let length = whole_disk.read_prefix("log-").len();
    // The last frame only records that everything before it was synced.
    let synced_bytes = length - buckthornweir_quorum::storage::FRAME_HEADER_BYTES - 2;
    for at in 0..synced_bytes {
        let (disk, _, _) = run_with_fault(usize::MAX, Fault::Kill);
        disk.edit("log-", |data| data[at] ^= 0x40);
        let (_, restored) = open(&disk, 9).expect("working disk");
        assert!(
            matches!(restored.origin, Origin::Damaged(Damage::Record(_))),
            "byte {at}"
        );
        assert_eq!(
            (restored.id, restored.term, restored.entries.len()),
            (9, 0, 0)
        );
    }
}

#[test]
fn damage_to_identity_snapshot_or_segment_gives_a_new_identity() {
    type Case = (&'static str, fn(&mut Vec<u8>), Damage);
    let table: [Case; 4] = [
        ("identity", |data| data[25] ^= 1, Damage::Identity),
        ("identity", Vec::clear, Damage::Identity),
        ("snapshot-", |data| data[30] ^= 1, Damage::Snapshot(3)),
        ("log-", Vec::clear, Damage::Record(0)),
    ];
    for (file, change, expected) in table {
        let (disk, _, _) = run_with_fault(usize::MAX, Fault::Kill);
        disk.edit(file, change);
        let (_, restored) = open(&disk, 9).expect("working disk");
        assert_eq!(
            (restored.id, restored.origin),
            (9, Origin::Damaged(expected)),
            "{file}"
        );
        let (_, again) = open(&disk, 10).expect("working disk");
        assert_eq!(again.id, 9);
    }
}

#[test]
fn snapshot_with_undecodable_state_is_damage() {
    let disk = FakeDisk::default();
    let (mut storage, _) = open(&disk, 1).expect("empty folder");
    let mut unreadable = reset(3, vec![]);
    unreadable.snapshot.state = vec![0xff; 8].into();
    let record = Record::Reset(Box::new(unreadable));
    storage.persist(&[record]).expect("working disk");
    let (_, restored) = open(&disk, 9).expect("working disk");
    assert_eq!(restored.origin, Origin::Damaged(Damage::Snapshot(3)));
}

#[test]
fn crash_during_quarantine_never_restores_the_old_identity() {
    for fault in [Fault::Kill, Fault::Tear, Fault::Fail] {
        for step in 0..20 {
            let (disk, _, _) = run_with_fault(usize::MAX, Fault::Kill);
            disk.edit("snapshot-", |data| data[30] ^= 1);
            disk.fail_at(step, fault);
            let first = open(&disk, 8).map(|(_, r)| r.id);
            disk.crash(|_| 0);
            let (_, restored) = open(&disk, 9).expect("working disk");
            let expected = first.unwrap_or(9);
            assert!(restored.id != 1, "{fault:?} at step {step}");
            assert!(
                restored.id == expected || restored.id == 8,
                "{fault:?} at step {step}"
            );
            assert_eq!((restored.term, restored.snapshot), (0, None));
        }
    }
}

/// A member whose disk fails at any step stops; after its restart, no accepted push may be lost.
#[test]
fn cluster_survives_a_crash_of_one_member_at_every_step() {
    for (victim, fault) in [
        (0, Fault::Kill),
        (1, Fault::Tear),
        (2, Fault::Fail),
        (0, Fault::Full),
    ] {
        for step in 0..40 {
            let config = Config::default().with_compaction(4, usize::MAX);
            let mut harness = Harness::with_config(3, config);
            harness.vms[victim].disk.fail_at(step, fault);
            harness.deliver();
            for version in 1..=6 {
                harness.push_until_accepted(version, 1);
            }
            harness.kill(victim);
            assert!(harness.start(victim));
            harness.push_until_accepted(7, 1);
            harness.run(Duration::from_secs(3));
            harness.assert_newest_version(7);
            let accepted: Vec<_> = harness
                .core(victim)
                .bundles()
                .history()
                .map(|h| h.0)
                .collect();
            assert_eq!(accepted, [1, 2, 3, 4, 5, 6, 7], "{fault:?} at step {step}");
        }
    }
}

#[test]
fn real_folder_is_locked_and_persists_records() {
    let dir = tempfile::tempdir().expect("temporary folder");
    let path = dir.path().join("data");
    let (mut storage, first) = Storage::open(&path).expect("new folder");
    assert!(matches!(Storage::open(&path), Err(Error::Locked)));
    for batch in batches() {
        storage.persist(&batch).expect("working disk");
    }
    drop(storage);
    let (_, again) = Storage::open(&path).expect("intact folder");
    let expected = expected_states().pop().expect("at least one state");
    assert_eq!(
        undamaged(again),
        Restored {
            id: first.id,
            ..expected
        }
    );
}
