//! Measures the time to parse, write and verify a bundle, up to the target size of 1,100 services.

#![allow(
    missing_docs,
    reason = "criterion's macros generate undocumented public items"
)]

use std::hint::black_box;

use buckthornweir_bundle::canonical_text;
use buckthornweir_bundle::prelude::*;
use criterion::{Criterion, criterion_group, criterion_main};

/// Returns a bundle with `services` services of one address each in 7 failure domains.
fn bundle(services: usize) -> Bundle {
    let mut text = "[bundle]\nversion = 1\n".to_owned();
    for domain in 0..7 {
        text += &format!("[domain fj-west-{domain}]\nregion = fj-west\n");
    }
    for n in 0..services {
        let address = format!("10.0.{}.{}:80", n / 256, n % 256);
        text += &format!("[service orders-{n}]\naddresses = {address}\n");
        text += "domains = fj-west-0, fj-west-1, fj-west-2\n";
    }
    Bundle::parse("bench.ini", &text).expect("the text is well-formed")
}

fn reading(c: &mut Criterion) {
    let key = SigningKey::from_secret(&[1; 32]);
    let trust = Trust::new().with_key(key.public());
    for services in [10, 100, 1_100] {
        let signed = SignedBundle::sign(bundle(services), &key);
        let text = signed.to_text();
        println!("{services} services: {} bytes", text.len());
        let name = |what| format!("{what}/{services}");
        c.bench_function(&name("parse"), |b| {
            b.iter(|| SignedBundle::parse("bench.ini", black_box(&text)));
        });
        c.bench_function(&name("verify"), |b| {
            b.iter(|| signed.verify(black_box(&trust)));
        });
        c.bench_function(&name("write"), |b| {
            b.iter(|| canonical_text(black_box(signed.bundle())));
        });
    }
}

criterion_group!(benches, reading);
criterion_main!(benches);
