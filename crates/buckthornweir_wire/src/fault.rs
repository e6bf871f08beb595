//! Errors of reading and writing messages.

use std::io;

use quick_error::quick_error;

/// The result of reading or writing a message.
pub type Result<T> = std::result::Result<T, WireError>;

quick_error! {
    /// Why a message could not be read or written.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error does not support docs on fields")]
    pub enum WireError {
        /// The message is shorter than the smallest valid one.
        Short { length: usize } {
            display("a message of {length} bytes is too short")
        }
        /// The message is longer than the limit.
        Long { length: usize, limit: usize } {
            display("a message of {length} bytes is over the limit of {limit}")
        }
        /// The authentication tag does not match the key and the bytes.
        Forged {
            display("the message fails authentication")
        }
        /// The bytes could not be decoded.
        Malformed(source: prost::DecodeError) {
            from()
            display("the message cannot be decoded: {source}")
            source(source)
        }
        /// The message has no body of a known kind.
        Empty {
            display("the message has no known body")
        }
        /// The datagram does not contain an IP packet.
        NotEncapsulated { first: u8 } {
            display("the datagram starts with {first:#04x}, which is no IP packet")
        }
        /// The connection failed.
        Io(source: io::Error) {
            from()
            display("connection: {source}")
            source(source)
        }
        /// The peer closed the link.
        Closed {
            display("the peer closed the link")
        }
        /// The peer did not answer in time.
        TimedOut {
            display("the peer did not answer in time")
        }
    }
}
