//! Messages from sibling agents about slots, requests and idempotency keys.

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_requests::messages::{Granted, Load, RequestBody, RequestMessage};
use buckthornweir_wire::NodeId;

use super::{Ask, RequestCoordinator, State};
use crate::agent::handoff_server;
use crate::links::LinkSender;

impl RequestCoordinator {
    /// Handles a message from a sibling, and sends replies over `reply_to`.
    pub(crate) fn receive(
        self: &Arc<Self>,
        from: NodeId,
        message: RequestMessage,
        reply_to: &LinkSender,
    ) {
        let Some(body) = message.body else { return };
        let now = self.board.now();
        let mut state = self.state.lock();
        match body {
            RequestBody::Reserve(reserve) => {
                let deadline = now + Duration::from_micros(reserve.remaining_us);
                let admission = &mut state.admission;
                let actions = if reserve.hedge {
                    admission.hedge_requested(now, from, reserve.token, deadline)
                } else {
                    admission.reservation_requested(now, from, reserve.token, deadline)
                };
                self.apply_actions(&mut state, actions, Some(reply_to));
            }
            RequestBody::Granted(granted) => self.granted(&mut state, from, &granted),
            RequestBody::Declined(declined) => {
                state.note_load(from, declined.load);
                if let Some(ask) = state.asks.remove(&declined.token) {
                    let actions = state.admission.reservation_declined(now, ask.request, from);
                    self.apply_actions(&mut state, actions, None);
                }
            }
            RequestBody::Release(release) => {
                let actions = state
                    .admission
                    .reservation_released(now, from, release.reservation);
                self.apply_actions(&mut state, actions, None);
            }
            RequestBody::HandedRequest(request) => {
                drop(state);
                handoff_server::accept(self.clone(), from, request, reply_to.clone());
            }
            RequestBody::HandedAnswer(_)
            | RequestBody::BodyPart(_)
            | RequestBody::CancelHanded(_)
            | RequestBody::Load(_) => {}
            key_message => self.keys.receive(from, key_message),
        }
    }

    fn granted(&self, state: &mut State, from: NodeId, granted: &Granted) {
        state.note_load(from, granted.load);
        let Some(ask) = state.asks.remove(&granted.token) else {
            return self.release(from, granted.reservation);
        };
        let now = self.board.now();
        let actions =
            state
                .admission
                .reservation_granted(now, ask.request, from, granted.reservation);
        self.apply_actions(state, actions, None);
    }

    /// Treats pending asks to a sibling as declined, since its link was lost. Requests that were
    /// handed over use other links.
    pub(crate) fn link_lost(&self, sibling: NodeId) {
        let mut state = self.state.lock();
        self.decline_asks(&mut state, sibling);
    }

    pub(super) fn decline_asks(&self, state: &mut State, sibling: NodeId) {
        let lost: Vec<Ask> = state
            .asks
            .extract_if(|_, ask| ask.sibling == sibling)
            .map(|(_, ask)| ask)
            .collect();
        for ask in lost {
            let now = self.board.now();
            let actions = state
                .admission
                .reservation_declined(now, ask.request, sibling);
            self.apply_actions(state, actions, None);
        }
    }

    /// Handles a load report from a sibling.
    pub(crate) fn note_load(&self, sibling: NodeId, load: Load) {
        self.state.lock().note_load(sibling, Some(load));
    }
}
