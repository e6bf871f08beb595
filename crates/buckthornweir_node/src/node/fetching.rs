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

/// How long the control process of the own failure domain may take to answer before the process that
/// announced a plan is asked: a plan of 50 KB takes 80 ms on a link of 5 Mbit/s.
const NEAR_LIMIT: Duration = Duration::from_millis(400);

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
    pub(super) fn pull(&self, pull: Pull) {
        let above = self.plans.document().revision;
        let spare = self.gossip.holder_above(above, pull.from);
        let near = self.gossip.near_control().filter(|near| *near != pull.from);
        let done = self.fetched.0.clone();
        let source = self.link_source();
        tokio::spawn(async move {
            let near = near.map(|near| (near, NEAR_LIMIT));
            let far = std::iter::once(pull.from).chain(spare);
            let far = far.map(|holder| (holder, links::EXCHANGE_LIMIT));
            for (holder, limit) in near.into_iter().chain(far) {
                match links::pull(source, holder, above, limit).await {
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

    /// Fetches the members that are unknown here from another process.
    pub(super) fn fetch_roster(&self, from: SocketAddr) {
        let own = self.settings.announced_inner();
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
            Fetched::Plan(document) => self.apply(document),
            Fetched::Backend(found) => {
                tracing::info!(event = "backend_looked_for", ?found);
                if let (Role::Agent { core, .. }, Presence::Gone) = (&mut self.role, found) {
                    core.begin_alone();
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
