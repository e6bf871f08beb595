//! Background tasks that fetch plans and rosters, and check the backend server.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_events::{Count, Gauge};
use buckthornweir_forward::backend::Presence;

use super::{Fetched, Node, Role, health_addr, probe_backend};
use crate::gossip::Pull;
use crate::links;
use crate::messages::RosterRequestMessage;
use crate::plans::Document;

/// Time limit for the first byte from the control process of the own failure domain, before the
/// process that announced the plan is asked instead.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for the first byte from another process with a newer plan.
const REMOTE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a fetch no longer delays the next one, in case its connection went silent.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

impl Node {
    /// Checks whether the backend server is present when its agent starts.
    pub(super) fn check_backend(&self) {
        let Some(health) = health_addr(&self.settings) else {
            return;
        };
        let results = self.fetched.0.clone();
        tokio::spawn(async move {
            let found = probe_backend(Some(health), Presence::Unknown).await;
            // The event loop may have terminated.
            let _ = results.send(Fetched::Backend(found)).await;
        });
    }

    /// Fetches a newer plan.
    ///
    /// Tries the control process of the own failure domain first, since traffic between failure
    /// domains is expensive, then the process that announced the plan, then another process that
    /// has it. Fetches one plan at a time, since two on the same slow link would each take twice as
    /// long.
    pub(super) fn fetch_plan(&mut self, pull: Pull) {
        let now = self.now();
        if self
            .fetch_started
            .is_some_and(|since| now < since + FETCH_TIMEOUT)
        {
            self.pending_pull = Some(pull);
            return;
        }
        self.fetch_started = Some(now);
        let above = self.plans.document().revision;
        let fallback = self.gossip.holder_above(above, pull.from);
        let control = self
            .gossip
            .local_control()
            .filter(|control| *control != pull.from);
        let results = self.fetched.0.clone();
        let source = self.link_source();
        tokio::spawn(async move {
            let control = control.map(|control| (control, LOCAL_TIMEOUT));
            let others = std::iter::once(pull.from).chain(fallback);
            let others = others.map(|holder| (holder, REMOTE_TIMEOUT));
            let mut found = None;
            for (holder, first_byte_timeout) in control.into_iter().chain(others) {
                match links::fetch_plan(source, holder, above, first_byte_timeout).await {
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
            // The event loop may have terminated.
            let _ = results.send(Fetched::Plan(found)).await;
        });
    }

    /// Handles the result of a fetch, and starts the pending one if a still newer plan is
    /// announced.
    fn handle_plan(&mut self, document: Option<Document>) {
        self.fetch_started = None;
        if let Some(document) = document {
            self.apply_document(document);
        }
        let above = self.plans.document().revision;
        if let Some(pull) = self.pending_pull.take()
            && self.gossip.newest_revision() > above
        {
            self.fetch_plan(pull);
        }
    }

    /// Fetches the members that are unknown here from the process at `from`.
    pub(super) fn fetch_roster(&self, from: SocketAddr) {
        let own = self.settings.announced_peer_addr();
        let request = RosterRequestMessage::new(own, &self.gossip.roster_request());
        let results = self.fetched.0.clone();
        let source = self.link_source();
        tokio::spawn(async move {
            let roster = links::fetch_roster(source, from, request).await;
            if let Err(error) = &roster {
                tracing::info!(event = "roster_failed", %from, %error);
            }
            // The event loop may have terminated.
            let _ = results.send(Fetched::Roster(from, roster.ok())).await;
        });
    }

    pub(super) fn handle_fetched(&mut self, fetched: Fetched) {
        match fetched {
            Fetched::Plan(document) => self.handle_plan(document),
            Fetched::Backend(found) => {
                tracing::info!(event = "backend_looked_for", ?found);
                match (&mut self.role, found) {
                    (Role::Agent { core, .. }, Presence::Gone) => core.note_backendless_start(),
                    (Role::Agent { core, .. }, Presence::Reporting) => core.note_backend_at_start(),
                    _ => {}
                }
            }
            Fetched::Roster(from, roster) => {
                let outcome = self.gossip.handle_roster(self.now(), from, roster);
                self.apply(outcome);
            }
        }
    }

    /// Puts a document in force, if it is newer, and announces it.
    pub(super) fn apply_document(&mut self, document: Document) {
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
        self.apply(outcome);
    }

    /// Puts in force the document that the own log has committed.
    pub(super) fn apply_committed(&mut self) {
        let Role::Control(replica) = &self.role else {
            return;
        };
        if let Some(document) = replica.document_above(self.plans.document().revision) {
            self.apply_document(document);
        }
    }
}
