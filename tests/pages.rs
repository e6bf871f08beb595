//! Commands that the pages show: each names a program, package, target, file and options that exist.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

const PAGES: [&str; 4] = [
    "README.md",
    "docs/load.md",
    "docs/soak.md",
    "docs/operators",
];

/// Names that a build from the root knows.
#[derive(Debug, Default)]
struct Build {
    packages: BTreeSet<String>,
    programs: BTreeSet<String>,
    examples: BTreeSet<String>,
    benches: BTreeSet<String>,
}

impl Build {
    /// Reads what a plain build gives, which is that of the default members.
    fn read() -> Self {
        let output = Command::new(env!("CARGO"))
            .args(["metadata", "--no-deps", "--format-version", "1", "--locked"])
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .output()
            .expect("cargo runs");
        let metadata: Value = serde_json::from_slice(&output.stdout).expect("cargo writes JSON");
        let list = |value: &Value| value.as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let members = list(&metadata["workspace_default_members"]);
        let mut build = Self::default();
        for package in list(&metadata["packages"]) {
            build.packages.insert(text(&package["name"]));
            let is_default = members.contains(&package["id"]);
            for target in list(&package["targets"]) {
                let name = text(&target["name"]);
                match target["kind"][0].as_str() {
                    Some("bin") if is_default => build.programs.insert(name),
                    Some("example") if is_default => build.examples.insert(name),
                    Some("bench") => build.benches.insert(name),
                    _ => false,
                };
            }
        }
        build
    }

    /// Returns what is wrong with a command.
    fn faults(&self, command: &str) -> Vec<String> {
        let words: Vec<&str> = command.split_whitespace().collect();
        let words: Vec<&str> = words.into_iter().take_while(|word| *word != ">").collect();
        let (program, rest) = words.split_first().expect("a command has a first word");
        let mut faults: Vec<String> = rest
            .iter()
            .filter(|word| word.starts_with("examples/") && !root().join(word).exists())
            .map(|file| format!("no file {file}"))
            .collect();
        if *program == "cargo" {
            faults.extend(self.cargo_faults(rest));
            return faults;
        }
        let name = program.rsplit('/').next().unwrap_or(program);
        if !self.programs.contains(name) {
            faults.push(format!("a plain build gives no program {name}"));
            return faults;
        }
        faults.extend(option_faults(name, rest));
        faults
    }

    fn cargo_faults(&self, words: &[&str]) -> Vec<String> {
        let pairs = words.iter().zip(words.iter().skip(1));
        let unknown = pairs.filter_map(|(option, name)| {
            let known = match *option {
                "--example" => &self.examples,
                "--bin" => &self.programs,
                "--bench" => &self.benches,
                "--package" | "-p" => &self.packages,
                _ => return None,
            };
            (!known.contains(*name)).then(|| format!("nothing fits {option} {name}"))
        });
        unknown.collect()
    }
}

/// Returns the options of a command that the help texts of its program and subcommands don't name.
fn option_faults(program: &str, words: &[&str]) -> Vec<String> {
    let mut path = Vec::new();
    let mut help = help_of(program, &path);
    // The load tool's command `compare` is not listed, since its first argument is a scenario.
    let is_command = |help: &str, word: &str| {
        let listed = |line: &str| line.trim_start().starts_with(&format!("{word} "));
        word == "compare" || help.contains("Available commands:") && help.lines().any(listed)
    };
    for word in words.iter().filter(|word| !word.starts_with('-')) {
        if is_command(&help, word) {
            path.push(*word);
            help += &help_of(program, &path);
        }
    }
    let has = |option: &str| help.split_whitespace().any(|word| word == option);
    let options = words
        .iter()
        .filter(|word| word.starts_with("--") && !has(word));
    options
        .map(|option| format!("{program} has no option {option}"))
        .collect()
}

fn help_of(program: &str, path: &[&str]) -> String {
    let test = std::env::current_exe().expect("the test has a path");
    let folder = test.ancestors().nth(2).expect("tests lie two folders deep");
    let output = Command::new(folder.join(program))
        .args(path)
        .arg("--help")
        .output();
    let output = output.unwrap_or_else(|error| panic!("{program} does not run: {error}"));
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn pages() -> Vec<PathBuf> {
    let mut pages = Vec::new();
    for page in PAGES.map(|page| root().join(page)) {
        match page.is_dir() {
            true => pages.extend(
                page.read_dir()
                    .expect("a folder")
                    .flatten()
                    .map(|f| f.path()),
            ),
            false => pages.push(page),
        }
    }
    pages
}

/// Returns the commands in the code blocks and code spans of a page.
fn commands(text: &str) -> Vec<String> {
    let blocks = text.lines().filter(|line| line.starts_with("    "));
    let blocks = blocks.map(|line| line.trim().trim_start_matches("$ "));
    let spans = text.split('`').skip(1).step_by(2);
    let is_command = |code: &&str| {
        let first = code.split_whitespace().next().unwrap_or_default();
        let name = first.strip_prefix("target/release/").unwrap_or(first);
        let has_arguments = code.trim().contains(' ') || first != name;
        has_arguments
            && (name == "cargo" || name.starts_with("buckthornweir") && !name.contains('_'))
    };
    let all = blocks.chain(spans).filter(is_command);
    all.map(|code| code.replace('\n', " ")).collect()
}

/// Guards against pages whose commands fail on a fresh clone: a plain build gave no programs.
#[test]
fn commands_of_the_pages_name_what_a_build_gives() {
    let build = Build::read();
    let mut checked = 0;
    let mut faults = Vec::new();
    for page in pages() {
        let text = std::fs::read_to_string(&page).expect("a page can be read");
        for command in commands(&text) {
            checked += 1;
            let found = build.faults(&command).into_iter();
            faults.extend(found.map(|fault| format!("{}: {command}: {fault}", page.display())));
        }
    }
    assert!(checked > 20, "{checked} commands");
    assert!(faults.is_empty(), "{faults:#?}");
}

/// The check itself notices each kind of fault.
#[test]
fn wrong_commands_are_noticed() {
    let build = Build::read();
    for (command, faults) in [
        ("cargo run --release --example whole_path", 0),
        ("cargo run --example no_such", 1),
        ("cargo build -p no_such", 1),
        ("target/release/no_such --check", 1),
        (
            "target/release/buckthornweird --settings examples/settings/none.ini --chek",
            2,
        ),
        ("buckthornweir timeline --since 10m", 0),
        ("buckthornweir timeline --no-such 10m", 1),
    ] {
        assert_eq!(
            build.faults(command).len(),
            faults,
            "{command}: {:?}",
            build.faults(command)
        );
    }
}
