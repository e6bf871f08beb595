//! The load generator `buckthornweir-load`.

use std::fs::{self, File};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use buckthornweir_load::{
    CompareOptions, Fault, Figures, LoadOptions, Progress, Report, Result, Scenario, compare, page,
    run, tables, write_lines,
};
use gumdrop::Options;
use indicatif::{ProgressBar, ProgressStyle};

/// Exit code for invalid input: the command line, the scenario or a report.
const BAD_INPUT: u8 = 2;
/// Exit code for a run that could not be carried out. Failures under load are only reported.
const FAILED: u8 = 1;
/// Exit code of a comparison in which a measure got worse.
const WORSE: u8 = 1;
/// The command that compares two reports instead of running a scenario.
const COMPARE: &str = "compare";

fn main() -> ExitCode {
    let result = match compare_options() {
        Some(options) => compare_reports(&options),
        None => run_load(&LoadOptions::parse_args_default_or_exit()).map(|()| ExitCode::SUCCESS),
    };
    match result {
        Ok(code) => code,
        Err(fault) => {
            eprintln!("buckthornweir-load: {fault}");
            ExitCode::from(match fault {
                Fault::Scenario(_)
                | Fault::Bundle(_)
                | Fault::NoProgram(_)
                | Fault::InvalidLine(..)
                | Fault::NoRun(_)
                | Fault::NotComparable(_) => BAD_INPUT,
                _ => FAILED,
            })
        }
    }
}

/// Returns the options of a comparison if the command line requests one.
fn compare_options() -> Option<CompareOptions> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let (command, rest) = arguments.split_first()?;
    if command != COMPARE {
        return None;
    }
    match CompareOptions::parse_args_default(rest) {
        Ok(options) if options.help => {
            println!("{}", CompareOptions::usage());
            std::process::exit(0);
        }
        Ok(options) => Some(options),
        Err(err) => {
            eprintln!("buckthornweir-load: {err}");
            std::process::exit(BAD_INPUT.into());
        }
    }
}

fn compare_reports(options: &CompareOptions) -> Result<ExitCode> {
    let before = Report::read(&options.before)?;
    let after = Report::read(&options.after)?;
    let comparison = compare(&before, &after, options.share)?;
    println!("{comparison}");
    if comparison.worse() > 0 {
        return Ok(ExitCode::from(WORSE));
    }
    Ok(ExitCode::SUCCESS)
}

fn run_load(options: &LoadOptions) -> Result<()> {
    let mut scenario = Scenario::read(&options.scenario)?;
    if let Some(seed) = options.seed {
        scenario.seed = seed;
    }
    if options.check {
        println!("{}: {} processes", scenario.name, scenario.processes());
        return Ok(());
    }
    let folder = Folder::open(options.keep.as_deref())?;
    let bar = progress_bar(&scenario);
    let runtime = tokio::runtime::Runtime::new().map_err(Fault::Runtime)?;
    let figures = runtime.block_on(run(
        &scenario,
        &options.programs(),
        folder.path(),
        |progress| {
            show_progress(&bar, progress);
        },
    ));
    bar.finish_and_clear();
    let figures = figures?;
    write_files(options, &figures)?;
    println!("{}", tables(&figures));
    Ok(())
}

fn progress_bar(scenario: &Scenario) -> ProgressBar {
    let bar = ProgressBar::new(scenario.time.as_secs());
    if let Ok(style) = ProgressStyle::with_template("{bar:30} {pos}/{len} s  {msg}") {
        bar.set_style(style);
    }
    bar.set_message("starting the processes");
    bar
}

fn show_progress(bar: &ProgressBar, progress: &Progress) {
    let counts = progress.counts;
    bar.set_position(progress.elapsed.as_secs());
    bar.set_message(format!(
        "{} flows open, {} answered, {} failed, {} flows broken  {}",
        counts.open, counts.answered, counts.failed, counts.broken, progress.last
    ));
}

fn write_files(options: &LoadOptions, figures: &Figures) -> Result<()> {
    if let Some(path) = &options.json {
        let file = |err: io::Error| Fault::File(path.clone(), err);
        let mut out = BufWriter::new(File::create(path).map_err(file)?);
        write_lines(figures, &mut out)?;
        out.flush().map_err(file)?;
    }
    if let Some(path) = &options.report {
        fs::write(path, page(figures)?).map_err(|err| Fault::File(path.clone(), err))?;
    }
    Ok(())
}

/// The folder with the processes' files. Removed on drop unless the user chose it with `--keep`.
struct Folder {
    path: PathBuf,
    kept: bool,
}

impl Folder {
    fn open(keep: Option<&Path>) -> Result<Self> {
        let name = format!("buckthornweir-load-{}", std::process::id());
        let path = keep.map_or_else(|| std::env::temp_dir().join(name), Path::to_owned);
        fs::create_dir_all(&path).map_err(|err| Fault::File(path.clone(), err))?;
        Ok(Self {
            path,
            kept: keep.is_some(),
        })
    }

    fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !self.kept && fs::remove_dir_all(&self.path).is_err() {
            eprintln!("buckthornweir-load: can't remove {}", self.path.display());
        }
    }
}
