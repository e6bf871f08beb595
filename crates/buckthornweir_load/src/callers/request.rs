//! Generates requests from a seeded random number generator.

use buckthornweir_standins::{Traits, headers};
use http::{Method, Request};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use smol_str::{SmolStr, format_smolstr};

use crate::scenario::Load;

/// The parameters of a generated request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestSpec {
    /// The request id, unique among all callers.
    pub id: SmolStr,
    /// The HTTP method: `POST` if the request may not be repeated, else `GET`.
    pub method: Method,
    /// The idempotency key. A request that has one runs at most once.
    pub key: Option<SmolStr>,
    /// The path and query.
    pub path: SmolStr,
}

/// Generates the next request of a service's callers.
pub fn generate_request(load: &Load, service: &str, rng: &mut ChaCha8Rng) -> RequestSpec {
    let once = rng.random_bool(load.once);
    let keyed = once && rng.random_bool(load.keyed);
    let id = format_smolstr!("{service}-{:016x}", rng.random::<u64>());
    RequestSpec {
        method: if once { Method::POST } else { Method::GET },
        key: keyed.then(|| format_smolstr!("key-{id}")),
        path: format_smolstr!("/{service}?bytes={}", load.bytes),
        id,
    }
}

impl RequestSpec {
    /// Returns the properties of the request that determine whether it may run more than once.
    #[must_use]
    pub fn traits(&self) -> Traits {
        Traits {
            repeatable: self.method == Method::GET,
        }
    }

    /// Builds the HTTP request. Returns `None` if the parameters are not valid in HTTP.
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
