//! Each malformed bundle is refused with its file, line, key and the allowed values.

use buckthornweir_bundle::differences;
use buckthornweir_bundle::prelude::*;
use expect_test::{Expect, expect};

/// A valid bundle, in which each table row replaces one part.
const VALID: &str = "\
[bundle]
version = 7
[domain a]
region = fj-west
[domain b]
region = fj-west
state = out
[service orders]
addresses = 10.1.0.1:80
domains = a, b
[service sheets]
addresses = 10.1.0.2:80
domains = a
";

fn parse_outcome(text: &str) -> String {
    match Bundle::parse("b.ini", text) {
        Ok(_) => "ok".into(),
        Err(fault) => fault.to_string(),
    }
}

#[test]
fn malformed_bundles_report_the_place_and_allowed_values() {
    let rows: Vec<(&str, &str, Expect)> = vec![
        ("", "", expect!["ok"]),
        (
            "[bundle]\nversion = 7\n",
            "",
            expect!["b.ini: section [bundle] is missing"],
        ),
        (
            "version = 7\n",
            "",
            expect!["b.ini:1: [bundle] version is missing"],
        ),
        (
            "version = 7",
            "version = 0",
            expect![[
                r#"b.ini:2: [bundle] version = "0" is not allowed; allowed: a whole number from 1 to 18446744073709551614"#
            ]],
        ),
        (
            "version = 7",
            "version = 18446744073709551615",
            expect![[
                r#"b.ini:2: [bundle] version = "18446744073709551615" is not allowed; allowed: a whole number from 1 to 18446744073709551614"#
            ]],
        ),
        (
            "version = 7",
            "version = 7\nforce = true",
            expect![[r#"b.ini:3: [bundle] force = "true" is not allowed; allowed: yes or no"#]],
        ),
        (
            "version = 7",
            "version = 7\nforced = yes",
            expect!["b.ini:3: [bundle] forced is not a known key; allowed: version, force"],
        ),
        (
            "region = fj-west\n[domain b]",
            "[domain b]",
            expect!["b.ini:3: [domain a] region is missing"],
        ),
        (
            "[domain a]",
            "[domain A]",
            expect![[
                r#"b.ini:3: [domain A] NAME = "A" is not allowed; allowed: a name of 1 to 63 lower-case letters, digits and hyphens"#
            ]],
        ),
        (
            "[domain a]",
            "[domain]",
            expect![[
                r#"b.ini:10: [service orders] domains = "a, b" is not allowed; allowed: a list separated by commas, each one of b"#
            ]],
        ),
        (
            "[domain b]",
            "[domain  a]",
            expect!["b.ini:5: [domain a] stands twice, first on line 3; allowed: once"],
        ),
        (
            "state = out",
            "state = off",
            expect![[r#"b.ini:7: [domain b] state = "off" is not allowed; allowed: in, out"#]],
        ),
        (
            "domains = a, b",
            "domains = a, c",
            expect![[
                r#"b.ini:10: [service orders] domains = "a, c" is not allowed; allowed: a list separated by commas, each one of a, b"#
            ]],
        ),
        (
            "domains = a, b",
            "domains =",
            expect![[
                r#"b.ini:10: [service orders] domains = "" is not allowed; allowed: a list separated by commas, each one of a, b"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = b",
            expect![
                "b.ini:10: [service orders] domains leaves no failure domain that is in; allowed: at least one, or force = yes in [bundle]"
            ],
        ),
        (
            "domains = a, b",
            "protocol = http",
            expect!["b.ini:8: [service orders] domains is missing"],
        ),
        (
            "10.1.0.1:80",
            "10.1.0.1",
            expect![[
                r#"b.ini:9: [service orders] addresses = "10.1.0.1" is not allowed; allowed: a list separated by commas, each an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000"#
            ]],
        ),
        (
            "10.1.0.1:80",
            "0.0.0.0:80",
            expect![[
                r#"b.ini:9: [service orders] addresses = "0.0.0.0:80" is not allowed; allowed: a list separated by commas, each the address of one host with a port, such as 10.0.0.1:80"#
            ]],
        ),
        (
            "10.1.0.1:80",
            "[ff02::1]:80",
            expect![[
                r#"b.ini:9: [service orders] addresses = "[ff02::1]:80" is not allowed; allowed: a list separated by commas, each the address of one host with a port, such as 10.0.0.1:80"#
            ]],
        ),
        (
            "10.1.0.1:80",
            "10.1.0.1:80, 10.1.0.2:80",
            expect![
                "b.ini:12: [service sheets] addresses holds 10.1.0.2:80, which service orders holds; allowed: one service for an address"
            ],
        ),
        (
            "10.1.0.1:80",
            "10.1.0.1:80, 10.1.0.1:80",
            expect![[
                r#"b.ini:9: [service orders] addresses = "10.1.0.1:80, 10.1.0.1:80" is not allowed; allowed: a list separated by commas in which no item stands twice"#
            ]],
        ),
        (
            "[service sheets]",
            "[service orders]",
            expect!["b.ini:11: [service orders] stands twice, first on line 8; allowed: once"],
        ),
        (
            "[service sheets]",
            "[services sheets]",
            expect![
                "b.ini:11: [services sheets] is not a known section; allowed: [bundle], [domain NAME], [service NAME]"
            ],
        ),
        (
            "domains = a, b",
            "domains = a\nprotocol = udp",
            expect![[
                r#"b.ini:11: [service orders] protocol = "udp" is not allowed; allowed: http, tcp"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nslots = 0",
            expect![[
                r#"b.ini:11: [service orders] slots = "0" is not allowed; allowed: a whole number from 1 to 1000"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\ncold = 6",
            expect![[
                r#"b.ini:11: [service orders] cold = "6" is not allowed; allowed: a whole number from 1 to 5"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nslots = 2\ncold = 3",
            expect![[
                r#"b.ini:12: [service orders] cold = "3" is not allowed; allowed: a whole number from 1 to 2"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nconnections = 0",
            expect![[
                r#"b.ini:11: [service orders] connections = "0" is not allowed; allowed: a whole number from 1 to 100000"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nqueue = 10001",
            expect![[
                r#"b.ini:11: [service orders] queue = "10001" is not allowed; allowed: a whole number from 0 to 10000"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\ndeadline = 9ms",
            expect![[
                r#"b.ini:11: [service orders] deadline = "9ms" is not allowed; allowed: a length of time from 10ms to 1h, such as 250ms or 2s"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\ndeadline = 11ms 5us",
            expect![[
                r#"b.ini:11: [service orders] deadline = "11ms 5us" is not allowed; allowed: a length of time in whole milliseconds"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nsecond-tries = 21%",
            expect![[
                r#"b.ini:11: [service orders] second-tries = "21%" is not allowed; allowed: a whole percentage from 0% to 20%, such as 20%"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nsecond-tries = 5",
            expect![[
                r#"b.ini:11: [service orders] second-tries = "5" is not allowed; allowed: a whole percentage from 0% to 20%, such as 20%"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nsecond-tries = +5%",
            expect![[
                r#"b.ini:11: [service orders] second-tries = "+5%" is not allowed; allowed: a whole percentage from 0% to 20%, such as 20%"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nsecond-tries = 2.5%",
            expect![[
                r#"b.ini:11: [service orders] second-tries = "2.5%" is not allowed; allowed: a whole percentage from 0% to 20%, such as 20%"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nsecond-tries = %",
            expect![[
                r#"b.ini:11: [service orders] second-tries = "%" is not allowed; allowed: a whole percentage from 0% to 20%, such as 20%"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\nsecond-tries = 20%",
            expect!["ok"],
        ),
        (
            "domains = a, b",
            "domains = a\nprotocol = tcp\nsecond-tries = 5%",
            expect![[
                r#"b.ini:12: [service orders] second-tries = "5%" is not allowed; allowed: a whole percentage from 0% to 0%, such as 0%"#
            ]],
        ),
        (
            "domains = a, b",
            "domains = a\ntimeout = 1s",
            expect![
                "b.ini:11: [service orders] timeout is not a known key; allowed: addresses, protocol, domains, slots, cold, connections, queue, deadline, second-tries"
            ],
        ),
        (
            "[bundle]",
            "[signature]\nkey = 00\n[bundle]",
            expect![
                "b.ini:1: [signature] is not a known section; allowed: [bundle], [domain NAME], [service NAME]"
            ],
        ),
        (
            "domains = a, b",
            "domains = b\ndomains = a",
            expect![
                "b.ini:11: [service orders] domains stands twice, first on line 10; allowed: once"
            ],
        ),
    ];
    for (from, to, expected) in rows {
        assert!(VALID.contains(from), "{from}");
        expected.assert_eq(&parse_outcome(&VALID.replacen(from, to, 1)));
    }
}

#[test]
fn service_without_failure_domain_is_refused_unless_forced() {
    let out = VALID.replace(
        "region = fj-west\n[domain b]",
        "region = fj-west\nstate = out\n[domain b]",
    );
    let forced = out.replace("version = 7", "version = 7\nforce = yes");
    assert_eq!(
        parse_outcome(&out),
        "b.ini:11: [service orders] domains leaves no failure domain that is in; \
                            allowed: at least one, or force = yes in [bundle]"
    );
    let bundle = Bundle::parse("b.ini", &forced).unwrap();
    assert!(!bundle.serves("orders", "a") && !bundle.serves("sheets", "a"));
}

#[test]
fn bundles_over_the_count_limits_are_refused() {
    let domains = |count| {
        (0..count)
            .map(|n| format!("[domain d{n}]\nregion = r\n"))
            .collect::<String>()
    };
    let service = |n: usize| {
        let address = format!("10.{}.{}.1:80", n / 256, n % 256);
        format!("[service s{n}]\naddresses = {address}\ndomains = d0\n")
    };
    let text = |d, s| {
        let services: String = (0..s).map(service).collect();
        format!("[bundle]\nversion = 1\n{}{services}", domains(d))
    };
    assert_eq!(parse_outcome(&text(64, 4_096)), "ok");
    expect!["b.ini:131: [domain d64] is one too many; allowed: at most 64 failure domains"]
        .assert_eq(&parse_outcome(&text(65, 1)));
    expect!["b.ini:12293: [service s4096] is one too many; allowed: at most 4096 services"]
        .assert_eq(&parse_outcome(&text(1, 4_097)));
}

#[test]
fn changing_a_failure_domain_increments_the_version() {
    let bundle = Bundle::parse("b.ini", VALID).unwrap();
    let rows = [
        ("a", true, Some((8, true))),
        ("a", false, Some((8, false))),
        ("b", false, Some((8, false))),
        ("c", true, None),
    ];
    for (name, out, expected) in rows {
        let next = bundle.with_domain_out(name, out);
        let actual = next.map(|next| (next.version, next.is_out(name)));
        assert_eq!(actual, expected, "{name} {out}");
    }
    let last = Bundle {
        version: Version::MAX,
        ..bundle.clone()
    };
    assert_eq!(last.with_domain_out("a", true), None, "no higher version");
    let forced = Bundle {
        force: true,
        ..bundle
    };
    assert!(!forced.with_domain_out("a", true).unwrap().force);
    assert!(forced.with_domain_out("a", false).unwrap().force);
}

#[test]
fn differences_list_section_and_key_of_each_line() {
    let old = Bundle::parse("b.ini", VALID).unwrap();
    assert_eq!(differences(&old, &old), []);
    let text = VALID.replace(
        "addresses = 10.1.0.2:80",
        "addresses = 10.1.0.3:80\nslots = 9\nsecond-tries = 5%",
    );
    let mut new = Bundle::parse("b.ini", &text).unwrap();
    new.domains.remove(1);
    let new = Bundle { version: 8, ..new };
    let shown: Vec<String> = differences(&old, &new)
        .iter()
        .map(ToString::to_string)
        .collect();
    expect![[r#"
        - [bundle] version = 7
        - [domain b] region = fj-west
        - [domain b] state = out
        - [service sheets] addresses = 10.1.0.2:80
        - [service sheets] slots = 5
        + [bundle] version = 8
        + [service sheets] addresses = 10.1.0.3:80
        + [service sheets] slots = 9
        + [service sheets] second-tries = 5%"#]]
    .assert_eq(&shown.join("\n"));
}
