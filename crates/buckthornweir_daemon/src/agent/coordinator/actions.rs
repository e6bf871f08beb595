//! Applies the actions that admission returns.

use buckthornweir_events::Count;
use buckthornweir_requests::messages::{
    Declined, Granted, Release, RequestBody, RequestMessage, Reserve,
};
use buckthornweir_requests::{Action, Refusal, ReservationId};
use buckthornweir_wire::{Body, NodeId};

use super::{Ask, Directive, RequestCoordinator, State, micros};
use crate::links::LinkSender;

impl RequestCoordinator {
    pub(super) fn apply_actions(
        &self,
        state: &mut State,
        actions: Vec<Action>,
        reply_to: Option<&LinkSender>,
    ) {
        let mut unreachable = Vec::new();
        for action in actions {
            self.apply_action(state, action, reply_to, &mut unreachable);
        }
        for sibling in unreachable {
            self.decline_asks(state, sibling);
        }
    }

    fn apply_action(
        &self,
        state: &mut State,
        action: Action,
        reply_to: Option<&LinkSender>,
        unreachable: &mut Vec<NodeId>,
    ) {
        match action {
            Action::Run { request } => state.send_directive(request, Directive::Run),
            Action::AskSibling {
                request,
                sibling,
                token,
                deadline,
                hedge,
            } => {
                state.asks.insert(token, Ask { request, sibling });
                let remaining = deadline.saturating_sub(self.board.now());
                let reserve = RequestBody::Reserve(Reserve {
                    token,
                    remaining_us: micros(remaining),
                    hedge,
                });
                if !self.send(sibling, reserve) {
                    unreachable.push(sibling);
                }
            }
            Action::HandOver {
                request,
                sibling,
                reservation,
            } => {
                self.board.metrics.count(Count::RequestsHandedOver);
                let directive = Directive::HandOver {
                    sibling,
                    reservation,
                };
                state.send_directive(request, directive);
            }
            Action::Release {
                sibling,
                reservation,
            } => self.release(sibling, reservation),
            Action::Refuse { request, refusal } => {
                self.count_refusal(&refusal);
                tracing::debug!(?request, ?refusal, "request refused");
                state.send_last_directive(request, Directive::Refuse(refusal));
            }
            Action::EndCopy { request, refusal } => {
                state.send_last_directive(request, Directive::Refuse(refusal));
            }
            Action::Deliver { request } => state.send_last_directive(request, Directive::Deliver),
            Action::CutAnswer { request } => state.send_last_directive(request, Directive::Cut),
            Action::Abort { request } | Action::CancelHanded { request, .. } => {
                state.send_directive(request, Directive::Abort);
            }
            Action::Grant {
                token, reservation, ..
            } => {
                let load = Some(state.admission.load(self.board.now()));
                let granted = Granted {
                    token,
                    reservation,
                    load,
                };
                self.reply(reply_to, RequestBody::Granted(granted));
            }
            Action::Decline { token, .. } => {
                let load = Some(state.admission.load(self.board.now()));
                self.reply(reply_to, RequestBody::Declined(Declined { token, load }));
            }
        }
    }

    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let count = if refusal.not_run {
            Count::RequestsRefused
        } else {
            Count::RequestsUnknown
        };
        self.board.metrics.count(count);
    }

    pub(super) fn release(&self, sibling: NodeId, reservation: ReservationId) {
        // A lost release needs no retry: the reservation expires.
        self.send(sibling, RequestBody::Release(Release { reservation }));
    }

    fn send(&self, sibling: NodeId, body: RequestBody) -> bool {
        let message = RequestMessage::new(body);
        self.links.send(sibling, Body::Request(Box::new(message)))
    }

    fn reply(&self, reply_to: Option<&LinkSender>, body: RequestBody) {
        if let Some(reply_to) = reply_to {
            let message = Body::Request(Box::new(RequestMessage::new(body)));
            reply_to.send(self.board.envelope(message));
        }
    }
}
