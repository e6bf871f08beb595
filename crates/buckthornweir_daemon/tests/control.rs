//! Three control processes under failure: kills, a lost disk, operators who race, lost answers.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod support;

use std::net::SocketAddr;

use buckthornweir_standins::Plan;
use buckthornweir_wire::{ControlChange, ControlReply, PushOutcome, Reply, Request};
use support::deployment::bundle;
use support::{LIMIT, Process, ask, plan, push, signed, status, wait_for};
use tempfile::TempDir;

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

    async fn role(&self, at: usize) -> String {
        let status = status(self.address(at), self.plan.cluster_key()).await;
        status.map(|s| s.quorum).unwrap_or_default()
    }

    async fn version(&self, at: usize) -> u64 {
        let status = status(self.address(at), self.plan.cluster_key()).await;
        status.map_or(0, |s| s.version)
    }

    /// Waits for a leader and returns which process it is.
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

    /// Pushes to whoever leads, and returns the outcome.
    async fn push(&self, version: u64, out: &str) -> PushOutcome {
        let limit = std::time::Instant::now() + LIMIT;
        loop {
            let leader = self.leader().await;
            let text = signed(&bundle(version, out));
            let reply = push(self.address(leader), self.plan.cluster_key(), text).await;
            if reply.outcome() != PushOutcome::NotLeader || std::time::Instant::now() > limit {
                return reply.outcome();
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

    async fn everywhere(&self, version: u64) {
        for at in 0..self.nodes.len() {
            wait_for("the bundle", async || self.version(at).await >= version).await;
        }
    }
}

/// The leader is killed between pushes: what was accepted stays, and is in force everywhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_bundle_outlives_its_leader() {
    let mut cluster = Cluster::start(3).await;
    assert_eq!(cluster.push(1, "").await, PushOutcome::Accepted);
    let leader = cluster.leader().await;
    cluster.nodes[leader].kill();
    assert_eq!(cluster.push(1, "").await, PushOutcome::Same);
    assert_eq!(cluster.push(2, "").await, PushOutcome::Accepted);
    cluster.nodes[leader].restart();
    cluster.everywhere(2).await;
    assert_eq!(cluster.push(1, "fj-west-a").await, PushOutcome::Conflict);
    assert_eq!(cluster.push(2, "fj-west-a").await, PushOutcome::Conflict);
    assert_eq!(cluster.push(2, "").await, PushOutcome::Same);
}

/// Without a quorum a push is refused at once; the process that is left changes nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_quorum_nothing_is_accepted() {
    let mut cluster = Cluster::start(3).await;
    assert_eq!(cluster.push(1, "").await, PushOutcome::Accepted);
    cluster.everywhere(1).await;
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
    cluster.everywhere(2).await;
}

/// A disk is lost, the VM comes back under a new identity in the place of the old one, and a second
/// VM is lost right after the repair.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lost_disk_is_repaired_before_the_next_loss() {
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
    cluster.everywhere(2).await;
}

/// Two operators push different bundles under one version at two processes: one wins, the other is
/// told so, and every process holds the winner.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_who_race_get_one_winner() {
    let cluster = Cluster::start(3).await;
    for version in 1..=5 {
        let one = cluster.push(version, "fj-west-b");
        let two = cluster.push(version, "fj-west-c");
        let (one, two) = tokio::join!(one, two);
        let mut outcomes = [one, two];
        outcomes.sort();
        assert_eq!(outcomes, [PushOutcome::Accepted, PushOutcome::Conflict]);
    }
    cluster.everywhere(5).await;
}

/// A version that is far too high by a slip is refused, and the next one is accepted as usual.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_version_far_above_the_newest_is_refused() {
    let cluster = Cluster::start(1).await;
    assert_eq!(cluster.push(1, "").await, PushOutcome::Accepted);
    for version in [1_000_002, u64::MAX - 1] {
        assert_eq!(cluster.push(version, "").await, PushOutcome::Invalid);
    }
    assert_eq!(cluster.push(1_000_001, "").await, PushOutcome::Accepted);
}

/// A leader that is frozen for long and thaws does not bring old state back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_frozen_leader_thaws_as_a_follower() {
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
    cluster.everywhere(2).await;
    assert_eq!(cluster.push(1, "fj-west-a").await, PushOutcome::Conflict);
}
