//! Bad settings end the program with exit code 2 before anything starts, with a fault that names the
//! file, line, key and allowed values. The example settings are valid.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::{TcpListener, UdpSocket};
use std::path::Path;
use std::process::{Command, Output};

use buckthornweir_bundle::Bundle;
use buckthornweir_daemon::prelude::Settings;
use buckthornweir_settings::{Document, value};
use expect_test::{Expect, expect};
use tempfile::TempDir;

/// Settings with all roles, of which each test row changes one part.
const VALID: &str = "\
[node]
name = all-1
roles = balancer, agent, control
domain = fj-west-a
gossip = 127.0.0.1:7000
packets = 127.0.0.1:7001
control = 127.0.0.1:7002
metrics = 127.0.0.1:7003
seeds = 127.0.0.1:7000
key = 5b1d8c7e9f20314253647586978899aabbccddeeff00112233445566778899aa
data = data
stop-limit = 30s
[balancer]
fabric = 127.0.0.1:6080
threads = 2
[agent]
fabric = 127.0.0.1:6081
service = orders
backend = 127.0.0.1:8080
idle = 10m
flows = 20000
[control]
peers = 127.0.0.1:7002
found = yes
[trust]
keys = ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c
[log]
format = json
filter = info
";

/// The trusted key in [`VALID`].
const KEY: &str = "ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c";

/// A key that is not a point on the Ed25519 curve.
const OFF_CURVE_KEY: &str = "0200000000000000000000000000000000000000000000000000000000000000";

fn run(folder: &TempDir, arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_buckthornweird"))
        .current_dir(folder.path())
        .args(arguments)
        .output()
        .unwrap()
}

/// Checks that `text` is rejected with the expected message, with and without `--check`, and that
/// nothing was started.
fn assert_rejected(folder: &TempDir, text: &str, expected: &Expect) {
    std::fs::write(folder.path().join("s.ini"), text).unwrap();
    let mut errors = Vec::new();
    for arguments in [
        &["--settings", "s.ini", "--check"][..],
        &["--settings", "s.ini"],
    ] {
        let output = run(folder, arguments);
        assert_eq!(output.status.code(), Some(2), "{text}");
        assert!(output.stdout.is_empty());
        assert!(
            !folder.path().join("data").exists(),
            "the data folder exists"
        );
        errors.push(String::from_utf8(output.stderr).unwrap());
    }
    assert_eq!(errors[0], errors[1], "the message depends on --check");
    expected.assert_eq(errors[0].trim_end().trim_start_matches("buckthornweird: "));
}

#[test]
fn bad_settings_exit_with_code_2_and_name_the_line() {
    let rows: Vec<(&str, &str, Expect)> = vec![
        (
            "[log]",
            "[logs]",
            expect![
                "s.ini:27: [logs] is not a known section; allowed: [node], [balancer], [agent], [control], [trust], [log]"
            ],
        ),
        (
            "[trust]",
            "[trust]\n[trust]",
            expect!["s.ini:26: [trust] stands twice, first on line 25; allowed: once"],
        ),
        (
            "[node]\n",
            "",
            expect![[
                r#"s.ini:1: "name" is not allowed; allowed: [section], key = value, ; comment"#
            ]],
        ),
        (
            "[balancer]",
            "; [balancer]",
            expect![
                "s.ini:14: [node] fabric is not a known key; allowed: roles, data, name, domain, announce-gossip, gossip, announce-packets, packets, announce-control, control, metrics, seeds, key, stop-limit"
            ],
        ),
        (
            "[agent]",
            "[agents]",
            expect!["s.ini: section [agent] is missing"],
        ),
        (
            "[control]",
            "[control",
            expect![[
                r#"s.ini:22: "[control" is not allowed; allowed: [section], key = value, ; comment"#
            ]],
        ),
        (
            "[trust]",
            "[log]\n[trust]",
            expect!["s.ini:28: [log] stands twice, first on line 25; allowed: once"],
        ),
        (
            "name = all-1",
            "",
            expect!["s.ini:1: [node] name is missing"],
        ),
        (
            "name = all-1",
            "name = All 1",
            expect![[
                r#"s.ini:2: [node] name = "All 1" is not allowed; allowed: a name of 1 to 63 lower-case letters, digits and hyphens"#
            ]],
        ),
        (
            "name = all-1",
            "name = all-1\nname = all-2",
            expect!["s.ini:3: [node] name stands twice, first on line 2; allowed: once"],
        ),
        (
            "name = all-1",
            "names = all-1",
            expect!["s.ini:1: [node] name is missing"],
        ),
        (
            "name = all-1",
            "name = all-1\ncolour = red",
            expect![
                "s.ini:3: [node] colour is not a known key; allowed: roles, data, name, domain, announce-gossip, gossip, announce-packets, packets, announce-control, control, metrics, seeds, key, stop-limit"
            ],
        ),
        (
            "balancer, agent, control",
            "",
            expect![[
                r#"s.ini:3: [node] roles = "" is not allowed; allowed: a list separated by commas, each balancer, agent, control"#
            ]],
        ),
        (
            "balancer, agent, control",
            "balancer, proxy",
            expect![[
                r#"s.ini:3: [node] roles = "balancer, proxy" is not allowed; allowed: a list separated by commas, each balancer, agent, control"#
            ]],
        ),
        (
            "balancer, agent, control",
            "agent, agent",
            expect![[
                r#"s.ini:3: [node] roles = "agent, agent" is not allowed; allowed: a list separated by commas in which no item stands twice"#
            ]],
        ),
        (
            "balancer, agent, control",
            "agent, control",
            expect![
                "s.ini:13: [balancer] is not a known section; allowed: [node], [agent], [control], [trust], [log]"
            ],
        ),
        (
            "domain = fj-west-a",
            "domain = fj_west",
            expect![[
                r#"s.ini:4: [node] domain = "fj_west" is not allowed; allowed: a name of 1 to 63 lower-case letters, digits and hyphens"#
            ]],
        ),
        (
            "gossip = 127.0.0.1:7000",
            "gossip = 127.0.0.1:7000\nannounce-gossip = 0.0.0.0:7000",
            expect![[
                r#"s.ini:6: [node] announce-gossip = "0.0.0.0:7000" is not allowed; allowed: an address that other processes reach, with a port"#
            ]],
        ),
        (
            "packets = 127.0.0.1:7001",
            "packets = 127.0.0.1:7001\nannounce-packets = 10.0.0.1",
            expect![[
                r#"s.ini:7: [node] announce-packets = "10.0.0.1" is not allowed; allowed: an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000"#
            ]],
        ),
        (
            "packets = 127.0.0.1:7001",
            "packets = 127.0.0.1:7001\nannounce-gossip = 10.0.0.1:1\nannounce-packets = 10.0.0.1:1",
            expect![[
                r#"s.ini:8: [node] announce-packets = "10.0.0.1:1" is not allowed; allowed: an address other than gossip's"#
            ]],
        ),
        (
            "control = 127.0.0.1:7002",
            "control = 127.0.0.1:7002\nannounce-control = 10.0.0.1:7002",
            expect![[
                r#"s.ini:24: [control] peers = "127.0.0.1:7002" is not allowed; allowed: at most 7 addresses, with [node] control among them"#
            ]],
        ),
        (
            "gossip = 127.0.0.1:7000",
            "gossip = localhost:7000",
            expect![[
                r#"s.ini:5: [node] gossip = "localhost:7000" is not allowed; allowed: an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000"#
            ]],
        ),
        (
            "packets = 127.0.0.1:7001",
            "packets = 127.0.0.1:7000",
            expect![[
                r#"s.ini:6: [node] packets = "127.0.0.1:7000" is not allowed; allowed: an address other than gossip's"#
            ]],
        ),
        (
            "control = 127.0.0.1:7002",
            "control = 127.0.0.1",
            expect![[
                r#"s.ini:7: [node] control = "127.0.0.1" is not allowed; allowed: an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000"#
            ]],
        ),
        (
            "metrics = 127.0.0.1:7003",
            "metrics = 127.0.0.1:7002",
            expect![[
                r#"s.ini:8: [node] metrics = "127.0.0.1:7002" is not allowed; allowed: an address other than control's"#
            ]],
        ),
        (
            "seeds = 127.0.0.1:7000",
            "seeds = 127.0.0.1:70000",
            expect![[
                r#"s.ini:9: [node] seeds = "127.0.0.1:70000" is not allowed; allowed: a list separated by commas, each an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000"#
            ]],
        ),
        (
            "5b1d8c7e",
            "5b1d8c7",
            expect![[
                r#"s.ini:10: [node] key = "5b1d8c79f20314253647586978899aabbccddeeff00112233445566778899aa" is not allowed; allowed: 64 hexadecimal digits"#
            ]],
        ),
        (
            "5b1d8c7e",
            "5b1d8c7g",
            expect![[
                r#"s.ini:10: [node] key = "5b1d8c7g9f20314253647586978899aabbccddeeff00112233445566778899aa" is not allowed; allowed: 64 hexadecimal digits"#
            ]],
        ),
        (
            "data = data",
            "",
            expect!["s.ini:1: [node] data is missing"],
        ),
        (
            "data = data",
            "data =",
            expect![[
                r#"s.ini:11: [node] data = "" is not allowed; allowed: a text that is not empty"#
            ]],
        ),
        (
            "stop-limit = 30s",
            "stop-limit = 2h",
            expect![[
                r#"s.ini:12: [node] stop-limit = "2h" is not allowed; allowed: a length of time from 0s to 1h, such as 250ms or 2s"#
            ]],
        ),
        (
            "fabric = 127.0.0.1:6080",
            "fabric = 127.0.0.1:0",
            expect![[
                r#"s.ini:14: [balancer] fabric = "127.0.0.1:0" is not allowed; allowed: an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000"#
            ]],
        ),
        (
            "threads = 2",
            "threads = 0",
            expect![[
                r#"s.ini:15: [balancer] threads = "0" is not allowed; allowed: a whole number from 1 to 64"#
            ]],
        ),
        (
            "threads = 2",
            "threads = 65",
            expect![[
                r#"s.ini:15: [balancer] threads = "65" is not allowed; allowed: a whole number from 1 to 64"#
            ]],
        ),
        (
            "threads = 2",
            "threads = two",
            expect![[
                r#"s.ini:15: [balancer] threads = "two" is not allowed; allowed: a whole number from 1 to 64"#
            ]],
        ),
        (
            "service = orders",
            "",
            expect!["s.ini:16: [agent] service is missing"],
        ),
        (
            "backend = 127.0.0.1:8080",
            "backend = orders:8080",
            expect![[
                r#"s.ini:19: [agent] backend = "orders:8080" is not allowed; allowed: an IP address with a port from 1 to 65535, such as 10.0.0.1:7000 or [fd00::1]:7000"#
            ]],
        ),
        (
            "idle = 10m",
            "idle = 500ms",
            expect![[
                r#"s.ini:20: [agent] idle = "500ms" is not allowed; allowed: a length of time from 1s to 1day, such as 250ms or 2s"#
            ]],
        ),
        (
            "flows = 20000",
            "flows = 0",
            expect![[
                r#"s.ini:21: [agent] flows = "0" is not allowed; allowed: a whole number from 1 to 1000000"#
            ]],
        ),
        (
            "flows = 20000",
            "flows = 1000001",
            expect![[
                r#"s.ini:21: [agent] flows = "1000001" is not allowed; allowed: a whole number from 1 to 1000000"#
            ]],
        ),
        (
            "peers = 127.0.0.1:7002",
            "peers = 127.0.0.1:9",
            expect![[
                r#"s.ini:23: [control] peers = "127.0.0.1:9" is not allowed; allowed: at most 7 addresses, with [node] control among them"#
            ]],
        ),
        (
            "found = yes",
            "found = true",
            expect![[r#"s.ini:24: [control] found = "true" is not allowed; allowed: yes or no"#]],
        ),
        (
            "keys = ea",
            "keys = ",
            expect![[
                r#"s.ini:26: [trust] keys = "4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c" is not allowed; allowed: a list separated by commas, each 64 hexadecimal digits"#
            ]],
        ),
        (
            "keys = ea4a6c63",
            "keys = ea4a6c63, ea4a6c63",
            expect![[
                r#"s.ini:26: [trust] keys = "ea4a6c63, ea4a6c63e29c520abef5507b132ec5f9954776aebebe7b92421eea691446d22c" is not allowed; allowed: a list separated by commas, each 64 hexadecimal digits"#
            ]],
        ),
        (
            "format = json",
            "format = xml",
            expect![[r#"s.ini:28: [log] format = "xml" is not allowed; allowed: text, json"#]],
        ),
        (
            "filter = info",
            "filter =",
            expect![[
                r#"s.ini:29: [log] filter = "" is not allowed; allowed: a level such as info, or directives such as info,buckthornweir_daemon=debug"#
            ]],
        ),
        (
            "gossip = 127.0.0.1:7000",
            "gossip = 0.0.0.0:7000",
            expect![[
                r#"s.ini:5: [node] gossip = "0.0.0.0:7000" is not allowed; allowed: an address that other processes reach, with a port"#
            ]],
        ),
        (
            "fabric = 127.0.0.1:6080",
            "fabric = 127.0.0.1:7001",
            expect![[
                r#"s.ini:14: [balancer] fabric = "127.0.0.1:7001" is not allowed; allowed: an address other than gossip's and packets'"#
            ]],
        ),
        (
            "service = orders",
            "service = orders\nhealth = health",
            expect![[
                r#"s.ini:19: [agent] health = "health" is not allowed; allowed: a path that starts with / and has no spaces"#
            ]],
        ),
        (
            KEY,
            OFF_CURVE_KEY,
            expect![[
                r#"s.ini:26: [trust] keys = "0200000000000000000000000000000000000000000000000000000000000000" is not allowed; allowed: a list separated by commas, each an Ed25519 public key, as keygen prints it"#
            ]],
        ),
        (
            "filter = info",
            "filter = a=b=c",
            expect![[
                r#"s.ini:29: [log] filter = "a=b=c" is not allowed; allowed: a level such as info, or directives such as info,buckthornweir_daemon=debug"#
            ]],
        ),
    ];
    let folder = tempfile::tempdir().unwrap();
    for (from, to, expected) in rows {
        assert!(VALID.contains(from), "{from}");
        assert_rejected(&folder, &VALID.replacen(from, to, 1), &expected);
    }
    assert_rejected(&folder, "", &expect!["s.ini: section [node] is missing"]);
}

#[test]
fn unusable_files_and_arguments_exit_with_code_2() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("bytes.ini"), [0xff, 0xfe]).unwrap();
    std::fs::write(folder.path().join("huge.ini"), vec![b';'; (4 << 20) + 1]).unwrap();
    let rows: [(&[&str], Expect); 5] = [
        (
            &["--settings", "gone.ini"],
            expect![
                "buckthornweird: gone.ini: cannot be read: No such file or directory (os error 2)"
            ],
        ),
        (
            &["--settings", "bytes.ini"],
            expect![
                "buckthornweird: bytes.ini: cannot be read: invalid utf-8 sequence of 1 bytes from index 0"
            ],
        ),
        (
            &["--settings", "huge.ini"],
            expect!["buckthornweird: huge.ini: cannot be read: file too large"],
        ),
        (
            &["--check"],
            expect!["buckthornweird: --settings FILE is missing; see --help"],
        ),
        (
            &["--settings", "."],
            expect!["buckthornweird: .: cannot be read: Is a directory (os error 21)"],
        ),
    ];
    for (arguments, expected) in rows {
        let output = run(&folder, arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        expected.assert_eq(String::from_utf8(output.stderr).unwrap().trim_end());
    }
    assert_eq!(run(&folder, &["--unknown"]).status.code(), Some(2));
}

#[test]
fn check_starts_nothing() {
    let folder = tempfile::tempdir().unwrap();
    // Both addresses are in use, so that a process that binds them fails.
    let links = TcpListener::bind("127.0.0.1:0").unwrap();
    let packets = UdpSocket::bind("127.0.0.1:0").unwrap();
    let text = VALID
        .replace("127.0.0.1:7002", &links.local_addr().unwrap().to_string())
        .replace("127.0.0.1:7001", &packets.local_addr().unwrap().to_string());
    std::fs::write(folder.path().join("s.ini"), text).unwrap();
    let output = run(&folder, &["--settings", "s.ini", "--check"]);
    assert_eq!(output.status.code(), Some(0));
    let stdout = String::from_utf8(output.stdout).unwrap();
    assert_eq!(stdout, "s.ini: the settings are valid\n");
    assert!(
        !folder.path().join("data").exists(),
        "the data folder exists"
    );
    let output = run(&folder, &["--settings", "s.ini"]);
    assert_eq!(output.status.code(), Some(1), "the addresses are in use");
}

#[test]
fn example_settings_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/settings");
    for role in ["balancer", "agent", "control"] {
        let settings = Settings::read(&folder.join(format!("{role}.ini"))).unwrap();
        let roles = [
            settings.balancer.is_some(),
            settings.agent.is_some(),
            settings.control.is_some(),
        ];
        assert_eq!(roles.map(usize::from).iter().sum::<usize>(), 1, "{role}");
    }
    let text = std::fs::read_to_string(folder.join("bundle.ini")).unwrap();
    let bundle = Bundle::parse("bundle.ini", &text).unwrap();
    let agent = Settings::read(&folder.join("agent.ini")).unwrap();
    let service = agent.agent.unwrap().service;
    assert!(bundle.serves(&service, &agent.node.domain));
    let mut client = Document::read(&folder.join("client.ini")).unwrap();
    let mut section = client.take("client").unwrap();
    section
        .required("nodes", value::list(value::address))
        .unwrap();
    section.required("key", value::hex::<32>).unwrap();
    section
        .required("signing-key", value::text::<String>)
        .unwrap();
    section
        .required("trusted", value::list(value::hex::<32>))
        .unwrap();
    section.finish().unwrap();
    client.finish("[client]").unwrap();
}

#[test]
fn replaced_characters_never_cause_a_panic() {
    let characters: Vec<char> = VALID.chars().collect();
    let replacements = [
        '\0', '\n', '\r', '[', ']', '=', ',', ';', ' ', '9', '-', 'ü', '\u{feff}',
    ];
    for at in 0..characters.len() {
        for character in replacements {
            let mut changed = characters.clone();
            changed[at] = character;
            let text: String = changed.into_iter().collect();
            let _ = Settings::parse("s.ini", &text);
        }
    }
}

/// The bound address is announced unless the settings have another one; then the unspecified address may
/// be bound.
#[test]
fn announced_address_may_differ_from_bound_address() {
    let same = Settings::parse("s.ini", VALID).unwrap().node;
    for endpoint in [same.gossip, same.packets, same.control] {
        assert_eq!(endpoint.bind, endpoint.announced);
    }
    let text = VALID
        .replace("control = 127.0.0.1:7002\n", CONTROL_LINES)
        .replace("gossip = 127.0.0.1:7000\n", GOSSIP_LINES)
        .replace("peers = 127.0.0.1:7002", "peers = 10.0.0.1:9002");
    let node = Settings::parse("s.ini", &text).unwrap().node;
    let shown = format!("{:?}\n{:?}\n{:?}", node.gossip, node.packets, node.control);
    expect![[r#"
        Endpoint { bind: 0.0.0.0:7000, announced: 10.0.0.1:9000 }
        Endpoint { bind: 127.0.0.1:7001, announced: 127.0.0.1:7001 }
        Endpoint { bind: 0.0.0.0:7002, announced: 10.0.0.1:9002 }"#]]
    .assert_eq(&shown);
}

/// The settings of a link socket that is bound to all addresses of its VM.
const CONTROL_LINES: &str = "control = 0.0.0.0:7002\nannounce-control = 10.0.0.1:9002\n";

/// The settings of a membership socket that is bound to all addresses of its VM.
const GOSSIP_LINES: &str = "gossip = 0.0.0.0:7000\nannounce-gossip = 10.0.0.1:9000\n";
