//! Messages between an operator's client and a process.

/// A request of an operator or its reply; `id` joins the two.
#[derive(Clone, PartialEq, prost::Message)]
pub struct OperatorMessage {
    /// Chosen by the client.
    #[prost(uint64, tag = "1")]
    pub id: u64,
    /// What is asked.
    #[prost(oneof = "Request", tags = "10, 11, 12, 13, 14, 15, 16, 17")]
    pub request: Option<Request>,
    /// What is answered.
    #[prost(oneof = "Reply", tags = "20, 21, 22, 23, 24, 25, 26, 27")]
    pub reply: Option<Reply>,
}

/// What an operator asks.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Request {
    /// How the process stands.
    #[prost(message, tag = "10")]
    Status(StatusRequest),
    /// Which members the process knows.
    #[prost(message, tag = "11")]
    Members(MembersRequest),
    /// To put a signed bundle in force.
    #[prost(message, tag = "12")]
    Push(PushRequest),
    /// The bundle that the process holds.
    #[prost(message, tag = "13")]
    Bundle(BundleRequest),
    /// The events of the process.
    #[prost(message, tag = "14")]
    Timeline(TimelineRequest),
    /// The metrics of the process.
    #[prost(message, tag = "15")]
    Metrics(MetricsRequest),
    /// To take no new work.
    #[prost(message, tag = "16")]
    Drain(DrainRequest),
    /// To change or list the control processes.
    #[prost(message, tag = "17")]
    Control(ControlChange),
}

/// What a process answers.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Reply {
    /// How the process stands.
    #[prost(message, tag = "20")]
    Status(StatusReply),
    /// Which members the process knows.
    #[prost(message, tag = "21")]
    Members(MembersReply),
    /// What became of a push.
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
    /// Whether the process drains.
    #[prost(message, tag = "26")]
    Drain(DrainReply),
    /// The control processes.
    #[prost(message, tag = "27")]
    Control(ControlReply),
}

/// Asks how the process stands.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct StatusRequest {}

/// How a process stands.
#[derive(Clone, PartialEq, prost::Message)]
pub struct StatusReply {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its roles, separated by commas.
    #[prost(string, tag = "2")]
    pub roles: String,
    /// Its failure domain.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// The service of its backend server, if it is an agent.
    #[prost(string, tag = "4")]
    pub service: String,
    /// The version of its bundle, 0 for none.
    #[prost(uint64, tag = "5")]
    pub version: u64,
    /// The digest of its bundle.
    #[prost(bytes = "vec", tag = "6")]
    pub digest: Vec<u8>,
    /// Its open flows.
    #[prost(uint64, tag = "7")]
    pub flows: u64,
    /// Requests that run at its backend server.
    #[prost(uint64, tag = "8")]
    pub running: u64,
    /// Its admission limit.
    #[prost(uint64, tag = "9")]
    pub limit: u64,
    /// Members that it knows to be alive.
    #[prost(uint64, tag = "10")]
    pub members: u64,
    /// Its state: cold, ready, draining or left.
    #[prost(string, tag = "11")]
    pub state: String,
    /// Its part in the control log: leader, follower, learner, or empty.
    #[prost(string, tag = "12")]
    pub quorum: String,
    /// The term of the control log.
    #[prost(uint64, tag = "13")]
    pub term: u64,
}

/// Asks which members the process knows.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MembersRequest {}

/// The members that a process knows.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MembersReply {
    /// A row for each.
    #[prost(message, repeated, tag = "1")]
    pub rows: Vec<MemberRow>,
}

/// One member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRow {
    /// Its name.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Its id.
    #[prost(uint64, tag = "2")]
    pub node: u64,
    /// Its roles, separated by commas.
    #[prost(string, tag = "3")]
    pub roles: String,
    /// Its failure domain.
    #[prost(string, tag = "4")]
    pub domain: String,
    /// Its service.
    #[prost(string, tag = "5")]
    pub service: String,
    /// Its state.
    #[prost(string, tag = "6")]
    pub state: String,
    /// Its health as this process sees it.
    #[prost(string, tag = "7")]
    pub health: String,
    /// The version of its bundle.
    #[prost(uint64, tag = "8")]
    pub version: u64,
    /// Where it takes links.
    #[prost(string, tag = "9")]
    pub control: String,
}

/// Asks to put a signed bundle in force.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PushRequest {
    /// The canonical text with its signature.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// What became of a push.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PushReply {
    /// The outcome.
    #[prost(enumeration = "PushOutcome", tag = "1")]
    pub outcome: i32,
    /// The version that was pushed, or the newest one for a stale push.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// For a conflict, the digest that holds the version.
    #[prost(bytes = "vec", tag = "3")]
    pub winner: Vec<u8>,
    /// For another leader, where it takes links; empty when it is not known.
    #[prost(string, tag = "4")]
    pub leader: String,
    /// For an invalid bundle, what is wrong.
    #[prost(string, tag = "5")]
    pub fault: String,
}

/// The outcome of a push.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum PushOutcome {
    /// An outcome that this version does not know.
    Unspecified = 0,
    /// The bundle is stored by a quorum.
    Accepted = 1,
    /// The same bundle had been stored before.
    Same = 2,
    /// Another bundle holds the version.
    Conflict = 3,
    /// A higher version is in force.
    Stale = 4,
    /// The text or its signature is refused.
    Invalid = 5,
    /// Another control VM leads.
    NotLeader = 6,
    /// No quorum can be reached; nothing was stored.
    NoQuorum = 7,
    /// Whether the bundle was stored is not known; sending it again is safe.
    Unknown = 8,
    /// The process has no control role.
    NotControl = 9,
}

/// Asks for the bundle that the process holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleRequest {
    /// Digest of the whole text that the asker holds; empty to be sent the whole bundle.
    #[prost(bytes = "vec", tag = "1")]
    pub base: Vec<u8>,
    /// Version that the asker holds; nothing is sent unless the process holds a higher one.
    #[prost(uint64, tag = "2")]
    pub version: u64,
}

/// The bundle that a process holds.
#[derive(Clone, PartialEq, prost::Message)]
pub struct BundleReply {
    /// The canonical text with its signature; empty for none, and where there are differences.
    #[prost(string, tag = "1")]
    pub text: String,
    /// Differences that lead, one after the other, from the asker's text to the bundle that the process
    /// holds.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub differences: Vec<Vec<u8>>,
}

/// Asks for events.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TimelineRequest {
    /// Only events after this time, milliseconds since the Unix epoch.
    #[prost(uint64, tag = "1")]
    pub since_millis: u64,
    /// Only events of this kind, or all when empty.
    #[prost(string, tag = "2")]
    pub kind: String,
    /// Only events about this flow or request, or all when empty.
    #[prost(string, tag = "3")]
    pub subject: String,
}

/// The events of a process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct TimelineReply {
    /// One JSON object for each event, oldest first.
    #[prost(string, repeated, tag = "1")]
    pub events: Vec<String>,
}

/// Asks for metrics.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct MetricsRequest {}

/// The metrics of a process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MetricsReply {
    /// The text format of Prometheus.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// Asks to take no new work.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DrainRequest {}

/// Whether the process drains.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct DrainReply {
    /// True for an agent, which now drains.
    #[prost(bool, tag = "1")]
    pub draining: bool,
}

/// Asks to change the control processes by one step, or to list them when nothing is set.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct ControlChange {
    /// The identity of the member that changes.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Lets a learner vote.
    #[prost(bool, tag = "2")]
    pub promote: bool,
    /// Removes the member.
    #[prost(bool, tag = "3")]
    pub remove: bool,
    /// The identity of the learner that takes the member's place, or 0.
    #[prost(fixed64, tag = "4")]
    pub replaced_by: u64,
}

/// The control processes.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlReply {
    /// A row for each; empty when the change was not made.
    #[prost(message, repeated, tag = "1")]
    pub members: Vec<ControlMember>,
    /// Why the change was not made, or empty.
    #[prost(string, tag = "2")]
    pub fault: String,
    /// Where the leader takes links, when another process leads.
    #[prost(string, tag = "3")]
    pub leader: String,
}

/// One control process.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ControlMember {
    /// The identity of its data folder.
    #[prost(fixed64, tag = "1")]
    pub id: u64,
    /// Where it takes links.
    #[prost(string, tag = "2")]
    pub address: String,
    /// Voter, learner or pending.
    #[prost(string, tag = "3")]
    pub standing: String,
    /// Whether it leads.
    #[prost(bool, tag = "4")]
    pub leads: bool,
}

impl OperatorMessage {
    /// Returns a message that asks.
    pub fn ask(id: u64, request: Request) -> Self {
        Self {
            id,
            request: Some(request),
            reply: None,
        }
    }

    /// Returns a message that answers `id`.
    pub fn answer(id: u64, reply: Reply) -> Self {
        Self {
            id,
            request: None,
            reply: Some(reply),
        }
    }
}
