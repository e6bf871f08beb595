//! Plans and rosters of other processes.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_events::{Count, Gauge};
use buckthornweir_forward::backend::Presence;

use super::{Fetched, Node, Role, health_address, presence};
use crate::gossip::Pull;
use crate::links;
use crate::messages::RosterRequestMessage;
use crate::plans::Document;

/// How long the control process of the own failure domain may take to begin its answer before the process
/// that announced a plan is asked.
const NEAR_LIMIT: Duration = Duration::from_millis(400);

/// How long another process that holds a plan may take to begin its answer.
const FAR_LIMIT: Duration = Duration::from_secs(1);

/// How long one fetch of a plan holds up the next: a link that fell silent in it does not hold up more.
const PULL_TURN: Duration = Duration::from_millis(1_500);

impl Node {
    /// Looks whether the backend server of an agent that starts is there.
    pub(super) fn look_for_backend(&self) {
        let Some(health) = health_address(&self.settings) else {
            return;
        };
        let done = self.fetched.0.clone();
        tokio::spawn(async move {
            let found = presence(Some(health), Presence::Unknown).await;
            // The loop that would take it may have ended.
            let _ = done.send(Fetched::Backend(found)).await;
        });
    }

    /// Fetches a newer plan: from control in the own failure domain first, since traffic between them is
    /// dear, then from the process that announced it, then from another holder.
    ///
    /// One plan is fetched at a time: two that share a small link both take twice as long.
    pub(super) fn pull(&mut self, pull: Pull) {
        let now = self.now();
        if self.pulling.is_some_and(|since| now < since + PULL_TURN) {
            self.next_pull = Some(pull);
            return;
        }
        self.pulling = Some(now);
        let above = self.plans.document().revision;
        let spare = self.gossip.holder_above(above, pull.from);
        let near = self.gossip.near_control().filter(|near| *near != pull.from);
        let done = self.fetched.0.clone();
        let source = self.link_source();
        tokio::spawn(async move {
            let near = near.map(|near| (near, NEAR_LIMIT));
            let far = std::iter::once(pull.from).chain(spare);
            let far = far.map(|holder| (holder, FAR_LIMIT));
            let mut found = None;
            for (holder, patience) in near.into_iter().chain(far) {
                match links::pull(source, holder, above, patience).await {
                    Ok(Some(plan)) => {
                        found = Some(plan.into());
                        break;
                    }
                    Ok(None) => {}
                    Err(error) => {
                        tracing::info!(event = "pull_failed", %holder, above, %error);
                    }
                }
            }
            // The loop that would take it may have ended.
            let _ = done.send(Fetched::Plan(found)).await;
        });
    }

    /// Takes what a fetch of a plan brought, and begins the one that waited if there is something newer still.
    fn pulled(&mut self, document: Option<Document>) {
        self.pulling = None;
        if let Some(document) = document {
            self.apply(document);
        }
        let above = self.plans.document().revision;
        if let Some(pull) = self.next_pull.take()
            && self.gossip.newest_revision() > above
        {
            self.pull(pull);
        }
    }

    /// Fetches the members that are unknown here from another process.
    pub(super) fn fetch_roster(&self, from: SocketAddr) {
        let own = self.settings.announced_peer_addr();
        let request = RosterRequestMessage::new(own, &self.gossip.roster_request());
        let done = self.fetched.0.clone();
        let source = self.link_source();
        tokio::spawn(async move {
            let roster = links::roster(source, from, request).await;
            if let Err(error) = &roster {
                tracing::info!(event = "roster_failed", %from, %error);
            }
            // The loop that would take it may have ended.
            let _ = done.send(Fetched::Roster(from, roster.ok())).await;
        });
    }

    pub(super) fn take(&mut self, fetched: Fetched) {
        match fetched {
            Fetched::Plan(document) => self.pulled(document),
            Fetched::Backend(found) => {
                tracing::info!(event = "backend_looked_for", ?found);
                if let (Role::Agent { core, .. }, Presence::Gone) = (&mut self.role, found) {
                    core.note_backendless_start();
                }
            }
            Fetched::Roster(from, roster) => {
                let outcome = self.gossip.take_roster(self.now(), from, roster);
                self.carry_out(outcome);
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
