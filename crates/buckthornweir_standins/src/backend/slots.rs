//! How many requests a backend server bears, warm and cold.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;

/// Whether one more request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It runs.
    Run,
    /// All slots are busy.
    Full,
    /// It is more than the cold backend server bears.
    FallOver,
}

/// The answer to the question for a slot.
pub(crate) struct Entry {
    pub(crate) verdict: Verdict,
    pub(crate) concurrent: usize,
    pub(crate) cold: bool,
}

/// Counts the requests that run.
pub(crate) struct Slots {
    slots: usize,
    cold_slots: usize,
    cold_time: Duration,
    state: Mutex<SlotState>,
}

#[derive(Default)]
struct SlotState {
    running: usize,
    most: usize,
    most_cold: usize,
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

    /// Asks for a slot; one that was given must be [left](Self::leave).
    pub(crate) fn enter(&self, now: Duration) -> Entry {
        let mut state = self.state.lock();
        let cold = now < state.cold_until;
        let concurrent = state.running + 1;
        state.most = state.most.max(concurrent);
        if cold {
            state.most_cold = state.most_cold.max(concurrent);
        }
        let verdict = if concurrent > self.slots {
            Verdict::Full
        } else if cold && concurrent > self.cold_slots {
            state.cold_until = now + self.cold_time;
            Verdict::FallOver
        } else {
            state.running = concurrent;
            Verdict::Run
        };
        Entry {
            verdict,
            concurrent,
            cold,
        }
    }

    pub(crate) fn leave(&self) {
        self.state.lock().running -= 1;
    }

    pub(crate) fn turn_cold(&self, now: Duration) {
        self.state.lock().cold_until = now + self.cold_time;
    }

    pub(crate) fn running(&self) -> usize {
        self.state.lock().running
    }

    pub(crate) fn most(&self) -> usize {
        self.state.lock().most
    }

    pub(crate) fn most_cold(&self) -> usize {
        self.state.lock().most_cold
    }
}

/// Leaves a slot when it is dropped.
pub(crate) struct SlotGuard(pub(crate) Arc<Slots>);

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.0.leave();
    }
}
