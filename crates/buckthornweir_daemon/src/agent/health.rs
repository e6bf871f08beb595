//! Watching the backend server. Its health endpoint may lag or mislead, so it decides only whether
//! new flows come here; the outcomes of requests decide how much runs.

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::EventKind;
use buckthornweir_members::MemberState;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use smol_str::SmolStr;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::Backend;
use super::desk::Desk;
use crate::board::Blackboard;

/// How often the backend server is looked at.
const PERIOD: Duration = Duration::from_millis(500);

/// How long its health endpoint may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// The weight step of a warm backend server.
const FULL_WEIGHT: u8 = 16;

/// How many looks in a row must fail before new flows go elsewhere.
const FAILED_LOOKS: u32 = 2;

/// What one look at the backend server saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Look {
    Well,
    Unwell,
    Unreachable,
}

/// Watches the backend server until `stop` is cancelled.
pub(crate) async fn watch(
    board: Arc<Blackboard>,
    desk: Arc<Desk>,
    backend: Arc<Backend>,
    path: SmolStr,
    stop: CancellationToken,
) {
    let mut watcher = Watcher {
        board,
        desk,
        failed: 0,
        unreachable: false,
    };
    let mut ticks = tokio::time::interval(PERIOD);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let look = look(&backend, &path).await;
        watcher.note(look);
    }
}

struct Watcher {
    board: Arc<Blackboard>,
    desk: Arc<Desk>,
    failed: u32,
    unreachable: bool,
}

impl Watcher {
    fn note(&mut self, look: Look) {
        match look {
            Look::Well => self.failed = 0,
            Look::Unwell | Look::Unreachable => self.failed += 1,
        }
        if look == Look::Unreachable {
            self.unreachable = true;
        } else if self.unreachable {
            // It was gone and is back, so it has started anew.
            self.unreachable = false;
            self.desk.turn_cold();
        }
        self.announce();
    }

    fn announce(&self) {
        let before = self.board.own().state;
        if matches!(before, MemberState::Draining | MemberState::Left) {
            self.board.update_own(|own| own.weight = 0);
            return;
        }
        let warmth = self.desk.warmth();
        let weight = if self.failed >= FAILED_LOOKS {
            0
        } else {
            weight_of(warmth)
        };
        let state = if warmth >= 1.0 {
            MemberState::Ready
        } else {
            MemberState::Cold
        };
        self.board.update_own(|own| {
            own.weight = weight;
            own.state = state;
        });
        if state != before {
            let state = crate::gossip::state_word(state, buckthornweir_members::Health::Alive);
            let state = state.into();
            self.board.record(EventKind::BackendChanged { state });
        }
    }
}

/// Returns the weight step for a share of usable slots.
fn weight_of(warmth: f64) -> u8 {
    let steps = (warmth.clamp(0.0, 1.0) * f64::from(FULL_WEIGHT)).round();
    // The clamp keeps the steps between 0 and the full weight.
    (steps as u8).max(1)
}

async fn look(backend: &Backend, path: &str) -> Look {
    match timeout(ANSWER_LIMIT, ask(backend, path)).await {
        Ok(Some(status)) if status.is_success() => Look::Well,
        Ok(Some(_)) => Look::Unwell,
        Ok(None) | Err(_) => Look::Unreachable,
    }
}

async fn ask(backend: &Backend, path: &str) -> Option<StatusCode> {
    let mut connection = backend.open().await.ok()?;
    let request = Request::get(path)
        .header("host", "backend")
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    Some(response.status())
}
