//! Concurrency limits of a backend server, warm and cold.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

/// Whether a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotDecision {
    /// The request has a slot.
    Run,
    /// All slots are busy.
    Full,
    /// The request exceeds the limit of a cold backend server, which is overloaded by it.
    FallOver,
}

/// The result of an attempt to acquire a slot.
pub(crate) struct SlotAttempt {
    pub(crate) decision: SlotDecision,
    pub(crate) concurrent: usize,
    pub(crate) cold: bool,
}

/// Counts the running requests and limits their number.
pub(crate) struct Slots {
    slots: usize,
    cold_slots: usize,
    cold_time: Duration,
    state: Mutex<SlotState>,
}

#[derive(Default)]
struct SlotState {
    running: usize,
    max_concurrent: usize,
    max_cold: usize,
    cold_until: Duration,
}

impl Slots {
    pub(crate) fn new(slots: usize, cold_slots: usize, cold_time: Duration, now: Duration) -> Self {
        let state = SlotState {
            cold_until: now + cold_time,
            ..SlotState::default()
        };
        Self {
            slots,
            cold_slots,
            cold_time,
            state: Mutex::new(state),
        }
    }

    /// Tries to acquire a slot. A slot that was acquired must be [released](Self::release).
    pub(crate) fn try_acquire(&self, now: Duration) -> SlotAttempt {
        let mut state = self.state.lock();
        let cold = now < state.cold_until;
        let concurrent = state.running + 1;
        state.max_concurrent = state.max_concurrent.max(concurrent);
        if cold {
            state.max_cold = state.max_cold.max(concurrent);
        }
        let decision = if concurrent > self.slots {
            SlotDecision::Full
        } else if cold && concurrent > self.cold_slots {
            state.cold_until = now + self.cold_time;
            SlotDecision::FallOver
        } else {
            state.running = concurrent;
            SlotDecision::Run
        };
        SlotAttempt {
            decision,
            concurrent,
            cold,
        }
    }

    pub(crate) fn release(&self) {
        self.state.lock().running -= 1;
    }

    pub(crate) fn turn_cold(&self, now: Duration) {
        self.state.lock().cold_until = now + self.cold_time;
    }

    pub(crate) fn running(&self) -> usize {
        self.state.lock().running
    }

    pub(crate) fn max_concurrent(&self) -> usize {
        self.state.lock().max_concurrent
    }

    pub(crate) fn max_cold(&self) -> usize {
        self.state.lock().max_cold
    }
}

/// Releases a slot when it is dropped.
pub(crate) struct SlotGuard(pub(crate) Arc<Slots>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.release();
    }
}
