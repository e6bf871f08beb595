//! What can go wrong with a message.

use std::io;

use quick_error::quick_error;

/// The result of reading or writing a message.
pub type Result<T> = std::result::Result<T, WireError>;

quick_error! {
    /// A message that could not be read or written.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error takes no docs on fields")]
    pub enum WireError {
        /// Fewer bytes than the smallest message.
        Short { length: usize } {
            display("a message of {length} bytes is too short")
        }
        /// More bytes than are accepted.
        Long { length: usize, limit: usize } {
            display("a message of {length} bytes is over the limit of {limit}")
        }
        /// The tag does not fit the key and the bytes.
        Forged {
            display("the message fails authentication")
        }
        /// The bytes are no message.
        Malformed(source: prost::DecodeError) {
            from()
            display("the message cannot be decoded: {source}")
            source(source)
        }
        /// The message has no body that this version knows.
        Empty {
            display("the message has no known body")
        }
        /// The datagram does not hold one IP packet.
        NotEncapsulated { first: u8 } {
            display("the datagram starts with {first:#04x}, which is no IP packet")
        }
        /// The connection failed.
        Io(source: io::Error) {
            from()
            display("connection: {source}")
            source(source)
        }
        /// The other end closed the link.
        Closed {
            display("the link was closed by its other end")
        }
        /// The other end did not answer in time.
        TimedOut {
            display("the other end did not answer in time")
        }
    }
}
