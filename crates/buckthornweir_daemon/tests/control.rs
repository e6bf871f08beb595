//! Control processes under failures (crashes, a lost disk, concurrent pushes, a paused leader), and
//! pulls of bundles as differences.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use buckthornweir_bundle::prelude::*;
use buckthornweir_bundle::{TextDifference, rebuild, text_digest};
use buckthornweir_settings::value;
use buckthornweir_standins::Plan;
use buckthornweir_wire::{
    Body, BundleReply, BundleRequest, ClusterKey, ControlChange, ControlReply, Envelope, Link,
    MetricsRequest, OperatorMessage, PushOutcome, Reply, Request, StatusRequest,
};
use support::deployment::bundle;
use support::{Process, WAIT_TIMEOUT, ask, plan, push, signed, status, wait_for};
use tempfile::TempDir;
use tokio::net::TcpListener;

struct Cluster {
    plan: Plan,
    folder: TempDir,
    nodes: Vec<Process>,
}

impl Cluster {
    async fn start(count: usize) -> Self {
        let mut plan = plan().with_control(count);
        let folder = tempfile::tempdir().unwrap();
        let mut nodes = Vec::new();
        for number in 0..count {
            let name = format!("control-{number}");
            let data = folder.path().join(&name);
            let planned = plan.control(&name, "fj-west-a", &data);
            nodes.push(Process::start(planned, &folder));
        }
        let cluster = Self {
            plan,
            folder,
            nodes,
        };
        cluster.leader().await;
        cluster
    }

    fn address(&self, at: usize) -> SocketAddr {
        self.nodes[at].planned.control
    }

    fn log_folder(&self, at: usize) -> PathBuf {
        self.folder.path().join(format!("control-{at}")).join("log")
    }

    async fn role(&self, at: usize) -> String {
        let status = status(self.address(at), self.plan.cluster_key()).await;
        status.map(|s| s.quorum).unwrap_or_default()
    }

    async fn version(&self, at: usize) -> u64 {
        let status = status(self.address(at), self.plan.cluster_key()).await;
        status.map_or(0, |s| s.version)
    }

    /// Waits for a leader and returns its index.
    async fn leader(&self) -> usize {
        let mut leader = None;
        wait_for("an election", async || {
            for at in 0..self.nodes.len() {
                if self.role(at).await == "leader" {
                    leader = Some(at);
                }
            }
            leader.is_some()
        })
        .await;
        leader.unwrap()
    }

    /// Pushes a bundle to the leader and returns the outcome. As the client does, it pushes the bundle
    /// again if a change of the leader leaves the outcome unknown.
    async fn push(&self, version: u64, out: &str) -> PushOutcome {
        let deadline = std::time::Instant::now() + WAIT_TIMEOUT;
        let mut stored_by_earlier_try = false;
        loop {
            let leader = self.leader().await;
            let is_new = self.version(leader).await < version;
            let text = signed(&bundle(version, out));
            let reply = push(self.address(leader), self.plan.cluster_key(), text).await;
            match reply.outcome() {
                PushOutcome::NotLeader if std::time::Instant::now() < deadline => {}
                PushOutcome::Unknown if std::time::Instant::now() < deadline => {
                    stored_by_earlier_try |= is_new;
                }
                PushOutcome::Same if stored_by_earlier_try => return PushOutcome::Accepted,
                outcome => return outcome,
            }
        }
    }

    async fn members(&self, at: usize) -> ControlReply {
        let request = Request::Control(ControlChange::default());
        match ask(self.address(at), self.plan.cluster_key(), request).await {
            Some(Reply::Control(reply)) => reply,
            other => panic!("{other:?}"),
        }
    }

    async fn wait_for_all(&self, version: u64) {
        for at in 0..self.nodes.len() {
            wait_for("the bundle", async || self.version(at).await >= version).await;
        }
    }
}

/// The leader crashes between pushes. Accepted bundles must not be lost, and must be in force at every
/// process afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn accepted_bundle_survives_leader_crash() {
    let mut cluster = Cluster::start(3).await;
    assert_eq!(cluster.push(1, "").await, PushOutcome::Accepted);
    let leader = cluster.leader().await;
    cluster.nodes[leader].kill();
    assert_eq!(cluster.push(1, "").await, PushOutcome::Same);
    assert_eq!(cluster.push(2, "").await, PushOutcome::Accepted);
    cluster.nodes[leader].restart();
    cluster.wait_for_all(2).await;
    assert_eq!(cluster.push(1, "fj-west-a").await, PushOutcome::Conflict);
    assert_eq!(cluster.push(2, "fj-west-a").await, PushOutcome::Conflict);
    assert_eq!(cluster.push(2, "").await, PushOutcome::Same);
}

/// Returns the names of the snapshots in the folder of a log.
fn snapshots(folder: &Path) -> Vec<OsString> {
    let names = std::fs::read_dir(folder)
        .unwrap()
        .map(|entry| entry.unwrap().file_name());
    let is_snapshot = |name: &OsString| name.to_string_lossy().starts_with("snapshot-");
    let mut names: Vec<_> = names.filter(is_snapshot).collect();
    names.sort();
    names
}

/// Guards against a control role that ends for good when its disk fails, while its process runs on: the
/// folders of all control processes fail, one after another and never two at once, and recover.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn control_roles_resume_after_their_disks_failed_one_after_another() {
    let cluster = Cluster::start(3).await;
    let mut version = 0;
    for at in 0..3 {
        // The folder of the log is moved away and a file is in its place, so that no file can be
        // created there.
        let folder = cluster.log_folder(at);
        let away = folder.with_extension("away");
        std::fs::rename(&folder, &away).unwrap();
        std::fs::write(&folder, "").unwrap();
        // The members compact their logs at the same entry, so this one has failed once another one
        // has a new snapshot.
        let other = cluster.log_folder((at + 1) % 3);
        let before = snapshots(&other);
        wait_for("a compaction", async || {
            version += 1;
            cluster.push(version, "").await;
            snapshots(&other) != before
        })
        .await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        std::fs::remove_file(&folder).unwrap();
        std::fs::rename(&away, &folder).unwrap();
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    version += 1;
    wait_for("an accepted push", async || {
        let outcome = cluster.push(version, "").await;
        matches!(outcome, PushOutcome::Accepted | PushOutcome::Same)
    })
    .await;
    cluster.wait_for_all(version).await;
}

/// Guards against replies that are lost because their request takes 3 s: the process took the client, which
/// sends nothing meanwhile, for gone and closed the link.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn link_of_a_waiting_client_stays_open() {
    let cluster = Cluster::start(1).await;
    cluster.leader().await;
    let key = ClusterKey::new(value::hex(cluster.plan.cluster_key()).unwrap());
    let mut link = Link::dial(cluster.address(0), &key, WAIT_TIMEOUT)
        .await
        .unwrap();
    // The second wait is longer than a process may be silent.
    for (id, wait) in [(1, Duration::ZERO), (2, Duration::from_millis(3_500))] {
        tokio::time::sleep(wait).await;
        let message = OperatorMessage::ask(id, Request::Status(StatusRequest {}));
        let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
        link.send(&envelope).await.unwrap();
        let reply = loop {
            let received = link.receive(WAIT_TIMEOUT).await.unwrap();
            if let Some(Body::Operator(message)) = received.body {
                break message;
            }
        };
        assert_eq!(reply.id, id);
    }
}

/// Two of three control processes crash. The remaining one must step down, reject a push and keep the
/// old bundle in force.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn push_without_quorum_is_rejected() {
    let mut cluster = Cluster::start(3).await;
    assert_eq!(cluster.push(1, "").await, PushOutcome::Accepted);
    cluster.wait_for_all(1).await;
    let leader = cluster.leader().await;
    let others: Vec<usize> = (0..3).filter(|at| *at != leader).collect();
    for at in &others {
        cluster.nodes[*at].kill();
    }
    wait_for("the step down", async || {
        cluster.role(leader).await != "leader"
    })
    .await;
    let text = signed(&bundle(2, ""));
    let request = Request::Push(buckthornweir_wire::PushRequest { text });
    let reply = ask(cluster.address(leader), cluster.plan.cluster_key(), request).await;
    let Some(Reply::Push(reply)) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(reply.outcome(), PushOutcome::NoQuorum);
    assert_eq!(cluster.version(leader).await, 1);
    for at in others {
        cluster.nodes[at].restart();
    }
    assert_eq!(cluster.push(2, "").await, PushOutcome::Accepted);
    cluster.wait_for_all(2).await;
}

/// A voter loses its disk and restarts with a new identity. It must replace the old voter by itself, so
/// that a quorum remains when a second VM crashes right afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn voter_with_lost_disk_is_replaced_before_next_crash() {
    let mut cluster = Cluster::start(3).await;
    assert_eq!(cluster.push(1, "").await, PushOutcome::Accepted);
    let leader = cluster.leader().await;
    let lost = (leader + 1) % 3;
    let before = cluster.members(leader).await;
    cluster.nodes[lost].kill();
    let data = cluster.folder.path().join(format!("control-{lost}"));
    std::fs::remove_dir_all(data).unwrap();
    cluster.nodes[lost].restart();
    wait_for("the repair", async || {
        let leader = cluster.leader().await;
        let reply = cluster.members(leader).await;
        let voters = reply.members.iter().filter(|m| m.standing == "voter");
        let is_new = |id: u64| !before.members.iter().any(|m| m.id == id);
        reply.members.len() == 3
            && voters.clone().count() == 3
            && voters.clone().any(|m| is_new(m.id))
    })
    .await;
    let leader = cluster.leader().await;
    let second = (0..3).find(|at| *at != leader && *at != lost).unwrap();
    cluster.nodes[second].kill();
    assert_eq!(cluster.push(2, "").await, PushOutcome::Accepted);
    assert_eq!(cluster.push(1, "").await, PushOutcome::Same);
    cluster.nodes[second].restart();
    cluster.wait_for_all(2).await;
}

/// Two operators push different bundles with the same version concurrently. Exactly one must be
/// accepted, the other one must get a conflict, and every process must reach the version.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_pushes_of_one_version_have_one_winner() {
    let cluster = Cluster::start(3).await;
    for version in 1..=5 {
        let one = cluster.push(version, "fj-west-b");
        let two = cluster.push(version, "fj-west-c");
        let (one, two) = tokio::join!(one, two);
        let mut outcomes = [one, two];
        outcomes.sort();
        assert_eq!(outcomes, [PushOutcome::Accepted, PushOutcome::Conflict]);
    }
    cluster.wait_for_all(5).await;
}

/// A mistyped version far above the newest one must be rejected, so that it does not block all later
/// versions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn version_far_above_newest_is_rejected() {
    let cluster = Cluster::start(1).await;
    assert_eq!(cluster.push(1, "").await, PushOutcome::Accepted);
    for version in [1_000_002, u64::MAX - 1] {
        assert_eq!(cluster.push(version, "").await, PushOutcome::Invalid);
    }
    assert_eq!(cluster.push(1_000_001, "").await, PushOutcome::Accepted);
}

/// The leader is paused until another one is elected and has accepted a bundle. When it resumes, it must
/// not bring the old state back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn paused_leader_resumes_as_follower() {
    let cluster = Cluster::start(3).await;
    assert_eq!(cluster.push(1, "").await, PushOutcome::Accepted);
    let old = cluster.leader().await;
    cluster.nodes[old].signal("STOP");
    let others: Vec<usize> = (0..3).filter(|at| *at != old).collect();
    let mut leader = old;
    wait_for("another leader", async || {
        for at in &others {
            if cluster.role(*at).await == "leader" {
                leader = *at;
            }
        }
        leader != old
    })
    .await;
    let text = signed(&bundle(2, ""));
    let reply = push(cluster.address(leader), cluster.plan.cluster_key(), text).await;
    assert_eq!(reply.outcome(), PushOutcome::Accepted);
    cluster.nodes[old].signal("CONT");
    cluster.wait_for_all(2).await;
    assert_eq!(cluster.push(1, "fj-west-a").await, PushOutcome::Conflict);
}

/// Returns a bundle with 200 more services, of which the first one has `slots` slots.
fn large_bundle(version: u64, slots: u32) -> String {
    let mut text = bundle(version, "");
    for n in 0..200 {
        let slots = if n == 0 { slots } else { 8 };
        text += &format!("[service s{n}]\naddresses = 10.9.0.{n}:80\ndomains = fj-west-a\n");
        text += &format!("slots = {slots}\n");
    }
    text
}

/// One control process and one balancer, which pulls bundles from it.
struct Pair {
    cluster: Cluster,
    balancer: Process,
}

impl Pair {
    async fn start() -> Self {
        let mut cluster = Cluster::start(1).await;
        let planned = cluster.plan.balancer("balancer-0", "fj-west-a");
        let balancer = Process::start(planned, &cluster.folder);
        Self { cluster, balancer }
    }

    fn key(&self) -> &'static str {
        self.cluster.plan.cluster_key()
    }

    /// Pushes a bundle and waits until it is in force at the balancer.
    async fn push(&self, version: u64, slots: u32) {
        let text = signed(&large_bundle(version, slots));
        let reply = push(self.cluster.address(0), self.key(), text).await;
        assert_eq!(reply.outcome(), PushOutcome::Accepted);
        self.wait_for_version(version).await;
    }

    async fn wait_for_version(&self, version: u64) {
        let address = self.balancer.planned.control;
        wait_for("the pull", async || {
            let status = status(address, self.key()).await;
            status.is_some_and(|s| s.version == version)
        })
        .await;
    }

    /// Returns the reply of the control process to a pull by a process with the text `base` and `version`.
    async fn pull(&self, base: &str, version: u64) -> BundleReply {
        let base = text_digest(base.as_bytes()).to_vec();
        let request = Request::Bundle(BundleRequest { base, version });
        match ask(self.cluster.address(0), self.key(), request).await {
            Some(Reply::Bundle(reply)) => reply,
            other => panic!("{other:?}"),
        }
    }

    async fn counter(&self, address: SocketAddr, name: &str) -> u64 {
        let request = Request::Metrics(MetricsRequest {});
        let Some(Reply::Metrics(reply)) = ask(address, self.key(), request).await else {
            panic!("the process returned no metrics");
        };
        let mut lines = reply.text.lines();
        let line = lines.find(|l| l.starts_with(&format!("buckthornweir_{name} ")));
        let value = line.and_then(|l| l.rsplit(' ').next());
        value.unwrap().parse().unwrap()
    }
}

/// The first bundle must be pulled whole and changes of one key as differences, and no bundle may be
/// sent twice.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_change_is_pulled_as_difference() {
    let pair = Pair::start().await;
    for version in 1..=4 {
        pair.push(version, 8 + version as u32).await;
    }
    let balancer = pair.balancer.planned.control;
    let control = pair.cluster.address(0);
    assert_eq!(
        pair.counter(balancer, "bundles_pulled_whole_total").await,
        1
    );
    let pulled = "bundles_pulled_difference_total";
    assert_eq!(pair.counter(balancer, pulled).await, 3);
    let sent = pair.counter(control, "bundle_bytes_out_total").await;
    assert_eq!(pair.counter(balancer, "bundle_bytes_in_total").await, sent);
    let whole = signed(&large_bundle(1, 9)).len() as u64;
    assert!(sent < 2 * whole, "{sent} bytes for a bundle of {whole}");
}

/// A holder must send differences to a process whose text it knows, and else the whole bundle. It knows
/// no earlier texts after a restart. It must send nothing to a process whose version is not lower.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn holder_without_base_sends_whole_bundle() {
    let mut pair = Pair::start().await;
    for version in 1..=3 {
        pair.push(version, 8 + version as u32).await;
    }
    let texts = [1, 2, 3].map(|v| signed(&large_bundle(v, 8 + v as u32)));
    for (version, old) in (1..).zip(&texts[..2]) {
        let reply = pair.pull(old, version).await;
        let rebuilt = rebuild(old.as_bytes(), &reply.differences).unwrap();
        assert_eq!(
            (rebuilt, reply.text.as_str()),
            (texts[2].clone().into_bytes(), "")
        );
    }
    let same_version = signed(&large_bundle(2, 99));
    for (unknown, version) in [(same_version.as_str(), 2), ("", 0)] {
        let reply = pair.pull(unknown, version).await;
        assert_eq!((reply.text, reply.differences), (texts[2].clone(), vec![]));
    }
    for (text, version) in [(&texts[2], 3), (&same_version, 3), (&texts[2], 9)] {
        let reply = pair.pull(text, version).await;
        assert_eq!(
            reply,
            BundleReply::default(),
            "version {version} is not newer"
        );
    }
    pair.cluster.nodes[0].kill();
    pair.cluster.nodes[0].restart();
    pair.cluster.leader().await;
    let reply = pair.pull(&texts[1], 2).await;
    assert_eq!((reply.text, reply.differences), (texts[2].clone(), vec![]));
    pair.push(4, 12).await;
    assert!(!pair.pull(&texts[2], 3).await.differences.is_empty());
}

/// Replies to pulls in place of a holder: to requests with a base with `differences`, to all others with
/// the whole text.
async fn fake_holder(
    listener: TcpListener,
    key: ClusterKey,
    differences: BundleReply,
    text: String,
) {
    while let Ok((stream, _)) = listener.accept().await {
        let Ok(mut link) = Link::accept(stream, &key, WAIT_TIMEOUT).await else {
            continue;
        };
        while let Ok(received) = link.receive(WAIT_TIMEOUT).await {
            let Some(Body::Operator(message)) = received.body else {
                continue;
            };
            let Some(Request::Bundle(request)) = message.request else {
                continue;
            };
            let reply = match request.base.is_empty() {
                false => differences.clone(),
                true => BundleReply {
                    text: text.clone(),
                    ..BundleReply::default()
                },
            };
            let message = OperatorMessage::answer(message.id, Reply::Bundle(reply));
            let envelope = Envelope::new(0, Body::Operator(Box::new(message)));
            if link.send(&envelope).await.is_err() {
                break;
            }
        }
    }
}

/// A holder sends a difference to a bundle with an untrusted signature, or a corrupted difference. The
/// balancer must not apply it, and must pull the whole bundle instead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn difference_to_untrusted_bundle_is_not_applied() {
    let forged = Bundle::parse("forged.ini", &large_bundle(2, 99)).unwrap();
    let forged = SignedBundle::sign(forged, &SigningKey::from_secret(&[9; 32])).to_text();
    let old = signed(&large_bundle(1, 9));
    let to_forged = TextDifference::between(old.as_bytes(), forged.as_bytes()).to_bytes();
    let mut altered = to_forged.clone();
    *altered.last_mut().unwrap() ^= 1;
    for difference in [to_forged, altered] {
        let mut pair = Pair::start().await;
        pair.push(1, 9).await;
        // The announcement of version 2 stays in the balancer's receive buffer until it resumes.
        pair.balancer.signal("STOP");
        let next = signed(&large_bundle(2, 10));
        let reply = push(pair.cluster.address(0), pair.key(), next.clone()).await;
        assert_eq!(reply.outcome(), PushOutcome::Accepted);
        tokio::time::sleep(Duration::from_secs(2)).await;
        pair.cluster.nodes[0].kill();
        let listener = TcpListener::bind(pair.cluster.address(0)).await.unwrap();
        let key = ClusterKey::new(value::hex(pair.key()).unwrap());
        let differences = BundleReply {
            differences: vec![difference],
            ..BundleReply::default()
        };
        let holder = tokio::spawn(fake_holder(listener, key, differences, next));
        pair.balancer.signal("CONT");
        pair.wait_for_version(2).await;
        let balancer = pair.balancer.planned.control;
        assert_eq!(
            pair.counter(balancer, "bundle_differences_unfit_total")
                .await,
            1
        );
        assert_eq!(
            pair.counter(balancer, "bundles_pulled_whole_total").await,
            2
        );
        assert_eq!(
            pair.counter(balancer, "bundles_pulled_difference_total")
                .await,
            0
        );
        holder.abort();
    }
}
