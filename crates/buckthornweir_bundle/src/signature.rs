//! Sign-off of bundles by Ed25519 keys.

use buckthornweir_settings::{Document, value};
use ed25519_dalek::{Signature, Signer, VerifyingKey};
use smol_str::{SmolStr, ToSmolStr};

use crate::canonical::{Digest, canonical_text, digest_of};
use crate::fault::{Fault, Result};
use crate::model::Bundle;
use crate::parse::{SECTIONS, read_bundle};

/// An Ed25519 public key.
pub type PublicKey = [u8; 32];

/// The key of an operator who signs bundles off.
pub struct SigningKey {
    key: ed25519_dalek::SigningKey,
}

impl SigningKey {
    /// Makes a new key from the operating system's random numbers.
    pub fn generate() -> Self {
        Self::from_secret(&rand::random())
    }

    /// Makes the key from its 32 secret bytes.
    pub fn from_secret(secret: &[u8; 32]) -> Self {
        Self {
            key: ed25519_dalek::SigningKey::from_bytes(secret),
        }
    }

    /// Returns the 32 secret bytes.
    pub fn secret(&self) -> [u8; 32] {
        self.key.to_bytes()
    }

    /// Returns the public key that goes into the settings of each node.
    pub fn public(&self) -> PublicKey {
        self.key.verifying_key().to_bytes()
    }
}

/// The keys whose signatures count.
#[derive(Clone, Debug, Default)]
pub struct Trust {
    keys: Vec<PublicKey>,
    revoked: Vec<PublicKey>,
}

impl Trust {
    /// Returns a set that trusts no key.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a trusted key.
    #[must_use]
    pub fn with_key(mut self, key: PublicKey) -> Self {
        self.keys.push(key);
        self
    }

    /// Adds a revoked key, which is refused even where it is also trusted.
    #[must_use]
    pub fn with_revoked(mut self, key: PublicKey) -> Self {
        self.revoked.push(key);
        self
    }
}

/// A bundle with the signature of an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SignedBundle {
    bundle: Bundle,
    digest: Digest,
    key: PublicKey,
    signature: [u8; 64],
}

impl SignedBundle {
    /// Signs `bundle` off with `key`.
    pub fn sign(bundle: Bundle, key: &SigningKey) -> Self {
        let text = canonical_text(&bundle);
        Self {
            digest: digest_of(&text),
            key: key.public(),
            signature: key.key.sign(text.as_bytes()).to_bytes(),
            bundle,
        }
    }

    /// Reads a signed bundle; its signature is not yet verified.
    ///
    /// # Errors
    ///
    /// Returns the first fault with its line, key and what is allowed.
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let mut document = Document::parse(file, text)?;
        let Some(mut section) = document.take_optional("signature") else {
            return Err(Fault::Unsigned { file: file.into() });
        };
        let key = section.required("key", value::hex)?;
        let signature = section.required("value", value::hex)?;
        section.finish()?;
        let bundle = read_bundle(&mut document)?;
        document.finish(SECTIONS)?;
        Ok(Self {
            digest: digest_of(&canonical_text(&bundle)),
            bundle,
            key,
            signature,
        })
    }

    /// Checks the signature against the trusted keys.
    ///
    /// # Errors
    ///
    /// Returns [`Fault::RevokedKey`], [`Fault::UnknownKey`], [`Fault::BadKey`] or
    /// [`Fault::BadSignature`].
    pub fn verify(&self, trust: &Trust) -> Result<()> {
        let key: SmolStr = value::to_hex(&self.key).to_smolstr();
        if trust.revoked.contains(&self.key) {
            return Err(Fault::RevokedKey { key });
        }
        if !trust.keys.contains(&self.key) {
            return Err(Fault::UnknownKey { key });
        }
        let Ok(public) = VerifyingKey::from_bytes(&self.key) else {
            return Err(Fault::BadKey { key });
        };
        let text = canonical_text(&self.bundle);
        let signature = Signature::from_bytes(&self.signature);
        public
            .verify_strict(text.as_bytes(), &signature)
            .map_err(|_| Fault::BadSignature { key })
    }

    /// Returns the canonical text with its signature, as it is stored and sent.
    pub fn to_text(&self) -> String {
        let text = canonical_text(&self.bundle);
        let key = value::to_hex(&self.key);
        let signature = value::to_hex(&self.signature);
        format!("{text}\n[signature]\nkey = {key}\nvalue = {signature}\n")
    }

    /// Returns the bundle.
    pub fn bundle(&self) -> &Bundle {
        &self.bundle
    }

    /// Returns the digest of the canonical text.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Returns the public key that signed.
    pub fn key(&self) -> PublicKey {
        self.key
    }
}
