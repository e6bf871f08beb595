//! Benchmarks of commit time, log and snapshot size, catch-up time and idle cost.
//!
//! `cargo bench -p buckthornweir_quorum` prints a table of sizes and counts, then runs the timed
//! benchmarks. Members run in one process and messages take no time, so commit times are the total
//! processor time of all members; syncs of a real folder are measured separately.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::{Duration, Instant};

use buckthornweir_quorum::NodeId;
use buckthornweir_quorum::messages::Message;
use buckthornweir_quorum::prelude::*;
use criterion::{BatchSize, BenchmarkId, Criterion, criterion_group, criterion_main};

const SECOND: Duration = Duration::from_secs(1);
const BUNDLE_SIZES: [usize; 3] = [1_000, 10_000, 100_000];
const MEMBER_COUNTS: [u64; 4] = [1, 3, 5, 7];

/// Members in one process, without disks.
#[derive(Clone)]
struct Group {
    now: Duration,
    cores: Vec<Core>,
    queue: VecDeque<(NodeId, Message)>,
    messages: u64,
    bytes: u64,
    persisted: u64,
    leader_bytes: u64,
}

impl Group {
    fn with_leader(count: u64) -> Self {
        let members = Members::new((1..=count).map(|id| Member::voter(id, address(id))));
        let founding = Founding {
            cluster: 7,
            members,
            floor: 0,
        };
        let cores = (1..=count).map(blank).collect();
        let (now, queue) = (Duration::ZERO, VecDeque::new());
        let mut group = Self {
            now,
            cores,
            queue,
            messages: 0,
            bytes: 0,
            persisted: 0,
            leader_bytes: 0,
        };
        group.act(0, |core, now| core.found(now, founding));
        group.now = 10 * SECOND;
        group.act(0, Core::tick);
        group.deliver();
        assert_eq!(group.cores[0].role(), Role::Leader);
        group
    }

    fn act(&mut self, at: usize, call: impl FnOnce(&mut Core, Duration) -> Vec<Action>) {
        let from = self.cores[at].id();
        for action in call(&mut self.cores[at], self.now) {
            match action {
                Action::Send { message, .. } => {
                    let data = message.to_bytes();
                    self.messages += 1;
                    self.bytes += data.len() as u64;
                    if at == 0 {
                        self.leader_bytes += data.len() as u64;
                    }
                    let message = Message::from_bytes(data).expect("well-formed message");
                    self.queue.push_back((from, message));
                }
                Action::Persist(records) => self.persisted += records.len() as u64,
                _ => {}
            }
        }
    }

    fn deliver(&mut self) {
        while let Some((from, message)) = self.queue.pop_front() {
            let at = self.cores.iter().position(|c| c.id() == message.to);
            if let Some(at) = at {
                self.act(at, |core, now| core.handle(now, from, message));
            }
        }
    }

    fn push(&mut self, version: u64, size: usize) {
        self.propose(version, push(version, size));
    }

    fn propose(&mut self, version: u64, command: Command) {
        self.act(0, |core, now| core.propose(now, version, command));
        self.deliver();
        assert_eq!(self.cores[0].bundles().newest_version(), version);
    }

    /// Advances the time in steps of 100 ms.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += SECOND / 10;
            for at in 0..self.cores.len() {
                self.act(at, Core::tick);
                self.deliver();
            }
        }
    }
}

fn address(id: u64) -> String {
    format!("192.0.2.{id}:7000")
}

fn blank(id: u64) -> Core {
    let config = Config::default().with_address(address(id));
    Core::new(config, Restored::blank(id), id, Duration::ZERO)
}

fn push(version: u64, size: usize) -> Command {
    Command::Push(Bundle {
        version,
        digest: [1; 32],
        bytes: lines(size),
    })
}

/// Returns a text of identical lines, `size` bytes long.
fn lines(size: usize) -> Vec<u8> {
    b"key = value\n"
        .iter()
        .copied()
        .cycle()
        .take(size)
        .collect()
}

/// Writes and syncs one push.
fn sync_push(storage: &mut Storage, index: u64, size: usize) {
    let data = buckthornweir_quorum::Payload::Command(push(index, size)).encode();
    let entry = buckthornweir_quorum::Entry {
        index,
        term: 1,
        data,
    };
    storage
        .persist(&[Record::Entry(entry)])
        .expect("working disk");
}

fn print_sizes() {
    println!("bundle_bytes log_bytes_per_push");
    for size in BUNDLE_SIZES {
        let dir = tempfile::tempdir().expect("temporary folder");
        let (mut storage, _) = Storage::open(dir.path()).expect("new folder");
        let before = storage.segment_bytes();
        for index in 1..=10 {
            sync_push(&mut storage, index, size);
        }
        println!("{size} {}", (storage.segment_bytes() - before) / 10);
    }
    println!("bundles bundle_bytes snapshot_bytes catch_up_bytes catch_up_microseconds");
    for size in BUNDLE_SIZES {
        for bundles in [10, 100, 500] {
            print_catch_up(bundles, size);
        }
    }
    println!("members services leader_bytes_first_push leader_bytes_one_key");
    for count in &MEMBER_COUNTS[1..] {
        for services in [10, 100, 1_100] {
            print_pushes(*count, services);
        }
    }
    println!("members idle_bytes_per_second idle_messages_per_second idle_microseconds_per_second");
    for count in MEMBER_COUNTS {
        print_idle(count);
    }
}

/// Returns a push of a signed bundle with the given number of services, in which one key depends on
/// the version.
fn signed_push(version: u64, services: usize) -> Command {
    let mut text = format!("[bundle]\nversion = {version}\n");
    for domain in 0..7 {
        text += &format!("[domain fj-west-{domain}]\nregion = fj-west\n");
    }
    for n in 0..services {
        let address = format!("10.0.{}.{}:80", n / 256, n % 256);
        text += &format!("[service orders-{n}]\naddresses = {address}\n");
        text += "domains = fj-west-0, fj-west-1, fj-west-2\n";
        if n == services / 2 {
            text += &format!("queue = {}\n", 100 + version);
        }
    }
    let bundle = buckthornweir_bundle::Bundle::parse("bench.ini", &text).expect("well-formed");
    let key = buckthornweir_bundle::SigningKey::from_secret(&[1; 32]);
    let signed = buckthornweir_bundle::SignedBundle::sign(bundle, &key);
    Command::Push(Bundle {
        version,
        digest: signed.digest(),
        bytes: signed.to_text().into_bytes(),
    })
}

/// Prints the bytes that the leader sends for the first push and for a push that changes one key.
fn print_pushes(count: u64, services: usize) {
    let mut group = Group::with_leader(count);
    group.run(SECOND);
    let mut sent = Vec::new();
    for version in 1..=2 {
        let before = group.leader_bytes;
        group.propose(version, signed_push(version, services));
        sent.push(group.leader_bytes - before);
    }
    println!("{count} {services} {} {}", sent[0], sent[1]);
}

fn print_catch_up(bundles: u64, size: usize) {
    let mut group = Group::with_leader(1);
    for version in 1..=bundles {
        group.push(version, size);
    }
    let state = group.cores[0].bundles().encode().len();
    group.cores.push(blank(2));
    let bytes = group.bytes;
    let start = Instant::now();
    group.act(1, |core, now| core.join(now, 1));
    group.deliver();
    let elapsed = start.elapsed();
    assert_eq!(group.cores[1].bundles().newest_version(), bundles);
    println!(
        "{bundles} {size} {state} {} {}",
        group.bytes - bytes,
        elapsed.as_micros()
    );
}

fn print_idle(count: u64) {
    const SECONDS: u64 = 600;
    let mut group = Group::with_leader(count);
    group.run(5 * SECOND);
    (group.bytes, group.messages) = (0, 0);
    let start = Instant::now();
    group.run(SECONDS as u32 * SECOND);
    let elapsed = start.elapsed().as_micros() / u128::from(SECONDS);
    println!(
        "{count} {} {} {elapsed}",
        group.bytes / SECONDS,
        group.messages / SECONDS
    );
}

fn commit(criterion: &mut Criterion) {
    print_sizes();
    let mut bench = criterion.benchmark_group("commit");
    for count in MEMBER_COUNTS {
        for size in BUNDLE_SIZES {
            let id = BenchmarkId::new(format!("{count}_members"), size);
            let group = Group::with_leader(count);
            bench.bench_function(id, |b| {
                b.iter_batched(
                    || group.clone(),
                    |mut group| {
                        group.push(1, size);
                        black_box(group)
                    },
                    BatchSize::SmallInput,
                );
            });
        }
    }
    bench.finish();
}

fn sync(criterion: &mut Criterion) {
    let mut bench = criterion.benchmark_group("sync");
    for size in BUNDLE_SIZES {
        let dir = tempfile::tempdir().expect("temporary folder");
        let (mut storage, _) = Storage::open(dir.path()).expect("new folder");
        let mut index = 0;
        bench.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                index += 1;
                sync_push(&mut storage, index, size);
            });
        });
    }
    bench.finish();
}

/// Measures a push at a single member with a real folder: entry, commit and compaction, all synced.
fn stored_push(criterion: &mut Criterion) {
    let mut bench = criterion.benchmark_group("stored_push");
    for size in BUNDLE_SIZES {
        let dir = tempfile::tempdir().expect("temporary folder");
        let (mut storage, restored) = Storage::open(dir.path()).expect("new folder");
        let id = restored.id;
        let mut core = Core::new(Config::default(), restored, 1, Duration::ZERO);
        let members = Members::new([Member::voter(id, address(1))]);
        let now = 10 * SECOND;
        let mut store = |actions: Vec<Action>| {
            for action in actions {
                if let Action::Persist(records) = action {
                    storage.persist(&records).expect("working disk");
                }
            }
        };
        store(core.found(
            Duration::ZERO,
            Founding {
                cluster: 7,
                members,
                floor: 0,
            },
        ));
        store(core.tick(now));
        let mut version = 0;
        bench.bench_function(BenchmarkId::from_parameter(size), |b| {
            b.iter(|| {
                version += 1;
                store(core.propose(now, version, push(version, size)));
                assert_eq!(core.bundles().newest_version(), version);
            });
        });
    }
    bench.finish();
}

fn settings() -> Criterion {
    let times = Criterion::default()
        .warm_up_time(SECOND / 5)
        .measurement_time(SECOND);
    times.sample_size(20)
}

criterion_group! {
    name = log;
    config = settings();
    targets = commit, sync, stored_push
}
criterion_main!(log);
