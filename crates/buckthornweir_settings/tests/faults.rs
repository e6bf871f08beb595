//! Each kind of malformed INI text is refused with its file, line, key and the allowed values.

use buckthornweir_settings::prelude::*;
use expect_test::{Expect, expect};
use std::fs;
use std::path::Path;
use std::time::Duration;

fn parse(text: &str) -> Result<(), Fault> {
    let mut document = Document::parse("a.ini", text)?;
    let mut node = document.take("node")?;
    node.required("name", value::name::<String>)?;
    node.optional("listen", value::address)?;
    node.or("slots", 5, value::number(1..=64))?;
    let range = Duration::from_millis(1)..=Duration::from_secs(60);
    node.optional("limit", value::duration(range))?;
    node.optional("domains", value::list(value::name::<String>))?;
    node.optional("protocol", value::one_of(&[("tcp", 1), ("http", 2)]))?;
    node.optional("key", value::hex::<2>)?;
    node.finish()?;
    document.finish("[node]")
}

fn check(text: &str, expected: &Expect) {
    let actual = match parse(text) {
        Ok(()) => "ok".to_owned(),
        Err(fault) => fault.to_string(),
    };
    expected.assert_eq(&actual);
}

#[test]
fn malformed_texts_report_the_place_and_allowed_values() {
    let rows = [
        ("; comment\n\n[node]\nname = a\n", expect!["ok"]),
        ("", expect!["a.ini: section [node] is missing"]),
        (
            "name = a\n[node]\n",
            expect![[
                r#"a.ini:1: "name" is not allowed; allowed: [section], key = value, ; comment"#
            ]],
        ),
        (
            "[node]\nname = a\nnonsense\n",
            expect![[
                r#"a.ini:3: "nonsense" is not allowed; allowed: [section], key = value, ; comment"#
            ]],
        ),
        (
            "[node\nname = a\n",
            expect![[
                r#"a.ini:1: "[node" is not allowed; allowed: [section], key = value, ; comment"#
            ]],
        ),
        ("[node]\n", expect!["a.ini:1: [node] name is missing"]),
        (
            "[node]\nname = a\nname = b\n",
            expect!["a.ini:3: [node] name stands twice, first on line 2; allowed: once"],
        ),
        (
            "[node]\nname = a\n[node]\n",
            expect!["a.ini:3: [node] stands twice, first on line 1; allowed: once"],
        ),
        (
            "[node]\nname = a\ncolour = 1\n",
            expect![
                "a.ini:3: [node] colour is not a known key; allowed: name, listen, slots, limit, domains, protocol, key"
            ],
        ),
        (
            "[node]\nname = a\n[other]\n",
            expect!["a.ini:3: [other] is not a known section; allowed: [node]"],
        ),
        (
            "[node]\nname = A b\n",
            expect![[
                r#"a.ini:2: [node] name = "A b" is not allowed; allowed: a name of 1 to 63 lower-case letters, digits and hyphens"#
            ]],
        ),
        (
            "[node]\nname = a\nlisten = example:1\n",
            expect![[
                r#"a.ini:3: [node] listen = "example:1" is not allowed; allowed: an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000"#
            ]],
        ),
        (
            "[node]\nname = a\nlisten = 10.0.0.1:0\n",
            expect![[
                r#"a.ini:3: [node] listen = "10.0.0.1:0" is not allowed; allowed: an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000"#
            ]],
        ),
        (
            "[node]\nname = a\nslots = 65\n",
            expect![[
                r#"a.ini:3: [node] slots = "65" is not allowed; allowed: a whole number from 1 to 64"#
            ]],
        ),
        (
            "[node]\nname = a\nlimit = 2h\n",
            expect![[
                r#"a.ini:3: [node] limit = "2h" is not allowed; allowed: a length of time from 1ms to 1m, such as 250ms or 2s"#
            ]],
        ),
        (
            "[node]\nname = a\ndomains = x, x\n",
            expect![[
                r#"a.ini:3: [node] domains = "x, x" is not allowed; allowed: a list separated by commas in which no item stands twice"#
            ]],
        ),
        (
            "[node]\nname = a\nprotocol = udp\n",
            expect![[r#"a.ini:3: [node] protocol = "udp" is not allowed; allowed: tcp, http"#]],
        ),
        (
            "\r\n[node]\r\nname = a ; \r\n",
            expect![[
                r#"a.ini:3: [node] name = "a ;" is not allowed; allowed: a name of 1 to 63 lower-case letters, digits and hyphens"#
            ]],
        ),
        ("[ node ]\r\n;x = 1\r\nname=a\r\n", expect!["ok"]),
        (
            "[node]\nname = a\n[log  x]\n[log x]\n",
            expect!["a.ini:4: [log x] stands twice, first on line 3; allowed: once"],
        ),
        (
            "[node]\nname = a\n = b\n",
            expect![[r#"a.ini:3: "b" is not allowed; allowed: [section], key = value, ; comment"#]],
        ),
        (
            "[node]\nname = a\n[]\n",
            expect!["a.ini:3: [] is not a known section; allowed: [node]"],
        ),
        (
            "[node]\nname =\n",
            expect![[
                r#"a.ini:2: [node] name = "" is not allowed; allowed: a name of 1 to 63 lower-case letters, digits and hyphens"#
            ]],
        ),
        (
            "[node]\nname = a\nslots = 0x5\n",
            expect![[
                r#"a.ini:3: [node] slots = "0x5" is not allowed; allowed: a whole number from 1 to 64"#
            ]],
        ),
        (
            "[node]\nname = a\nlimit = 5\n",
            expect![[
                r#"a.ini:3: [node] limit = "5" is not allowed; allowed: a length of time from 1ms to 1m, such as 250ms or 2s"#
            ]],
        ),
        (
            "[node]\nname = a\ndomains = x,\n",
            expect![[
                r#"a.ini:3: [node] domains = "x," is not allowed; allowed: a list separated by commas, each a name of 1 to 63 lower-case letters, digits and hyphens"#
            ]],
        ),
        ("\u{feff}[node]\nname = a\n", expect!["ok"]),
        (
            "[node]\nname = a\nkey = +f00\n",
            expect![[
                r#"a.ini:3: [node] key = "+f00" is not allowed; allowed: 4 hexadecimal digits"#
            ]],
        ),
        (
            "[node]\nname = a\nkey = zz00\n",
            expect![[
                r#"a.ini:3: [node] key = "zz00" is not allowed; allowed: 4 hexadecimal digits"#
            ]],
        ),
    ];
    for (text, expected) in rows {
        check(text, &expected);
    }
}

#[test]
fn long_values_are_truncated_in_error_messages() {
    let long = "ü".repeat(10_000);
    for text in [long.clone(), format!("[node]\nname = {long}\n")] {
        let fault = parse(&text).unwrap_err().to_string();
        assert!(fault.len() < 400, "{} bytes", fault.len());
    }
}

#[test]
fn invalid_value_reports_the_line_of_the_key() {
    let mut document = Document::parse("a.ini", "[node]\n\nname = a\n").unwrap();
    let mut node = document.take("node").unwrap();
    node.required("name", value::name::<String>).unwrap();
    let fault = node.invalid_value("name", "a", "another name");
    expect![[r#"a.ini:3: [node] name = "a" is not allowed; allowed: another name"#]]
        .assert_eq(&fault.to_string());
}

#[test]
fn lists_over_the_item_limit_are_refused() {
    let numbers = |count: u32| (0..count).map(|n| n.to_string()).collect::<Vec<_>>();
    let parse_list =
        |count| value::list(|item| value::number(0..=u32::MAX)(item))(&numbers(count).join(","));
    assert_eq!(parse_list(1_024).unwrap().len(), 1_024);
    expect!["a list of at most 1024 items"].assert_eq(parse_list(1_025).unwrap_err().as_ref());
}

#[test]
fn unreadable_files_are_refused() {
    let folder = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let limit = 4 << 20;
    let comment = |length: usize| [b";".as_slice(), &vec![b'x'; length - 1]].concat();
    let rows = [
        ("limit.ini", Some(comment(limit)), "ok"),
        ("huge.ini", Some(comment(limit + 1)), "file too large"),
        (
            "bytes.ini",
            Some(vec![b'[', 0xff, b']']),
            "invalid utf-8 sequence",
        ),
        ("gone.ini", None, "No such file"),
    ];
    for (name, content, expected) in rows {
        let path = folder.join(name);
        if let Some(content) = content {
            fs::write(&path, content).unwrap();
        }
        let actual = match Document::read(&path) {
            Ok(_) => "ok".to_owned(),
            Err(fault) => fault.to_string(),
        };
        assert!(actual.contains(expected), "{actual}");
        assert!(actual == "ok" || actual.contains(name), "{actual}");
    }
}

#[test]
fn hundreds_of_thousands_of_sections_and_keys_are_parsed() {
    let sections: String = (0..300_000).map(|n| format!("[s{n}]\n")).collect();
    assert!(Document::parse("a.ini", &sections).is_ok());
    let keys: String = (0..300_000).map(|n| format!("k{n}=\n")).collect();
    assert!(Document::parse("a.ini", &format!("[s]\n{keys}")).is_ok());
}
