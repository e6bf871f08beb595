//! Decisions about a request: admission, handoff, retries and idempotency.
//!
//! Each agent runs next to one backend server and sees all requests that the server runs. This
//! crate implements the agent's decisions as plain state machines: events are method calls that
//! carry the current time, and each call returns a list of actions. The crate performs no I/O,
//! reads no clock and spawns no threads.
//!
//! ```
//! use std::time::Duration;
//! use buckthornweir_requests::prelude::*;
//!
//! let now = Duration::ZERO;
//! let mut admission = Admission::new(AdmissionConfig::default(), 7, now);
//! let arrival = Arrival { deadline: Duration::from_secs(2), repeatable: false, flow: 1 };
//! let (request, actions) = admission.arrive(now, arrival);
//! assert_eq!(actions, [Action::Run { request }]);
//! ```

mod admission;
mod budget;
mod flow_shares;
mod hedging;
pub mod idempotency;
mod latencies;
mod limit;
pub mod messages;
mod outcome;
mod rate;
mod refusal;
mod reservation;
mod sibling;

pub use admission::{
    Action, Admission, AdmissionConfig, Arrival, Counters, RequestKey, ServingState,
};
pub use budget::{BudgetConfig, RetryBudget};
pub use hedging::{
    HEDGING_WINDOW, HedgeCandidate, HedgeDenial, HedgeResult, Hedging, MIN_HEDGING_DELAY,
};
pub use limit::{Limit, LimitConfig};
pub use outcome::{
    ConnectionUse, Outcome, Progress, Response, connection_after, final_response,
    is_certainly_not_run, may_retry,
};
pub use refusal::{ProblemKind, Refusal, problem_document, problem_document_for};
pub use reservation::ReservationId;
pub use sibling::{Sibling, SiblingState};

/// Id of a process of the cluster.
pub type NodeId = u64;

/// Number that correlates a reservation request with its answer.
pub type Token = u64;

/// Id of a caller's flow; all requests of a flow share it.
pub type FlowId = u64;

/// Common imports.
pub mod prelude {
    pub use crate::{
        Action, Admission, AdmissionConfig, Arrival, HedgeDenial, Limit, LimitConfig, NodeId,
        Outcome, ProblemKind, Progress, Refusal, RequestKey, ServingState, Sibling, SiblingState,
    };
}
