//! Health checks of the backend server. The health endpoint may lag or be wrong, so it decides only
//! whether this agent gets new flows. The outcomes of requests set the concurrency limit.

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
use super::coordinator::RequestCoordinator;
use crate::board::{Blackboard, Leaving};

/// How often the backend server is checked.
const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// How long the health endpoint may take to answer.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The weight of a backend server that may use all its slots.
const FULL_WEIGHT: u8 = 16;

/// How many consecutive checks must fail before the agent stops getting new flows.
const FAILURE_THRESHOLD: u32 = 2;

/// The body that a leaving backend server sends with a status other than success.
const LEAVING_BODY: &[u8] = b"draining";

/// The largest body of a failed health check that is read.
const MAX_LEAVING_BODY_BYTES: usize = 4_096;

/// The result of one health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CheckResult {
    Healthy,
    Unhealthy,
    Leaving,
    Unreachable,
}

/// Checks the backend server periodically until `stop` is cancelled.
pub(crate) async fn monitor(
    board: Arc<Blackboard>,
    coordinator: Arc<RequestCoordinator>,
    backend: Arc<Backend>,
    path: SmolStr,
    stop: CancellationToken,
) {
    let mut checker = Checker {
        board,
        coordinator: coordinator.clone(),
        failures: 0,
        unreachable: false,
    };
    let mut ticks = tokio::time::interval(CHECK_PERIOD);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = ticks.tick() => {}
        }
        let check = if coordinator.is_relayed() {
            check_port(&backend).await
        } else {
            check(&backend, &path).await
        };
        checker.apply(check);
    }
}

struct Checker {
    board: Arc<Blackboard>,
    coordinator: Arc<RequestCoordinator>,
    failures: u32,
    unreachable: bool,
}

impl Checker {
    fn apply(&mut self, check: CheckResult) {
        match check {
            CheckResult::Healthy | CheckResult::Leaving => self.failures = 0,
            CheckResult::Unhealthy | CheckResult::Unreachable => self.failures += 1,
        }
        self.apply_leaving(check);
        if check == CheckResult::Unreachable {
            self.unreachable = true;
        } else if self.unreachable {
            // A backend server that was unreachable is assumed to have restarted.
            self.unreachable = false;
            self.coordinator.turn_cold();
        }
        self.publish();
    }

    /// Updates the leaving state when the backend server reports that it is leaving or is back.
    fn apply_leaving(&self, check: CheckResult) {
        let leaving = self.board.own().leaving;
        if check == CheckResult::Leaving && leaving == Leaving::No {
            self.board.leave(Leaving::BackendServer);
            self.record_state(MemberState::Draining);
        }
        let is_back = matches!(check, CheckResult::Healthy | CheckResult::Unhealthy);
        if is_back && leaving == Leaving::BackendServer {
            self.coordinator.turn_cold();
            self.board.update_own(|own| {
                own.leaving = Leaving::No;
                own.state = MemberState::Cold;
            });
        }
    }

    fn record_state(&self, state: MemberState) {
        let state = crate::gossip::state_name(state, Health::Alive).into();
        self.board.record(EventKind::BackendChanged { state });
    }

    fn publish(&self) {
        let own = self.board.own();
        if own.leaving != Leaving::No {
            return;
        }
        let before = own.state;
        let slot_share = self.coordinator.slot_share();
        let weight = if self.failures >= FAILURE_THRESHOLD {
            0
        } else {
            weight_of(slot_share)
        };
        let state = if slot_share >= 1.0 {
            MemberState::Ready
        } else {
            MemberState::Cold
        };
        self.board.update_own(|own| {
            own.weight = weight;
            own.state = state;
        });
        if state != before {
            self.record_state(state);
        }
    }
}

/// Returns the weight for the share of slots that may be used, at least 1.
fn weight_of(slot_share: f64) -> u8 {
    let steps = (slot_share.clamp(0.0, 1.0) * f64::from(FULL_WEIGHT)).round();
    // The clamp keeps the steps between 0 and the full weight.
    (steps as u8).max(1)
}

/// Checks whether the backend server accepts connections, the only check possible without HTTP.
async fn check_port(backend: &Backend) -> CheckResult {
    match backend.connect().await {
        Ok(_) => CheckResult::Healthy,
        Err(_) => CheckResult::Unreachable,
    }
}

async fn check(backend: &Backend, path: &str) -> CheckResult {
    match timeout(RESPONSE_TIMEOUT, fetch_health(backend, path)).await {
        Ok(Some(check)) => check,
        Ok(None) | Err(_) => CheckResult::Unreachable,
    }
}

async fn fetch_health(backend: &Backend, path: &str) -> Option<CheckResult> {
    let mut connection = backend.open().await.ok()?;
    let request = Request::get(path)
        .header("host", "backend")
        .body(Full::<Bytes>::default())
        .ok()?;
    let response = connection.send(request).await.ok()?;
    if response.status().is_success() {
        return Some(CheckResult::Healthy);
    }
    let body = Limited::new(response.into_body(), MAX_LEAVING_BODY_BYTES);
    let text = body.collect().await.ok()?.to_bytes();
    if text.trim_ascii() == LEAVING_BODY {
        return Some(CheckResult::Leaving);
    }
    Some(CheckResult::Unhealthy)
}
