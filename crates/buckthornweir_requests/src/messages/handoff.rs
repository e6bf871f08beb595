//! Messages of hand-off: slots that are reserved and requests that come with them.

/// Load of a backend server, as its agent sees it.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct Load {
    /// Free slots.
    #[prost(uint32, tag = "1")]
    pub free: u32,
    /// Requests that were run lately, in thousandths a second.
    #[prost(uint32, tag = "2")]
    pub rate_milli: u32,
}

/// Asks a sibling to hold a slot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reserve {
    /// Number by which the answer is recognised.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// Time until the request's deadline.
    #[prost(uint64, tag = "2")]
    pub remaining_us: u64,
}

/// A slot is held.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Granted {
    /// The asker's number.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// The reservation.
    #[prost(fixed64, tag = "2")]
    pub reservation: u64,
    /// Load after the grant.
    #[prost(message, optional, tag = "3")]
    pub load: Option<Load>,
}

/// No slot is held.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Declined {
    /// The asker's number.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// Load at the time.
    #[prost(message, optional, tag = "2")]
    pub load: Option<Load>,
}

/// Gives a reservation back that isn't needed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Release {
    /// The reservation.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
}

/// Gives up a request that was handed over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CancelHanded {
    /// The reservation with which the request came.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
}

/// One header of a request or an answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Header {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// A request that is handed over with a reservation.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandedRequest {
    /// The reservation.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
    /// Time until the request's deadline.
    #[prost(uint64, tag = "2")]
    pub remaining_us: u64,
    /// Whether running the request twice does no harm.
    #[prost(bool, tag = "3")]
    pub repeatable: bool,
    /// Flow that the request came in.
    #[prost(fixed64, tag = "4")]
    pub flow: u64,
    /// Method.
    #[prost(string, tag = "5")]
    pub method: String,
    /// Path and query.
    #[prost(string, tag = "6")]
    pub uri: String,
    /// Headers.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    /// Body, or its first part.
    #[prost(bytes = "vec", tag = "8")]
    pub body: Vec<u8>,
    /// Whether more of the body follows as [`BodyPart`].
    #[prost(bool, tag = "9")]
    pub body_follows: bool,
}

/// The answer to a request that was handed over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandedAnswer {
    /// The reservation with which the request came.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
    /// HTTP status.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Body, or its first part.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Whether it is certain that the request was not run.
    #[prost(bool, tag = "5")]
    pub not_run: bool,
    /// Whether more of the body follows as [`BodyPart`].
    #[prost(bool, tag = "6")]
    pub body_follows: bool,
    /// Whether the answer is the agent's own refusal and not the backend server's answer.
    #[prost(bool, tag = "7")]
    pub refused: bool,
    /// Load at the time.
    #[prost(message, optional, tag = "8")]
    pub load: Option<Load>,
}

/// A further part of the body of a handed request or its answer.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BodyPart {
    /// The reservation with which the request came.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
    /// Position of the part, from 1 on.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub data: Vec<u8>,
    /// Whether the body ends here.
    #[prost(bool, tag = "4")]
    pub last: bool,
    /// Whether the body was cut here and is not whole.
    #[prost(bool, tag = "5")]
    pub cut: bool,
}
