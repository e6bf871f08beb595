//! Messages about requests between the agents of a service.
//!
//! Times are relative, in microseconds, since processes share no clock. The sender's id comes
//! with the link that carries the message.

mod handoff;
mod keys;

use prost::Message as _;
use quick_error::quick_error;

pub use handoff::*;
pub use keys::*;

/// Most bytes of an encoded message.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Most headers of a request or an answer.
pub const MAX_HEADERS: usize = 256;
/// Most holders of a key's record.
pub const MAX_HOLDERS: usize = 8;
/// Most records in one message.
pub const MAX_RECORDS: usize = 200;
/// Most members of a service in one message.
pub const MAX_MEMBERS: usize = 1_024;
/// Most bytes of an idempotency key.
pub const MAX_KEY_BYTES: usize = 256;

quick_error! {
    /// Why a message was not accepted.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum MessageError {
        /// The message is larger than [`MAX_MESSAGE_BYTES`].
        TooLarge(size: usize) {
            display("message of {size} bytes, at most {MAX_MESSAGE_BYTES} are taken")
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

/// Any message about requests.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RequestMessage {
    /// What it is about.
    #[prost(
        oneof = "RequestBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 20"
    )]
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
    /// The end of a claimed request was noted.
    #[prost(message, tag = "12")]
    KeyStored(KeyStored),
    /// Asks for records.
    #[prost(message, tag = "13")]
    KeySync(KeySync),
    /// Records.
    #[prost(message, tag = "14")]
    KeyRecords(KeyRecords),
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
        if bytes.len() > MAX_MESSAGE_BYTES {
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
        RequestBody::KeyClaim(m) => {
            check_key(&m.key)?;
            check_count("holders", m.holders.len(), MAX_HOLDERS)
        }
        RequestBody::KeyRecords(m) => check_records(m),
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

fn check_records(message: &KeyRecords) -> Result<()> {
    Standing::try_from(message.standing).map_err(|_| MessageError::BadValue("standing"))?;
    if message.part >= message.parts {
        return Err(MessageError::BadValue("part"));
    }
    check_count("records", message.records.len(), MAX_RECORDS)?;
    check_count("settled", message.settled.len(), MAX_MEMBERS)?;
    check_count("left", message.left.len(), MAX_MEMBERS)?;
    message
        .records
        .iter()
        .try_for_each(|record| check_key(&record.key))
}

fn check_count(field: &'static str, count: usize, most: usize) -> Result<()> {
    if count <= most {
        Ok(())
    } else {
        Err(MessageError::FieldTooLarge(field))
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
    check_count("headers", headers.len(), MAX_HEADERS)
}

fn check_key(key: &[u8]) -> Result<()> {
    match key.len() {
        0 => Err(MessageError::BadValue("key")),
        len if len > MAX_KEY_BYTES => Err(MessageError::FieldTooLarge("key")),
        _ => Ok(()),
    }
}
