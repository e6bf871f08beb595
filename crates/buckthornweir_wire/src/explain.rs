//! The operator's request to explain a route, and its reply.

/// Requests where a caller's request would go, without sending it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ExplainRequest {
    /// The caller's address and port.
    #[prost(string, tag = "1")]
    pub caller: String,
    /// The address and port that the caller connects to.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The idempotency key of the request, or empty.
    #[prost(bytes = "vec", tag = "3")]
    pub key: Vec<u8>,
}

/// Where a caller's request would go, according to the replying process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ExplainReply {
    /// Whether the process can explain the route. Without an explanation, only `process` and
    /// `version` are set.
    #[prost(enumeration = "ExplainOutcome", tag = "1")]
    pub outcome: i32,
    /// The name of the process.
    #[prost(string, tag = "2")]
    pub process: String,
    /// The version of the bundle in force at the process, or 0 for none.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// Time since the process rebuilt its view of the services, in milliseconds. It rebuilds the view
    /// when the members or the bundle change.
    #[prost(uint64, tag = "4")]
    pub view_age_millis: u64,
    /// The service that the address belongs to.
    #[prost(string, tag = "5")]
    pub service: String,
    /// The agents of the service: those that accept the flow in the order in which they are tried,
    /// then the others.
    #[prost(message, repeated, tag = "6")]
    pub candidates: Vec<CandidateRow>,
    /// The name of the agent to which the chosen one passes on a flow that it doesn't accept, or
    /// empty.
    #[prost(string, tag = "7")]
    pub next: String,
    /// The limits for requests at each agent of an HTTP service; none for other services.
    #[prost(message, optional, tag = "8")]
    pub limits: Option<RequestLimits>,
    /// The names of the agents that hold the record of the idempotency key.
    #[prost(string, repeated, tag = "9")]
    pub key_holders: Vec<String>,
}

/// Whether a process can explain a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum ExplainOutcome {
    /// An unknown outcome, for example from a process of a later release.
    Unspecified = 0,
    /// The reply contains the explanation.
    Explained = 1,
    /// The process has no balancer role, so it places no flows.
    NotBalancer = 2,
    /// No bundle is in force at the process.
    NoBundle = 3,
    /// No service has the address.
    NoService = 4,
    /// The request doesn't contain two addresses of the same IP version.
    Invalid = 5,
}

/// One agent of the service.
#[derive(Clone, PartialEq, prost::Message)]
pub struct CandidateRow {
    /// The name of the agent.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The ID of the agent.
    #[prost(uint64, tag = "2")]
    pub node: u64,
    /// The failure domain of the agent.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// The state of the agent: cold, ready, draining or out.
    #[prost(string, tag = "4")]
    pub state: String,
    /// The weight step that the agent announces, from 0 to 16.
    #[prost(uint32, tag = "5")]
    pub weight: u32,
    /// The fraction of the service's new flows that the agent gets, from 0 to 1.
    #[prost(double, tag = "6")]
    pub share: f64,
    /// The free slots that the agent announces, rounded down to a power of two.
    #[prost(uint32, tag = "7")]
    pub free: u32,
    /// Why the agent is or isn't chosen.
    #[prost(enumeration = "CandidateVerdict", tag = "8")]
    pub verdict: i32,
}

/// Why an agent is or isn't chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum CandidateVerdict {
    /// An unknown reason, for example from a process of a later release.
    Unspecified = 0,
    /// The placement selects the agent.
    Chosen = 1,
    /// The agent accepts new flows and ranks after the chosen one.
    RankedLower = 2,
    /// The agent is draining.
    Draining = 3,
    /// The agent announces weight step 0.
    NoWeight = 4,
    /// The failure domain of the agent is out.
    DomainOut = 5,
}

/// The limits for requests at each agent of an HTTP service.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct RequestLimits {
    /// The maximum number of siblings that are asked for a slot per attempt.
    #[prost(uint32, tag = "1")]
    pub siblings: u32,
    /// The maximum time for which one sibling is asked, in milliseconds.
    #[prost(uint64, tag = "2")]
    pub ask_millis: u64,
    /// The maximum number of queued requests.
    #[prost(uint32, tag = "3")]
    pub queue: u32,
    /// The maximum time in the queue, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub wait_millis: u64,
    /// The maximum number of attempts per request, including the first.
    #[prost(uint32, tag = "5")]
    pub attempts: u32,
    /// The maximum share of hedged requests in percent; 0 for none.
    #[prost(uint32, tag = "6")]
    pub hedged_percent: u32,
}
