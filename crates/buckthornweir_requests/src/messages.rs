//! Messages about requests between the agents of a service.
//!
//! Times are relative, in microseconds, since processes share no clock. The sender's id comes
//! with the link that carries the message.

use prost::Message as _;
use quick_error::quick_error;

/// Most bytes of an encoded message.
pub const MESSAGE_MOST: usize = 256 * 1024;
/// Most headers of a request or an answer.
pub const HEADERS_MOST: usize = 256;
/// Most bytes of an idempotency key.
pub const KEY_MOST: usize = 256;

quick_error! {
    /// Why a message was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum MessageError {
        /// The message is larger than [`MESSAGE_MOST`].
        TooLarge(size: usize) {
            display("message of {size} bytes, at most {MESSAGE_MOST} are taken")
        }
        /// The bytes aren't a message.
        Malformed(err: prost::DecodeError) {
            display("malformed message: {err}")
            source(err)
            from()
        }
        /// The message holds none of the known bodies.
        NoBody {
            display("message without a known body")
        }
        /// A field holds more than it may.
        FieldTooLarge(field: &'static str) {
            display("field {field} is too large")
        }
        /// A field holds a value that it may not.
        BadValue(field: &'static str) {
            display("field {field} has a value that is not allowed")
        }
    }
}

/// Result of decoding a message.
pub type Result<T> = std::result::Result<T, MessageError>;

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

/// Asks a holder of idempotency records for leave to run a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyClaim {
    /// Number by which the answer is recognised.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// The caller's key.
    #[prost(bytes = "vec", tag = "2")]
    pub key: Vec<u8>,
    /// Digest of the request.
    #[prost(fixed64, tag = "3")]
    pub digest: u64,
    /// Time until the request's deadline.
    #[prost(uint64, tag = "4")]
    pub remaining_us: u64,
}

/// Answer to a [`KeyClaim`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyAnswer {
    /// The asker's number.
    #[prost(fixed64, tag = "1")]
    pub token: u64,
    /// What the asker may do.
    #[prost(enumeration = "KeyVerdict", tag = "2")]
    pub verdict: i32,
    /// Id of the claim, where one is granted.
    #[prost(fixed64, tag = "3")]
    pub claim: u64,
    /// The stored answer, where the request ran before.
    #[prost(message, optional, tag = "4")]
    pub answer: Option<StoredAnswer>,
}

/// What the asker of a [`KeyClaim`] may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum KeyVerdict {
    /// The record could not be brought up to date; the request must not run.
    Unreachable = 0,
    /// The request may run.
    Granted = 1,
    /// A request with the key is running.
    Running = 2,
    /// A request with the key ran; its answer is stored.
    Done = 3,
    /// A request with the key may have run.
    Unknown = 4,
    /// The key was used with another request.
    Mismatch = 5,
}

/// Tells the holder of a record how the request ended.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct KeyDone {
    /// The caller's key.
    #[prost(bytes = "vec", tag = "1")]
    pub key: Vec<u8>,
    /// Id of the claim.
    #[prost(fixed64, tag = "2")]
    pub claim: u64,
    /// How the request ended.
    #[prost(enumeration = "KeyEnd", tag = "3")]
    pub end: i32,
    /// The answer, where there is one and it is small enough.
    #[prost(message, optional, tag = "4")]
    pub answer: Option<StoredAnswer>,
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum KeyEnd {
    /// It may have run.
    Unknown = 0,
    /// It ran.
    Done = 1,
    /// It certainly did not run.
    NotRun = 2,
}

/// An answer that is kept for callers who send the request again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StoredAnswer {
    /// HTTP status.
    #[prost(uint32, tag = "1")]
    pub status: u32,
    /// Headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// Body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// Whether the body was too large to be kept.
    #[prost(bool, tag = "4")]
    pub body_dropped: bool,
}

/// Any message about requests.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestMessage {
    /// What it is about.
    #[prost(oneof = "RequestBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 20")]
    pub body: Option<RequestBody>,
}

/// Body of a [`RequestMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum RequestBody {
    /// Asks for a slot.
    #[prost(message, tag = "1")]
    Reserve(Reserve),
    /// A slot is held.
    #[prost(message, tag = "2")]
    Granted(Granted),
    /// No slot is held.
    #[prost(message, tag = "3")]
    Declined(Declined),
    /// A slot isn't needed.
    #[prost(message, tag = "4")]
    Release(Release),
    /// A request is handed over.
    #[prost(message, tag = "5")]
    HandedRequest(HandedRequest),
    /// The answer to a request that was handed over.
    #[prost(message, tag = "6")]
    HandedAnswer(HandedAnswer),
    /// A further part of a body.
    #[prost(message, tag = "7")]
    BodyPart(BodyPart),
    /// A request that was handed over is given up.
    #[prost(message, tag = "8")]
    CancelHanded(CancelHanded),
    /// Asks for leave to run a request with a key.
    #[prost(message, tag = "9")]
    KeyClaim(KeyClaim),
    /// Answer to a claim.
    #[prost(message, tag = "10")]
    KeyAnswer(KeyAnswer),
    /// A claimed request ended.
    #[prost(message, tag = "11")]
    KeyDone(KeyDone),
    /// Load of the backend server, told now and then.
    #[prost(message, tag = "20")]
    Load(Load),
}

impl RequestMessage {
    /// Returns a message with this body.
    pub fn new(body: RequestBody) -> Self {
        Self { body: Some(body) }
    }

    /// Decodes and checks a message.
    ///
    /// # Errors
    ///
    /// Returns an error for a message that is too large or malformed, holds no known body, or
    /// holds a field that is too large or out of range.
    pub fn decode_checked(bytes: &[u8]) -> Result<RequestBody> {
        if bytes.len() > MESSAGE_MOST {
            return Err(MessageError::TooLarge(bytes.len()));
        }
        let body = Self::decode(bytes)?.body.ok_or(MessageError::NoBody)?;
        check(&body)?;
        Ok(body)
    }
}

fn check(body: &RequestBody) -> Result<()> {
    match body {
        RequestBody::HandedRequest(m) => check_headers(&m.headers),
        RequestBody::HandedAnswer(m) => {
            check_status(m.status)?;
            check_headers(&m.headers)
        }
        RequestBody::KeyClaim(m) => check_key(&m.key),
        RequestBody::KeyAnswer(m) => {
            KeyVerdict::try_from(m.verdict).map_err(|_| MessageError::BadValue("verdict"))?;
            check_answer(m.answer.as_ref())
        }
        RequestBody::KeyDone(m) => {
            check_key(&m.key)?;
            KeyEnd::try_from(m.end).map_err(|_| MessageError::BadValue("end"))?;
            check_answer(m.answer.as_ref())
        }
        _ => Ok(()),
    }
}

fn check_answer(answer: Option<&StoredAnswer>) -> Result<()> {
    let Some(answer) = answer else { return Ok(()) };
    check_status(answer.status)?;
    check_headers(&answer.headers)
}

fn check_status(status: u32) -> Result<()> {
    if (100..600).contains(&status) {
        Ok(())
    } else {
        Err(MessageError::BadValue("status"))
    }
}

fn check_headers(headers: &[Header]) -> Result<()> {
    if headers.len() <= HEADERS_MOST {
        Ok(())
    } else {
        Err(MessageError::FieldTooLarge("headers"))
    }
}

fn check_key(key: &[u8]) -> Result<()> {
    match key.len() {
        0 => Err(MessageError::BadValue("key")),
        len if len > KEY_MOST => Err(MessageError::FieldTooLarge("key")),
        _ => Ok(()),
    }
}
