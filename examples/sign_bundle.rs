//! Parses a bundle from INI text, signs it, verifies the signature, and compares it with its successor.
//!
//! ```text
//! cargo run --example sign_bundle
//! ```

use buckthornweir::bundle::{Bundle, Fault, SignedBundle, SigningKey, Trust, differences};
use buckthornweir::settings::value::to_hex;

const TEXT: &str = "
[bundle]
version = 1
[domain gulberg]
region = lahore
[domain johar]
region = lahore
[service desk]
addresses = 10.101.0.1:80
domains = gulberg, johar
";

fn main() -> Result<(), Fault> {
    let bundle = Bundle::parse("bundle.ini", TEXT)?;
    if let Err(fault) = Bundle::parse("bundle.ini", &TEXT.replace("10.101.0.1:80", "desk")) {
        println!("an error names the line:\n  {fault}");
    }

    let key = SigningKey::generate();
    let signed = SignedBundle::sign(bundle.clone(), &key);
    println!("digest {}", to_hex(&signed.digest()));
    signed.verify(&Trust::new().with_key(key.public()))?;
    let untrusted = SigningKey::generate();
    if let Err(fault) = signed.verify(&Trust::new().with_key(untrusted.public())) {
        println!("the signature is not valid with other trusted keys:\n  {fault}");
    }

    if let Some(next) = bundle.with_domain_out("johar", true) {
        println!("changes when johar is out:");
        for change in differences(&bundle, &next) {
            println!("  {change}");
        }
    }
    Ok(())
}
