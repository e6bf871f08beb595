//! Errors of parsing and checking a bundle.

use std::net::SocketAddr;

use buckthornweir_settings::Place;
use quick_error::quick_error;
use smol_str::SmolStr;

/// The result of parsing or checking a bundle.
pub type Result<T> = std::result::Result<T, Fault>;

quick_error! {
    /// Why a bundle is refused. A refused bundle is not applied in part.
    #[derive(Debug)]
    #[allow(missing_docs, reason = "quick_error does not support docs on fields")]
    pub enum Fault {
        /// The text is not a well-formed bundle.
        Text(source: buckthornweir_settings::Fault) {
            from()
            display("{source}")
            source(source)
        }
        /// Two services have the same address.
        AddressTaken { place: Box<Place>, address: SocketAddr, holder: SmolStr } {
            display("{place} holds {address}, which service {holder} holds; \
                     allowed: one service for an address")
        }
        /// A service has no failure domain that is in.
        NoDomainLeft { place: Box<Place> } {
            display("{place} leaves no failure domain that is in; \
                     allowed: at least one, or force = yes in [bundle]")
        }
        /// The bundle exceeds a count limit; `place` is the first item over the limit.
        TooMany { place: Box<Place>, what: &'static str, limit: usize } {
            display("{place} is one too many; allowed: at most {limit} {what}")
        }
        /// The bundle has no signature.
        Unsigned { file: SmolStr } {
            display("{file}: section [signature] is missing; sign the bundle first")
        }
        /// The signing key is not trusted.
        UnknownKey { key: SmolStr } {
            display("the signing key {key} is not trusted")
        }
        /// The signing key is revoked.
        RevokedKey { key: SmolStr } {
            display("the signing key {key} is revoked")
        }
        /// The signature does not match the text.
        BadSignature { key: SmolStr } {
            display("the signature by {key} does not fit the bundle's text")
        }
        /// The key is not a point on the Ed25519 curve.
        BadKey { key: SmolStr } {
            display("{key} is not an Ed25519 public key")
        }
    }
}
