//! Plans and rosters of other processes.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_events::{Count, Gauge};

use super::{Fetched, Node, Role};
use crate::gossip::Pull;
use crate::links;
use crate::plans::Document;

/// Pauses before each fetch of all members after the start.
const ROSTER_PAUSES: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_millis(150),
    Duration::from_millis(300),
    Duration::from_millis(600),
    Duration::from_millis(1_500),
];

impl Node {
    /// Fetches a newer plan, from another holder when the first one does not answer.
    pub(super) fn pull(&self, pull: Pull) {
        let above = self.plans.document().revision;
        let spare = self.gossip.holder_above(above, pull.from);
        let done = self.fetched.0.clone();
        let source = self.link_source();
        tokio::spawn(async move {
            for holder in std::iter::once(pull.from).chain(spare) {
                match links::pull(source, holder, above).await {
                    Ok(Some(plan)) => {
                        // The loop that would take it has ended.
                        let _ = done.send(Fetched::Plan(plan.into())).await;
                        return;
                    }
                    Ok(None) => {}
                    Err(error) => {
                        tracing::info!(event = "pull_failed", %holder, above, %error);
                    }
                }
            }
        });
    }

    /// Fetches all members from the seeds, several times: after a start of all VMs the first answers name
    /// few.
    pub(super) fn fetch_rosters(&self) {
        let own = self.settings.announced_inner();
        let seeds = self.settings.seed_addresses().into_iter();
        let seeds: Vec<_> = seeds.filter(|s| *s != own).map(SocketAddr::V4).collect();
        let done = self.fetched.0.clone();
        let stop = self.stop.clone();
        let source = self.link_source();
        tokio::spawn(async move {
            for (pause, seed) in ROSTER_PAUSES.into_iter().zip(seeds.iter().cycle()) {
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = tokio::time::sleep(pause) => {}
                }
                match links::roster(source, *seed).await {
                    // The loop that would take it may have ended.
                    Ok(roster) => drop(done.send(Fetched::Roster(*seed, roster)).await),
                    Err(error) => tracing::info!(event = "roster_failed", %seed, %error),
                }
            }
        });
    }

    pub(super) fn take(&mut self, fetched: Fetched) {
        match fetched {
            Fetched::Plan(document) => self.apply(document),
            Fetched::Roster(from, roster) => {
                let now = self.now();
                for bytes in roster.messages {
                    let outcome = self.gossip.handle(now, from, &bytes);
                    self.carry_out(outcome);
                }
            }
        }
    }

    /// Puts a document in force and announces it.
    pub(super) fn apply(&mut self, document: Document) {
        let stamp = document.stamp();
        if !self.plans.apply(document) {
            return;
        }
        let now = self.now();
        self.metrics.count(Count::BundlesApplied);
        let version = self.plans.plan().version;
        self.metrics.set(
            Gauge::BundleVersion,
            i64::try_from(version).unwrap_or(i64::MAX),
        );
        if let Role::Agent { core, .. } = &mut self.role {
            core.apply(now, self.plans.plan());
        }
        let outcome = self.gossip.announce_plan(now, stamp);
        self.carry_out(outcome);
    }

    /// Puts what the own log has committed in force.
    pub(super) fn publish(&mut self) {
        let Role::Control(replica) = &self.role else {
            return;
        };
        if let Some(document) = replica.document_above(self.plans.document().revision) {
            self.apply(document);
        }
    }
}
