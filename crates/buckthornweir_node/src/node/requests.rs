//! Requests of the platform adapter.

use std::time::Duration;

use buckthornweir_forward::backend::Reported;

use super::{Node, Role, agent_view};
use crate::control::{OrderOutcome, ReadOutcome};
use crate::handle::Request;
use crate::settings::NodeSettings;

impl Node {
    pub(super) fn handle_request(&mut self, request: Request) {
        let now = self.now();
        match request {
            Request::Report(report, reply) => {
                let mut taken = false;
                if let Role::Agent { core, .. } = &mut self.role {
                    let mut actions = std::mem::take(&mut self.actions);
                    let before = core.backend().last_report().cloned();
                    let reported = core.report(now, report.clone(), &mut actions);
                    let unchanged = before.as_ref().is_some_and(|b| {
                        b.born == report.born && b.state == report.state && b.id == report.id
                    });
                    // The same report again means that the answer to it was lost.
                    taken = reported != Reported::Stale || before.as_ref() == Some(&report);
                    if !unchanged || !taken {
                        tracing::info!(event = "backend_report", ?report, ?reported);
                    }
                    self.execute_all(actions, &mut [], None);
                    self.announce_offer(now);
                }
                // The backend server may have disconnected.
                let _ = reply.send(taken);
            }
            Request::Deregister(id, reply) => {
                if let Role::Agent { core, .. } = &mut self.role {
                    tracing::info!(event = "backend_left", %id);
                    core.note_left(&id);
                    self.announce_offer(now);
                }
                // The backend server may have disconnected.
                let _ = reply.send(());
            }
            Request::Order(order, reply) => match &mut self.role {
                Role::Control(replica) => {
                    let outbox = replica.order(now, order, reply);
                    self.send_all(outbox);
                    self.apply_committed();
                }
                // The operator may have disconnected.
                _ => drop(reply.send(OrderOutcome::Unavailable)),
            },
            Request::Read(reply) => match &mut self.role {
                Role::Control(replica) => {
                    let outbox = replica.read(now, reply);
                    self.send_all(outbox);
                }
                // The operator may have disconnected.
                _ => drop(reply.send(ReadOutcome::Unavailable)),
            },
            Request::Voters(reply) => {
                let voters = match &self.role {
                    Role::Control(replica) => replica.voters(),
                    Role::Agent { .. } | Role::Balancer { .. } => Vec::new(),
                };
                // The requester may have given up.
                let _ = reply.send(voters);
            }
            Request::Reload(settings) => self.reload(*settings),
            Request::Stop => self.begin_stop(now),
        }
    }

    pub(super) fn reload(&mut self, settings: NodeSettings) {
        tracing::info!(event = "reloaded", seeds = ?settings.seeds);
        self.gossip.set_seeds(&settings);
        if let Role::Control(replica) = &mut self.role {
            replica.set_seeds(&settings);
        }
        self.settings.seeds = settings.seeds;
    }

    pub(super) fn begin_stop(&mut self, now: Duration) {
        if self.stopping.is_some() {
            return;
        }
        tracing::info!(event = "stopping");
        self.stopping = Some(now);
        if let Role::Control(replica) = &mut self.role {
            let outbox = replica.begin_stop(now);
            self.send_all(outbox);
        }
        if let Role::Agent { core, .. } = &mut self.role {
            let view = agent_view(&self.plans, &self.peers, &self.gossip, now);
            let mut actions = std::mem::take(&mut self.actions);
            core.set_stopping(now, view, &mut actions);
            self.execute_all(actions, &mut [], None);
        }
    }
}
