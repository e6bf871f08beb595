//! Measures signed bundles (size, time to parse and to verify) and differences of one key (size, time to
//! compute and to apply) by number of services.
//!
//! Run it with `cargo bench --bench bundles`.

mod slopes;

use std::hint::black_box;

use buckthornweir_bundle::prelude::*;
use buckthornweir_bundle::{TextDifference, rebuild};
use slopes::{Point, median_nanos, print_fit};

const SERVICES: [usize; 3] = [10, 100, 1_100];
const DOMAINS: usize = 7;
const ROUNDS: usize = 15;

fn main() -> buckthornweir_bundle::Result<()> {
    let key = SigningKey::from_secret(&[1; 32]);
    let trust = Trust::new().with_key(key.public());
    let (mut bytes, mut parse_times, mut verify_times) = (Vec::new(), Vec::new(), Vec::new());
    for count in SERVICES {
        let bundle = Bundle::parse("bench.ini", &bundle_text(count))?;
        let signed = SignedBundle::sign(bundle, &key);
        let text = signed.to_text();
        bytes.push(Point::new(count, text.len() as f64));
        let nanos = median_nanos(ROUNDS, 20, || {
            let _ = black_box(SignedBundle::parse("bench.ini", black_box(&text)));
        });
        parse_times.push(Point::new(count, nanos / 1e3));
        let nanos = median_nanos(ROUNDS, 20, || {
            let _ = black_box(signed.verify(black_box(&trust)));
        });
        verify_times.push(Point::new(count, nanos / 1e3));
    }
    print_fit("signed bundle", "services", "bytes", &bytes);
    print_fit("parse a bundle", "services", "microseconds", &parse_times);
    print_fit("verify a bundle", "services", "microseconds", &verify_times);
    differences(&key)
}

/// Measures the difference between a bundle and its successor, which changes one key of one service.
fn differences(key: &SigningKey) -> buckthornweir_bundle::Result<()> {
    let (mut bytes, mut compute_times, mut apply_times) = (Vec::new(), Vec::new(), Vec::new());
    for count in SERVICES {
        let bundle = Bundle::parse("bench.ini", &bundle_text(count))?;
        let mut next = bundle.clone();
        next.version += 1;
        if let Some(service) = next.services.get_mut(count / 2) {
            service.queue += 1;
        }
        let old = SignedBundle::sign(bundle, key).to_text();
        let new = SignedBundle::sign(next, key).to_text();
        let (old, new) = (old.as_bytes(), new.as_bytes());
        let difference = TextDifference::between(old, new).to_bytes();
        bytes.push(Point::new(count, difference.len() as f64));
        let nanos = median_nanos(ROUNDS, 20, || {
            let _ = black_box(TextDifference::between(black_box(old), black_box(new)));
        });
        compute_times.push(Point::new(count, nanos / 1e3));
        let chain = [difference];
        let nanos = median_nanos(ROUNDS, 20, || {
            let _ = black_box(rebuild(black_box(old), black_box(&chain)));
        });
        apply_times.push(Point::new(count, nanos / 1e3));
    }
    print_fit("difference of one key", "services", "bytes", &bytes);
    print_fit(
        "compute a difference",
        "services",
        "microseconds",
        &compute_times,
    );
    print_fit(
        "apply a difference",
        "services",
        "microseconds",
        &apply_times,
    );
    Ok(())
}

/// Returns a bundle whose services have one address each and run in three failure domains.
fn bundle_text(services: usize) -> String {
    let mut text = "[bundle]\nversion = 1\n".to_owned();
    for domain in 0..DOMAINS {
        text += &format!("[domain fj-west-{domain}]\nregion = fj-west\n");
    }
    for number in 0..services {
        let address = format!("10.0.{}.{}:80", number / 256, number % 256);
        text += &format!("[service orders-{number}]\naddresses = {address}\n");
        text += "domains = fj-west-0, fj-west-1, fj-west-2\n";
    }
    text
}
