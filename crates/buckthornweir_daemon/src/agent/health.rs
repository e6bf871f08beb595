//! Watching the backend server. Its health endpoint may lag or mislead, so it decides only whether
//! new flows come here; the outcomes of requests decide how much runs.

use std::sync::Arc;
use std::time::Duration;

use buckthornweir_events::EventKind;
use buckthornweir_members::{Health, MemberState};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full, Limited};
use smol_str::SmolStr;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::Backend;
use super::desk::Desk;
use crate::board::{Blackboard, Leaving};

/// How often the backend server is looked at.
const PERIOD: Duration = Duration::from_millis(500);

/// How long its health endpoint may take.
const ANSWER_LIMIT: Duration = Duration::from_secs(1);

/// The weight step of a warm backend server.
const FULL_WEIGHT: u8 = 16;

/// How many looks in a row must fail before new flows go elsewhere.
const FAILED_LOOKS: u32 = 2;

/// What a backend server that is leaving answers, with a status other than success.
const LEAVING_WORD: &[u8] = b"draining";

/// The longest such answer in bytes.
const WORD_LIMIT: usize = 4_096;

/// What one look at the backend server saw.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Look {
    Well,
    Unwell,
    Leaving,
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
        desk: desk.clone(),
        failed: 0,
        unreachable: false,
    };
    let mut ticks = tokio::time::interval(PERIOD);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let look = if desk.is_relayed() {
            look_at_port(&backend).await
        } else {
            look(&backend, &path).await
        };
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
            Look::Well | Look::Leaving => self.failed = 0,
            Look::Unwell | Look::Unreachable => self.failed += 1,
        }
        self.note_leaving(look);
        if look == Look::Unreachable {
            self.unreachable = true;
        } else if self.unreachable {
            // It was gone and is back, so it has started anew.
            self.unreachable = false;
            self.desk.turn_cold();
        }
        self.announce();
    }

    /// Follows the backend server's own word that it is leaving, or that it is back.
    fn note_leaving(&self, look: Look) {
        let leaving = self.board.own().leaving;
        if look == Look::Leaving && leaving == Leaving::No {
            self.board.leave(Leaving::BackendServer);
            self.record(MemberState::Draining);
        }
        let is_back = matches!(look, Look::Well | Look::Unwell);
        if is_back && leaving == Leaving::BackendServer {
            self.desk.turn_cold();
            self.board.update_own(|own| {
                own.leaving = Leaving::No;
                own.state = MemberState::Cold;
            });
        }
    }

    fn record(&self, state: MemberState) {
        let state = crate::gossip::state_name(state, Health::Alive).into();
        self.board.record(EventKind::BackendChanged { state });
    }

    fn announce(&self) {
        let own = self.board.own();
        if own.leaving != Leaving::No {
            return;
        }
        let before = own.state;
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
            self.record(state);
        }
    }
}

/// Returns the weight step for a share of usable slots.
fn weight_of(warmth: f64) -> u8 {
    let steps = (warmth.clamp(0.0, 1.0) * f64::from(FULL_WEIGHT)).round();
    // The clamp keeps the steps between 0 and the full weight.
    (steps as u8).max(1)
}

/// Looks whether the backend server takes connections; all that bytes alone can tell.
async fn look_at_port(backend: &Backend) -> Look {
    match backend.connect().await {
        Ok(_) => Look::Well,
        Err(_) => Look::Unreachable,
    }
}

async fn look(backend: &Backend, path: &str) -> Look {
    match timeout(ANSWER_LIMIT, ask(backend, path)).await {
        Ok(Some(look)) => look,
        Ok(None) | Err(_) => Look::Unreachable,
    }
}

async fn ask(backend: &Backend, path: &str) -> Option<Look> {
    let mut connection = backend.open().await.ok()?;
    let request = Request::get(path)
        .header("host", "backend")
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    if response.status().is_success() {
        return Some(Look::Well);
    }
    let body = Limited::new(response.into_body(), WORD_LIMIT);
    let word = body.collect().await.ok()?.to_bytes();
    if word.trim_ascii() == LEAVING_WORD {
        return Some(Look::Leaving);
    }
    Some(Look::Unwell)
}
