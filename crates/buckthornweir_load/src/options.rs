//! The command line.

use std::path::PathBuf;

use gumdrop::Options;

use crate::deployment::Programs;
use crate::scenario::Share;

/// A whole, in percent.
const PERCENT: f64 = 100.0;

/// buckthornweir-load: runs a scenario on this machine, and measures it.
#[derive(Debug, Options)]
pub struct LoadOptions {
    /// The scenario's file.
    #[options(free, required, help = "scenario to run, an INI file")]
    pub scenario: PathBuf,
    /// Whether to show the help and end.
    #[options(help = "show this help")]
    pub help: bool,
    /// Whether to check the scenario and end.
    #[options(no_short, help = "check the scenario, and run nothing")]
    pub check: bool,
    /// The daemon.
    #[options(
        no_short,
        help = "the daemon buckthornweird; default: beside this program",
        meta = "PATH"
    )]
    pub daemon: Option<PathBuf>,
    /// The operators' client.
    #[options(
        no_short,
        help = "the client buckthornweir; default: beside this program",
        meta = "PATH"
    )]
    pub client: Option<PathBuf>,
    /// The seed, in place of the scenario's.
    #[options(no_short, help = "seed in place of the scenario's", meta = "NUMBER")]
    pub seed: Option<u64>,
    /// Where to write JSON lines.
    #[options(no_short, help = "write the figures as JSON lines", meta = "FILE")]
    pub json: Option<PathBuf>,
    /// Where to write the report.
    #[options(no_short, help = "write a report with plots", meta = "FILE.html")]
    pub report: Option<PathBuf>,
    /// Where settings, logs and data folders of the processes are kept.
    #[options(
        no_short,
        help = "keep settings and logs of the processes here",
        meta = "FOLDER"
    )]
    pub keep: Option<PathBuf>,
}

impl LoadOptions {
    /// Returns the paths of the programs to run.
    #[must_use]
    pub fn programs(&self) -> Programs {
        let own = std::env::current_exe().unwrap_or_default();
        let beside = |given: &Option<PathBuf>, name: &str| {
            given.clone().unwrap_or_else(|| own.with_file_name(name))
        };
        Programs {
            daemon: beside(&self.daemon, "buckthornweird"),
            client: beside(&self.client, "buckthornweir"),
        }
    }
}

/// buckthornweir-load compare: compares the JSON lines of two runs.
#[derive(Debug, Options)]
pub struct CompareOptions {
    /// The report of the earlier run.
    #[options(free, required, help = "JSON lines of the earlier run")]
    pub before: PathBuf,
    /// The report of the later run.
    #[options(free, required, help = "JSON lines of the later run")]
    pub after: PathBuf,
    /// Whether to show the help and end.
    #[options(help = "show this help")]
    pub help: bool,
    /// By which part of itself a measure may get worse.
    #[options(
        no_short,
        help = "by how many percent a measure may get worse",
        meta = "PERCENT",
        default = "10",
        parse(try_from_str = "percent")
    )]
    pub share: Share,
}

fn percent(text: &str) -> Result<Share, String> {
    let number: f64 = text.trim_end_matches('%').parse().unwrap_or(f64::NAN);
    if number.is_finite() && number >= 0.0 {
        Ok(number / PERCENT)
    } else {
        Err(format!("`{text}` is no number of percent"))
    }
}
