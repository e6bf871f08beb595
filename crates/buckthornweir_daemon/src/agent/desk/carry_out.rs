//! Carrying out the decisions about requests.

use buckthornweir_events::Count;
use buckthornweir_requests::messages::{
    Declined, Granted, Release, RequestBody, RequestMessage, Reserve,
};
use buckthornweir_requests::{Action, Refusal, ReservationId};
use buckthornweir_wire::{Body, NodeId};

use super::{Ask, Desk, Directive, State, micros};
use crate::links::LinkSender;

impl Desk {
    pub(super) fn carry_out(
        &self,
        state: &mut State,
        actions: Vec<Action>,
        back: Option<&LinkSender>,
    ) {
        let mut unreachable = Vec::new();
        for action in actions {
            self.carry_out_one(state, action, back, &mut unreachable);
        }
        for sibling in unreachable {
            self.refuse_asks(state, sibling);
        }
    }

    fn carry_out_one(
        &self,
        state: &mut State,
        action: Action,
        back: Option<&LinkSender>,
        unreachable: &mut Vec<NodeId>,
    ) {
        match action {
            Action::Run { request } => state.direct(request, Directive::Run),
            Action::AskSibling {
                request,
                sibling,
                token,
                deadline,
            } => {
                state.asks.insert(token, Ask { request, sibling });
                let remaining = deadline.saturating_sub(self.board.now());
                let asked = RequestBody::Reserve(Reserve {
                    token,
                    remaining_us: micros(remaining),
                });
                if !self.send(sibling, asked) {
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
                state.direct(request, directive);
            }
            Action::Release {
                sibling,
                reservation,
            } => self.release(sibling, reservation),
            Action::Refuse { request, refusal } => {
                self.count_refusal(&refusal);
                tracing::debug!(?request, ?refusal, "a request is refused");
                state.end(request, Directive::Refuse(refusal));
            }
            Action::Deliver { request } => state.end(request, Directive::Deliver),
            Action::CutAnswer { request } => state.end(request, Directive::Cut),
            Action::Abort { request } | Action::CancelHanded { request, .. } => {
                state.direct(request, Directive::Abort);
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
                self.reply(back, RequestBody::Granted(granted));
            }
            Action::Decline { token, .. } => {
                let load = Some(state.admission.load(self.board.now()));
                self.reply(back, RequestBody::Declined(Declined { token, load }));
            }
        }
    }

    /// Counts a refusal.
    pub(crate) fn count_refusal(&self, refusal: &Refusal) {
        let count = if refusal.not_run {
            Count::RequestsRefused
        } else {
            Count::RequestsUnknown
        };
        self.board.metrics.count(count);
    }

    pub(super) fn release(&self, sibling: NodeId, reservation: ReservationId) {
        // A release that is lost is made up for by the reservation's expiry.
        self.send(sibling, RequestBody::Release(Release { reservation }));
    }

    fn send(&self, sibling: NodeId, body: RequestBody) -> bool {
        let message = RequestMessage::new(body);
        self.links.send(sibling, Body::Request(Box::new(message)))
    }

    fn reply(&self, back: Option<&LinkSender>, body: RequestBody) {
        if let Some(back) = back {
            let message = Body::Request(Box::new(RequestMessage::new(body)));
            back.send(self.board.envelope(message));
        }
    }
}
