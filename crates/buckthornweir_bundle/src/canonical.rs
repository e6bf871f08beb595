//! The canonical text of a bundle, over which its digest and signature are computed.

use std::fmt::Write;

use sha2::{Digest as _, Sha256};

use crate::model::{Bundle, Domain, Protocol, Service};

/// The SHA-256 digest of a bundle's canonical text.
pub type Digest = [u8; 32];

/// Returns the canonical text, with a fixed order of sections and keys and explicit defaults,
/// except that `second-tries` is omitted when it is 0.
pub fn canonical_text(bundle: &Bundle) -> String {
    let mut text = String::new();
    push_line(&mut text, "[bundle]");
    push_line(&mut text, &format!("version = {}", bundle.version));
    push_line(&mut text, &format!("force = {}", yes_no(bundle.force)));
    for domain in &bundle.domains {
        write_domain(&mut text, domain);
    }
    for service in &bundle.services {
        write_service(&mut text, service);
    }
    text
}

/// Returns the digest of a canonical text.
pub fn digest_of(text: &str) -> Digest {
    Sha256::digest(text.as_bytes()).into()
}

fn push_line(text: &mut String, content: &str) {
    text.push_str(content);
    text.push('\n');
}

fn yes_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}

fn write_domain(text: &mut String, domain: &Domain) {
    push_line(text, &format!("\n[domain {}]", domain.name));
    push_line(text, &format!("region = {}", domain.region));
    let state = if domain.out { "out" } else { "in" };
    push_line(text, &format!("state = {state}"));
}

fn write_service(text: &mut String, service: &Service) {
    let addresses: Vec<String> = service.addresses.iter().map(ToString::to_string).collect();
    let protocol = match service.protocol {
        Protocol::Tcp => "tcp",
        Protocol::Http => "http",
    };
    push_line(text, &format!("\n[service {}]", service.name));
    push_line(text, &format!("addresses = {}", addresses.join(", ")));
    push_line(text, &format!("protocol = {protocol}"));
    push_line(text, &format!("domains = {}", service.domains.join(", ")));
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "slots = {}", service.slots);
    let _ = writeln!(text, "cold = {}", service.cold);
    let _ = writeln!(text, "connections = {}", service.connections);
    let _ = writeln!(text, "queue = {}", service.queue);
    let _ = writeln!(text, "deadline = {}ms", service.deadline.as_millis());
    // The default is omitted, so that a bundle of a release without this key keeps its digest.
    if service.second_tries > 0 {
        let _ = writeln!(text, "second-tries = {}%", service.second_tries);
    }
}
