//! Messages between an operator's client and a process.

use crate::explain::{ExplainReply, ExplainRequest};

/// A request from an operator, or the reply to it with the same `id`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OperatorMessage {
    /// The ID that the client chose for the request.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// The request, unless this is a reply.
    #[prost(oneof = "Request", tags = "10, 11, 12, 13, 14, 15, 16, 17, 18")]
    pub request: Option<Request>,
    /// The reply, unless this is a request.
    #[prost(oneof = "Reply", tags = "20, 21, 22, 23, 24, 25, 26, 27, 28")]
    pub reply: Option<Reply>,
}

/// The kinds of requests from an operator.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Request {
    /// Requests the status of the process.
    #[prost(message, tag = "10")]
    Status(StatusRequest),
    /// Requests the members that the process knows.
    #[prost(message, tag = "11")]
    Members(MembersRequest),
    /// Puts a signed bundle in force.
    #[prost(message, tag = "12")]
    Push(PushRequest),
    /// Requests the bundle that the process holds.
    #[prost(message, tag = "13")]
    Bundle(BundleRequest),
    /// Requests the events of the process.
    #[prost(message, tag = "14")]
    Timeline(TimelineRequest),
    /// Requests the metrics of the process.
    #[prost(message, tag = "15")]
    Metrics(MetricsRequest),
    /// Starts draining the process.
    #[prost(message, tag = "16")]
    Drain(DrainRequest),
    /// Changes or lists the control processes.
    #[prost(message, tag = "17")]
    Control(ControlChange),
    /// Requests an explanation of where a caller's request would go. Releases before this request
    /// send no reply to it.
    #[prost(message, tag = "18")]
    Explain(ExplainRequest),
}

/// The kinds of replies from a process.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Reply {
    /// The status of the process.
    #[prost(message, tag = "20")]
    Status(StatusReply),
    /// The members that the process knows.
    #[prost(message, tag = "21")]
    Members(MembersReply),
    /// The outcome of a push.
    #[prost(message, tag = "22")]
    Push(PushReply),
    /// The bundle that the process holds.
    #[prost(message, tag = "23")]
    Bundle(BundleReply),
    /// The events of the process.
    #[prost(message, tag = "24")]
    Timeline(TimelineReply),
    /// The metrics of the process.
    #[prost(message, tag = "25")]
    Metrics(MetricsReply),
    /// Whether the process is draining.
    #[prost(message, tag = "26")]
    Drain(DrainReply),
    /// The control processes.
    #[prost(message, tag = "27")]
    Control(ControlReply),
    /// Where a caller's request would go.
    #[prost(message, tag = "28")]
    Explain(ExplainReply),
}

/// Requests the status of the process.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StatusRequest {}

/// The status of a process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReply {
    /// The name of the process.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The roles of the process, separated by commas.
    #[prost(string, tag = "2")]
    pub roles: String,
    /// The failure domain of the process.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// The service of the backend server; empty unless the process is an agent.
    #[prost(string, tag = "4")]
    pub service: String,
    /// The version of the bundle in force, or 0 for none.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// The digest of the bundle in force.
    #[prost(bytes = "vec", tag = "6")]
    pub digest: Vec<u8>,
    /// The number of open flows.
    #[prost(uint64, tag = "7")]
    pub flows: u64,
    /// The number of requests running at the backend server.
    #[prost(uint64, tag = "8")]
    pub running: u64,
    /// The admission limit, in concurrent requests.
    #[prost(uint64, tag = "9")]
    pub limit: u64,
    /// The number of members known to be alive.
    #[prost(uint64, tag = "10")]
    pub members: u64,
    /// The state of the process: cold, ready, draining or left.
    #[prost(string, tag = "11")]
    pub state: String,
    /// The role of the process in the control log: leader, follower, learner, or empty.
    #[prost(string, tag = "12")]
    pub quorum: String,
    /// The current term of the control log.
    #[prost(uint64, tag = "13")]
    pub term: u64,
}

/// Requests the members that the process knows.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MembersRequest {}

/// The members that a process knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembersReply {
    /// One row for each member.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<MemberRow>,
}

/// One member, as the replying process knows it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRow {
    /// The name of the member.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The ID of the member.
    #[prost(uint64, tag = "2")]
    pub node: u64,
    /// The roles of the member, separated by commas.
    #[prost(string, tag = "3")]
    pub roles: String,
    /// The failure domain of the member.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// The service of the member.
    #[prost(string, tag = "5")]
    pub service: String,
    /// The state of the member.
    #[prost(string, tag = "6")]
    pub state: String,
    /// The health of the member, as observed by the replying process.
    #[prost(string, tag = "7")]
    pub health: String,
    /// The version of the member's bundle.
    #[prost(uint64, tag = "8")]
    pub version: u64,
    /// The address where the member accepts links.
    #[prost(string, tag = "9")]
    pub control: String,
}

/// Requests that a signed bundle be put in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PushRequest {
    /// The canonical text with its signature.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// The reply to a push.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PushReply {
    /// The outcome of the push.
    #[prost(enumeration = "PushOutcome", tag = "1")]
    pub outcome: i32,
    /// The pushed version, or the newest version when the push is stale.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// On a conflict, the digest of the bundle that was stored under this version.
    #[prost(bytes = "vec", tag = "3")]
    pub winner: Vec<u8>,
    /// When another process leads, the address where it accepts links; empty when unknown.
    #[prost(string, tag = "4")]
    pub leader: String,
    /// For an invalid bundle, the reason.
    #[prost(string, tag = "5")]
    pub fault: String,
}

/// The outcome of a push.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum PushOutcome {
    /// An unknown outcome, for example from a process of a later release.
    Unspecified = 0,
    /// A quorum stored the bundle.
    Accepted = 1,
    /// The same bundle was stored earlier.
    Same = 2,
    /// A different bundle was stored under the same version.
    Conflict = 3,
    /// A higher version is in force.
    Stale = 4,
    /// The text or its signature is invalid.
    Invalid = 5,
    /// Another control VM is the leader.
    NotLeader = 6,
    /// No quorum is reachable; nothing was stored.
    NoQuorum = 7,
    /// It is unknown whether the bundle was stored; retrying is safe.
    Unknown = 8,
    /// The process does not have the control role.
    NotControl = 9,
}

/// Requests the bundle that the process holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleRequest {
    /// The digest of the complete text that the requester holds, or empty to request the complete
    /// bundle.
    #[prost(bytes = "vec", tag = "1")]
    pub base: Vec<u8>,
    /// The version that the requester holds. The reply is empty unless the process holds a higher
    /// one.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// The bundle that a process holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleReply {
    /// The canonical text with its signature; empty when there is no bundle to send or the reply
    /// contains differences.
    #[prost(string, tag = "1")]
    pub text: String,
    /// Differences that, applied in order, turn the requester's text into that of the process.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub differences: Vec<Vec<u8>>,
}

/// Requests events.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TimelineRequest {
    /// Selects events after this time, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub since_millis: u64,
    /// Selects events of this kind, or of all kinds when empty.
    #[prost(string, tag = "2")]
    pub kind: String,
    /// Selects events about this flow or request, or all events when empty.
    #[prost(string, tag = "3")]
    pub subject: String,
}

/// The events of a process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TimelineReply {
    /// The events as JSON objects, oldest first.
    #[prost(string, repeated, tag = "1")]
    pub events: Vec<String>,
}

/// Requests metrics.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MetricsRequest {}

/// The metrics of a process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MetricsReply {
    /// The metrics in the text format of Prometheus.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// Requests that the process drain, so that it accepts no new work.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DrainRequest {}

/// Whether the process is draining.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DrainReply {
    /// True for an agent, which is now draining; other processes cannot drain.
    #[prost(bool, tag = "1")]
    pub draining: bool,
}

/// Requests one change of the control processes, or a list of them when no field is set.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ControlChange {
    /// The ID of the member to change.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Promotes the member from learner to voter.
    #[prost(bool, tag = "2")]
    pub promote: bool,
    /// Removes the member.
    #[prost(bool, tag = "3")]
    pub remove: bool,
    /// The ID of the learner that replaces the member, or 0.
    #[prost(fixed64, tag = "4")]
    pub replaced_by: u64,
}

/// The control processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlReply {
    /// One row for each control process; empty when the change was not made.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<ControlMember>,
    /// Why the change was not made, or empty.
    #[prost(string, tag = "2")]
    pub fault: String,
    /// The address where the leader accepts links, when another process is the leader.
    #[prost(string, tag = "3")]
    pub leader: String,
    /// Whether the change may have been made although `fault` is set.
    #[prost(bool, tag = "4")]
    pub unknown: bool,
}

/// One control process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlMember {
    /// The ID stored in the data folder of the process.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// The address where the process accepts links.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The membership status in the control log: voter, learner or pending.
    #[prost(string, tag = "3")]
    pub standing: String,
    /// Whether the process is the leader.
    #[prost(bool, tag = "4")]
    pub leads: bool,
}

impl OperatorMessage {
    /// Creates a request message.
    pub fn ask(id: u64, request: Request) -> Self {
        Self {
            id,
            request: Some(request),
            reply: None,
        }
    }

    /// Creates the reply to the request with this `id`.
    pub fn answer(id: u64, reply: Reply) -> Self {
        Self {
            id,
            request: None,
            reply: Some(reply),
        }
    }
}
