//! Messages of sibling agents about slots and requests.

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_requests::messages::{Granted, Load, RequestBody, RequestMessage};
use buckthornweir_wire::NodeId;

use super::{Ask, Desk, State};
use crate::agent::handed;
use crate::links::LinkSender;

impl Desk {
    /// Takes a message of a sibling; answers go back over `back`.
    pub(crate) fn receive(
        self: &Arc<Self>,
        from: NodeId,
        message: RequestMessage,
        back: &LinkSender,
    ) {
        let Some(body) = message.body else { return };
        let now = self.board.now();
        let mut state = self.state.lock();
        match body {
            RequestBody::Reserve(asked) => {
                let deadline = now + Duration::from_micros(asked.remaining_us);
                let actions =
                    state
                        .admission
                        .reservation_requested(now, from, asked.token, deadline);
                self.carry_out(&mut state, actions, Some(back));
            }
            RequestBody::Granted(granted) => self.granted(&mut state, from, &granted),
            RequestBody::Declined(declined) => {
                state.note_load(from, declined.load);
                if let Some(ask) = state.asks.remove(&declined.token) {
                    let actions = state.admission.reservation_declined(now, ask.request, from);
                    self.carry_out(&mut state, actions, None);
                }
            }
            RequestBody::Release(release) => {
                let actions = state
                    .admission
                    .reservation_released(now, from, release.reservation);
                self.carry_out(&mut state, actions, None);
            }
            RequestBody::HandedRequest(request) => {
                drop(state);
                handed::take(self.clone(), from, request, back.clone());
            }
            RequestBody::HandedAnswer(_)
            | RequestBody::BodyPart(_)
            | RequestBody::CancelHanded(_)
            | RequestBody::Load(_) => {}
            about_keys => self.keys.receive(from, about_keys),
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
        self.carry_out(state, actions, None);
    }

    /// Notes that the link to a sibling was lost: its questions are not answered any more. Requests
    /// that were handed over have links of their own.
    pub(crate) fn link_lost(&self, sibling: NodeId) {
        let mut state = self.state.lock();
        self.refuse_asks(&mut state, sibling);
    }

    pub(super) fn refuse_asks(&self, state: &mut State, sibling: NodeId) {
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
            self.carry_out(state, actions, None);
        }
    }

    /// Takes a sibling's report of its load.
    pub(crate) fn note_load(&self, sibling: NodeId, load: Load) {
        self.state.lock().note_load(sibling, Some(load));
    }
}
