//! One request, drawn from a seeded generator.

use buckthornweir_standins::{Traits, headers};
use http::{Method, Request};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};

use crate::scenario::Load;

/// A request before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Draft {
    /// The id, unique over all callers.
    pub id: SmolStr,
    /// The method.
    pub method: Method,
    /// The idempotency key, by which a request that may not be repeated runs at most once.
    pub key: Option<SmolStr>,
    /// The path and query.
    pub path: SmolStr,
}

/// Draws the next request of a service's callers.
pub fn draft(load: &Load, service: &str, rng: &mut ChaCha8Rng) -> Draft {
    let once = rng.random_bool(load.once);
    let keyed = once && rng.random_bool(load.keyed);
    let id = format_smolstr!("{service}-{:016x}", rng.random::<u64>());
    Draft {
        method: if once { Method::POST } else { Method::GET },
        key: keyed.then(|| format_smolstr!("key-{id}")),
        path: format_smolstr!("/{service}?bytes={}", load.bytes),
        id,
    }
}

impl Draft {
    /// Returns whether the request may run more than once.
    #[must_use]
    pub fn traits(&self) -> Traits {
        Traits {
            repeatable: self.method == Method::GET,
        }
    }

    /// Returns the request to send, or nothing when it can't be written as HTTP.
    pub(crate) fn request<B: Default>(&self) -> Option<Request<B>> {
        let mut builder = Request::builder()
            .method(self.method.clone())
            .uri(self.path.as_str())
            .header(headers::REQUEST_ID, self.id.as_str());
        if let Some(key) = &self.key {
            builder = builder.header(headers::IDEMPOTENCY_KEY, key.as_str());
        }
        builder.body(B::default()).ok()
    }
}
