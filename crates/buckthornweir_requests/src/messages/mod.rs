//! Messages about requests between the agents of a service.
//!
//! Times are relative, in microseconds, since the processes share no clock. The sender's id is
//! known from the link that carries the message.

mod handoff;
mod keys;

use prost::Message as _;
use quick_error::quick_error;

pub use handoff::*;
pub use keys::*;

/// Maximum size of an encoded message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Maximum number of headers of a request or a response.
pub const MAX_HEADERS: usize = 256;
/// Maximum number of holders of a key's record.
pub const MAX_HOLDERS: usize = 8;
/// Maximum number of records in one message.
pub const MAX_RECORDS: usize = 200;
/// Maximum number of service members in one message.
pub const MAX_MEMBERS: usize = 1_024;
/// Maximum size of an idempotency key in bytes.
pub const MAX_KEY_BYTES: usize = 256;

quick_error! {
    /// Error from decoding a message.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum MessageError {
        /// The message is larger than [`MAX_MESSAGE_BYTES`].
        TooLarge(size: usize) {
            display("message of {size} bytes, at most {MAX_MESSAGE_BYTES} are taken")
        }
        /// The bytes aren't a valid message.
        Malformed(err: prost::DecodeError) {
            display("malformed message: {err}")
            source(err)
            from()
        }
        /// The message has no known body.
        NoBody {
            display("message without a known body")
        }
        /// A field exceeds its size limit.
        FieldTooLarge(field: &'static str) {
            display("field {field} is too large")
        }
        /// A field has an invalid value.
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
    /// Body of the message.
    #[prost(
        oneof = "RequestBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 20"
    )]
    pub body: Option<RequestBody>,
}

/// Body of a [`RequestMessage`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum RequestBody {
    /// Requests a slot.
    #[prost(message, tag = "1")]
    Reserve(Reserve),
    /// Grants a slot.
    #[prost(message, tag = "2")]
    Granted(Granted),
    /// Declines to reserve a slot.
    #[prost(message, tag = "3")]
    Declined(Declined),
    /// Releases a reservation that isn't needed.
    #[prost(message, tag = "4")]
    Release(Release),
    /// Hands a request over.
    #[prost(message, tag = "5")]
    HandedRequest(HandedRequest),
    /// Responds to a request that was handed over.
    #[prost(message, tag = "6")]
    HandedAnswer(HandedAnswer),
    /// Carries a further part of a body.
    #[prost(message, tag = "7")]
    BodyPart(BodyPart),
    /// Cancels a request that was handed over.
    #[prost(message, tag = "8")]
    CancelHanded(CancelHanded),
    /// Asks for permission to run a request with an idempotency key.
    #[prost(message, tag = "9")]
    KeyClaim(KeyClaim),
    /// Answers a claim.
    #[prost(message, tag = "10")]
    KeyAnswer(KeyAnswer),
    /// Reports the end of a claimed request.
    #[prost(message, tag = "11")]
    KeyDone(KeyDone),
    /// Acknowledges the end of a claimed request.
    #[prost(message, tag = "12")]
    KeyStored(KeyStored),
    /// Requests records.
    #[prost(message, tag = "13")]
    KeySync(KeySync),
    /// Carries records.
    #[prost(message, tag = "14")]
    KeyRecords(KeyRecords),
    /// Reports the load of the backend server periodically.
    #[prost(message, tag = "20")]
    Load(Load),
}

impl RequestMessage {
    /// Returns a message with the given body.
    pub fn new(body: RequestBody) -> Self {
        Self { body: Some(body) }
    }

    /// Decodes and validates a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is too large or malformed, has no known body, or has a field
    /// that is too large or out of range.
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

fn check_count(field: &'static str, count: usize, max: usize) -> Result<()> {
    if count <= max {
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
