//! What the adapter asks of the process.

use std::time::Duration;

use super::{Node, Role};
use crate::control::{OrderOutcome, ReadOutcome};
use crate::handle::Request;
use crate::settings::NodeSettings;

impl Node {
    pub(super) fn request(&mut self, request: Request) {
        let now = self.now();
        match request {
            Request::Report(report, done) => {
                if let Role::Agent { core, .. } = &mut self.role {
                    let mut actions = std::mem::take(&mut self.actions);
                    let before = core.backend().last_report().cloned();
                    let reported = core.report(now, report.clone(), &mut actions);
                    let same = before.as_ref().is_some_and(|b| {
                        b.born == report.born && b.state == report.state && b.id == report.id
                    });
                    if !same {
                        tracing::info!(event = "backend_report", ?report, ?reported);
                    }
                    self.act(actions, &mut [], None);
                    self.offer(now);
                }
                // The backend server may have hung up.
                let _ = done.send(());
            }
            Request::Deregister(id, done) => {
                if let Role::Agent { core, .. } = &mut self.role {
                    tracing::info!(event = "backend_left", %id);
                    core.note_left(&id);
                    self.offer(now);
                }
                // The backend server may have hung up.
                let _ = done.send(());
            }
            Request::Order(order, done) => match &mut self.role {
                Role::Control(replica) => {
                    let sends = replica.order(now, order, done);
                    self.send_all(sends);
                    self.publish();
                }
                // The operator may have hung up.
                _ => drop(done.send(OrderOutcome::Unavailable)),
            },
            Request::Read(done) => match &mut self.role {
                Role::Control(replica) => {
                    let sends = replica.read(now, done);
                    self.send_all(sends);
                }
                // The operator may have hung up.
                _ => drop(done.send(ReadOutcome::Unavailable)),
            },
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
            let sends = replica.leave(now);
            self.send_all(sends);
        }
    }
}
