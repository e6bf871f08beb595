//! Command line options.

use std::path::PathBuf;

use gumdrop::Options;

use crate::deployment::Programs;
use crate::scenario::Share;

const PERCENT: f64 = 100.0;

/// buckthornweir-load: runs a scenario on this machine, and measures it.
#[derive(Debug, Options)]
pub struct LoadOptions {
    /// The path of the scenario.
    #[options(free, required, help = "scenario to run, an INI file")]
    pub scenario: PathBuf,
    /// Whether to print the help and exit.
    #[options(help = "show this help")]
    pub help: bool,
    /// Whether to only validate the scenario.
    #[options(no_short, help = "check the scenario, and run nothing")]
    pub check: bool,
    /// The path of the daemon.
    #[options(
        no_short,
        help = "the daemon buckthornweird; default: beside this program",
        meta = "PATH"
    )]
    pub daemon: Option<PathBuf>,
    /// The path of the operators' client.
    #[options(
        no_short,
        help = "the client buckthornweir; default: beside this program",
        meta = "PATH"
    )]
    pub client: Option<PathBuf>,
    /// Overrides the scenario's seed.
    #[options(no_short, help = "seed in place of the scenario's", meta = "NUMBER")]
    pub seed: Option<u64>,
    /// Where to write the figures as JSON lines.
    #[options(no_short, help = "write the figures as JSON lines", meta = "FILE")]
    pub json: Option<PathBuf>,
    /// Where to write the HTML report.
    #[options(no_short, help = "write a report with plots", meta = "FILE.html")]
    pub report: Option<PathBuf>,
    /// The folder in which to keep the processes' settings, logs and data folders.
    #[options(
        no_short,
        help = "keep settings and logs of the processes here",
        meta = "FOLDER"
    )]
    pub keep: Option<PathBuf>,
}

impl LoadOptions {
    /// Returns the paths of the programs to run. By default they are next to this executable.
    #[must_use]
    pub fn programs(&self) -> Programs {
        let own_path = std::env::current_exe().unwrap_or_default();
        let path_or_sibling = |given: &Option<PathBuf>, name: &str| {
            given
                .clone()
                .unwrap_or_else(|| own_path.with_file_name(name))
        };
        Programs {
            daemon: path_or_sibling(&self.daemon, "buckthornweird"),
            client: path_or_sibling(&self.client, "buckthornweir"),
        }
    }
}

/// buckthornweir-load compare: compares the JSON lines of two runs.
#[derive(Debug, Options)]
pub struct CompareOptions {
    /// The JSON lines of the earlier run.
    #[options(free, required, help = "JSON lines of the earlier run")]
    pub before: PathBuf,
    /// The JSON lines of the later run.
    #[options(free, required, help = "JSON lines of the later run")]
    pub after: PathBuf,
    /// Whether to print the help and exit.
    #[options(help = "show this help")]
    pub help: bool,
    /// The relative increase above which a measure counts as worse.
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
        Err(format!("`{text}` is not a percentage"))
    }
}
