//! Decisions about a request: admission, hand-off, retries and idempotency.
//!
//! An agent stands beside one backend server and sees all of its work. This crate holds the
//! agent's decisions as plain structs: events are method calls that carry the time, and what to do
//! comes back as a list of actions. There is no I/O, no clock and no thread in here.
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
pub use limit::{Limit, LimitConfig};
pub use outcome::{
    ConnectionUse, Outcome, Progress, Response, connection_after, final_response,
    is_certainly_not_run, may_retry,
};
pub use refusal::{ProblemKind, Refusal, problem_document, problem_document_for};
pub use reservation::ReservationId;
pub use sibling::{Sibling, SiblingState};

/// Id of a process of the system.
pub type NodeId = u64;

/// Number by which the asker of a reservation recognises the answer.
pub type Token = u64;

/// Id of a caller's flow, equal for all requests of that flow.
pub type FlowId = u64;

/// Names that most users of this crate import.
pub mod prelude {
    pub use crate::{
        Action, Admission, AdmissionConfig, Arrival, Limit, LimitConfig, NodeId, Outcome,
        ProblemKind, Progress, Refusal, RequestKey, ServingState, Sibling, SiblingState,
    };
}
