//! Every kind of bad INI text gives a fault with file, line, key and what is allowed.

use buckthornweir_settings::prelude::*;
use expect_test::{Expect, expect};
use std::time::Duration;

fn read(text: &str) -> Result<(), Fault> {
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
    let seen = match read(text) {
        Ok(()) => "ok".to_owned(),
        Err(fault) => fault.to_string(),
    };
    expected.assert_eq(&seen);
}

#[test]
fn each_bad_text_names_its_line_and_what_is_allowed() {
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
