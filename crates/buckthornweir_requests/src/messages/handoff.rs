//! Messages of the handoff: reservations of slots, and the requests handed over with them.

use std::time::Duration;

/// Load of a backend server, as measured by its agent.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Message)]
pub struct Load {
    /// Number of free slots.
    #[prost(uint32, tag = "1")]
    pub free: u32,
    /// Recent rate of requests, in thousandths per second.
    #[prost(uint32, tag = "2")]
    pub rate_milli: u32,
    /// 95th percentile of the backend server's response times in microseconds; 0 if unknown.
    #[prost(uint32, tag = "3")]
    pub response_us: u32,
}

/// Factor between rates and the thousandths in messages.
const MILLI: f64 = 1_000.0;

impl Load {
    /// Returns a load with these free slots, requests per second and response time.
    pub fn new(free: u32, rate: f64, response: Option<Duration>) -> Self {
        let micros = response.map_or(0, |time| time.as_micros().max(1));
        Self {
            free,
            rate_milli: (rate * MILLI) as u32,
            response_us: u32::try_from(micros).unwrap_or(u32::MAX),
        }
    }

    /// Returns the rate in requests per second.
    pub fn rate(&self) -> f64 {
        f64::from(self.rate_milli) / MILLI
    }

    /// Returns the 95th percentile of the response times, or `None` if it is unknown.
    pub fn response(&self) -> Option<Duration> {
        (self.response_us > 0).then(|| Duration::from_micros(u64::from(self.response_us)))
    }
}

/// Asks a sibling to reserve a slot.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Reserve {
    /// Number that correlates the answer.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// Time until the request's deadline.
    #[prost(uint64, tag = "2")]
    pub remaining_us: u64,
    /// Whether the slot is for a hedged request.
    #[prost(bool, tag = "3")]
    pub hedge: bool,
}

/// Grants a reservation.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Granted {
    /// Token of the [`Reserve`] request.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// The reservation.
    #[prost(fixed64, tag = "2")]
    pub reservation: u64,
    /// Load of the granting agent after the grant.
    #[prost(message, optional, tag = "3")]
    pub load: Option<Load>,
}

/// Declines a reservation.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Declined {
    /// Token of the [`Reserve`] request.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// Load of the declining agent.
    #[prost(message, optional, tag = "2")]
    pub load: Option<Load>,
}

/// Releases a reservation that isn't needed.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Release {
    /// The reservation.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
}

/// Cancels a request that was handed over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CancelHanded {
    /// The reservation that the request used.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
}

/// One header of a request or a response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Header {
    /// Name in lower case.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Value.
    #[prost(bytes = "vec", tag = "2")]
    pub value: Vec<u8>,
}

/// A request handed over with a reservation.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandedRequest {
    /// The reservation.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
    /// Time until the request's deadline.
    #[prost(uint64, tag = "2")]
    pub remaining_us: u64,
    /// Whether the request is safe to run twice.
    #[prost(bool, tag = "3")]
    pub repeatable: bool,
    /// Flow in which the request arrived.
    #[prost(fixed64, tag = "4")]
    pub flow: u64,
    /// HTTP method.
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

/// The response to a request that was handed over.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HandedAnswer {
    /// The reservation that the request used.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
    /// HTTP status code.
    #[prost(uint32, tag = "2")]
    pub status: u32,
    /// Headers.
    #[prost(message, repeated, tag = "3")]
    pub headers: Vec<Header>,
    /// Body, or its first part.
    #[prost(bytes = "vec", tag = "4")]
    pub body: Vec<u8>,
    /// Whether the request certainly did not run.
    #[prost(bool, tag = "5")]
    pub not_run: bool,
    /// Whether more of the body follows as [`BodyPart`].
    #[prost(bool, tag = "6")]
    pub body_follows: bool,
    /// Whether the response is a refusal by the agent rather than a response of the backend server.
    #[prost(bool, tag = "7")]
    pub refused: bool,
    /// Load of the responding agent.
    #[prost(message, optional, tag = "8")]
    pub load: Option<Load>,
}

/// A further part of the body of a handed-over request or its response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct BodyPart {
    /// The reservation that the request used.
    #[prost(fixed64, tag = "1")]
    pub reservation: u64,
    /// Index of the part, starting at 1.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// Bytes of the part.
    #[prost(bytes = "vec", tag = "3")]
    pub data: Vec<u8>,
    /// Whether the body ends here.
    #[prost(bool, tag = "4")]
    pub last: bool,
    /// Whether the body was cut here and is incomplete.
    #[prost(bool, tag = "5")]
    pub cut: bool,
}
