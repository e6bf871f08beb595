//! The canonical text is a fixed point of parsing, and no text makes the parser panic.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::SocketAddr;
use std::time::Duration;

use buckthornweir_bundle::prelude::*;
use buckthornweir_bundle::{canonical_text, digest_of};
use buckthornweir_settings::value::to_hex;
use expect_test::expect;
use proptest::collection::{btree_set, vec};
use proptest::prelude::*;
use proptest::sample::{Index, select};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[31; 32]);
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, rng)
}

/// Generates services without name, addresses and failure domains.
fn service_limits() -> impl Strategy<Value = Service> {
    let protocol = select(vec![Protocol::Tcp, Protocol::Http]);
    let slots = (1_u32..=1_000).prop_flat_map(|slots| (Just(slots), 1..=slots));
    let limits = (1_u32..=100_000, 0_u32..=10_000, 10_u64..=3_600_000);
    // Half of the services have the default, which the canonical text omits.
    let second_tries = prop_oneof![Just(0_u32), 1_u32..=20];
    let values = (protocol, slots, limits, second_tries);
    values.prop_map(|(protocol, slots, limits, second_tries)| Service {
        name: "".into(),
        addresses: Vec::new(),
        protocol,
        domains: Vec::new(),
        slots: slots.0,
        cold: slots.1,
        connections: limits.0,
        queue: limits.1,
        deadline: Duration::from_millis(limits.2),
        second_tries: match protocol {
            Protocol::Http => second_tries,
            Protocol::Tcp => 0,
        },
    })
}

fn bundles() -> impl Strategy<Value = Bundle> {
    let domains = btree_set("[a-z0-9-]{1,8}", 1..6);
    let services = vec(
        (service_limits(), 1_usize..4, vec(any::<Index>(), 1..4)),
        0..6,
    );
    let out_flags = vec(any::<bool>(), 6);
    (1..u64::MAX, domains, out_flags, services).prop_map(|(version, names, out_flags, services)| {
        let names: Vec<_> = names.into_iter().collect();
        let domains = names.iter().zip(out_flags);
        let domains = domains.map(|(name, out)| Domain {
            name: name.into(),
            region: "r".into(),
            out,
        });
        let services = services.into_iter().enumerate();
        let services = services.map(|(n, (limits, addresses, domain_indexes))| {
            let mut domains: Vec<_> = domain_indexes
                .iter()
                .map(|i| i.get(&names).into())
                .collect();
            domains.sort();
            domains.dedup();
            Service {
                name: format!("s{n}").into(),
                addresses: (0..addresses).map(|a| address(n, a)).collect(),
                domains,
                ..limits
            }
        });
        Bundle {
            version,
            force: true,
            domains: domains.collect(),
            services: services.collect(),
        }
    })
}

fn address(service: usize, number: usize) -> SocketAddr {
    let text = match number {
        0 => format!("10.0.0.{service}:80"),
        _ => format!("[fd00::{service}]:{number}"),
    };
    text.parse().unwrap()
}

/// Returns a bundle's text with sections, keys and list items reversed and with other whitespace and
/// comments.
fn reformatted(text: &str) -> String {
    let mut sections: Vec<&str> = text.split("\n\n").collect();
    sections.reverse();
    let mut reformatted = String::new();
    for section in sections {
        let mut lines = section.lines();
        let header = lines.next().unwrap().replace(' ', "   ");
        reformatted += &format!("; note\n\n{header}\r\n");
        for line in lines.rev() {
            let (key, value) = line.split_once(" = ").unwrap();
            let items: Vec<&str> = value.rsplit(", ").collect();
            reformatted += &format!("{key}=\t{}  \n", items.join(" ,"));
        }
    }
    reformatted
}

#[test]
fn canonical_text_is_a_fixed_point_of_parsing() {
    let property = |bundle: Bundle| {
        let text = canonical_text(&bundle);
        for input in [text.clone(), reformatted(&text)] {
            let parsed =
                Bundle::parse("b.ini", &input).map_err(|f| TestCaseError::fail(f.to_string()))?;
            prop_assert_eq!(&parsed, &bundle);
            prop_assert_eq!(digest_of(&canonical_text(&parsed)), digest_of(&text));
        }
        Ok(())
    };
    runner(256).run(&bundles(), property).unwrap();
}

#[test]
fn arbitrary_texts_do_not_panic_the_parser() {
    let fragments = [
        "[bundle]",
        "[service a]",
        "[domain a]",
        "[signature]",
        "version",
        "addresses",
        "domains",
        "deadline",
        "region",
        "key",
        "value",
        "=",
        " = ",
        "\n",
        "\r",
        "a",
        "1",
        "10.0.0.1:80",
        "99999999999999999999y",
        "[",
        "]",
        ";",
        ",",
        "\0",
        "ü",
        "\u{feff}",
    ];
    let pieces =
        prop_oneof![3 => select(fragments.to_vec()).prop_map(str::to_owned), 1 => any::<String>()];
    let texts = vec(pieces, 0..60).prop_map(|pieces| pieces.concat());
    let property = |text: String| {
        if let Ok(bundle) = Bundle::parse("b.ini", &text) {
            prop_assert!(Bundle::parse("b.ini", &canonical_text(&bundle)).is_ok());
        }
        let _ = SignedBundle::parse("b.ini", &text);
        Ok(())
    };
    runner(4_096).run(&texts, property).unwrap();
}

#[test]
fn corrupted_bundles_do_not_panic_the_parser() {
    let bundle = "[bundle]\nversion = 1\n[domain a]\nregion = r\n[service s]\n\
                  addresses = 10.0.0.1:80\ndomains = a\ndeadline = 1s\n";
    let corruptions = vec((any::<Index>(), any::<char>()), 1..6);
    let property = |corruptions: Vec<(Index, char)>| {
        let mut characters: Vec<char> = bundle.chars().collect();
        for (index, character) in corruptions {
            let index = index.index(characters.len());
            characters[index] = character;
        }
        let text: String = characters.into_iter().collect();
        let _ = Bundle::parse("b.ini", &text);
        Ok(())
    };
    runner(4_096).run(&corruptions, property).unwrap();
}

#[test]
fn bundles_of_the_target_size_are_parsed() {
    let mut text = "[bundle]\nversion = 1\n".to_owned();
    for domain in 0..7 {
        text += &format!("[domain d{domain}]\nregion = r\n");
    }
    for n in 0..1_100 {
        let (high, low) = (n / 256, n % 256);
        text += &format!(
            "[service s{n}]\naddresses = 10.0.{high}.{low}:80\ndomains = d{}\n",
            n % 7
        );
    }
    let bundle = Bundle::parse("b.ini", &text).unwrap();
    assert_eq!(bundle.services.len(), 1_100);
    assert_eq!(
        Bundle::parse("b.ini", &canonical_text(&bundle)).unwrap(),
        bundle
    );
}

/// Guards against a new key that changes the canonical text, and with it the digest and the
/// signature, of a bundle that does not use the key. The digest is that of the release before
/// `second-tries`.
#[test]
fn digest_of_a_bundle_from_an_earlier_release_is_unchanged() {
    let text = "[bundle]\nversion = 7\nforce = no\n\n[domain a]\nregion = r\nstate = in\n\n\
                [service s]\naddresses = 10.0.0.1:80\nprotocol = http\ndomains = a\nslots = 5\n\
                cold = 1\nconnections = 2000\nqueue = 20\ndeadline = 10000ms\n";
    let bundle = Bundle::parse("b.ini", text).unwrap();
    assert_eq!(canonical_text(&bundle), text);
    assert_eq!(bundle.services[0].second_tries, 0);
    let explicit = Bundle::parse("b.ini", &format!("{text}second-tries = 0%\n")).unwrap();
    assert_eq!(canonical_text(&explicit), text);
    expect!["31d78497b5fedbb8364eddf702e024cba07c683f641b97cac14bb0e1824fcc2a"]
        .assert_eq(&to_hex(&digest_of(text)));
}
