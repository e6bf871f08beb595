//! The daemon `buckthornweird`.

use std::path::PathBuf;
use std::process::ExitCode;

use buckthornweir_daemon::prelude::*;
use buckthornweir_events::start_logs;
use gumdrop::Options;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The exit code after a planned stop.
const DONE: u8 = 0;

/// The exit code when the process could not start, or stopped with requests unfinished.
const FAILED: u8 = 1;

/// The exit code for bad arguments or settings.
const BAD_INPUT: u8 = 2;

/// Worker threads of the async runtime, which runs requests and links.
const WORKER_THREADS: usize = 2;

/// buckthornweird: a load balancer's balancer, agent and control roles.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this text")]
    help: bool,
    #[options(no_short, help = "print the version")]
    version: bool,
    #[options(no_short, meta = "FILE", help = "the settings, in INI text")]
    settings: Option<PathBuf>,
    #[options(no_short, help = "check the settings, start nothing")]
    check: bool,
}

fn main() -> ExitCode {
    ExitCode::from(run(&Arguments::parse_args_default_or_exit()))
}

fn run(arguments: &Arguments) -> u8 {
    if arguments.version {
        println!("buckthornweird {}", env!("CARGO_PKG_VERSION"));
        return DONE;
    }
    let Some(path) = &arguments.settings else {
        eprintln!("buckthornweird: --settings FILE is missing; see --help");
        return BAD_INPUT;
    };
    let settings = match Settings::read(path) {
        Ok(settings) => settings,
        Err(fault) => {
            eprintln!("buckthornweird: {fault}");
            return BAD_INPUT;
        }
    };
    if arguments.check {
        println!("{}: the settings are valid", path.display());
        return DONE;
    }
    if let Err(error) = start_logs(settings.log.format, &settings.log.filter) {
        eprintln!("buckthornweird: {error}");
        return BAD_INPUT;
    }
    match runtime() {
        Ok(runtime) => runtime.block_on(serve(settings)),
        Err(error) => report_failure(&error),
    }
}

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build()
}

fn report_failure(error: &dyn std::error::Error) -> u8 {
    eprintln!("buckthornweird: {error}");
    FAILED
}

async fn serve(settings: Settings) -> u8 {
    let (mut terminate, mut interrupt) = match signals() {
        Ok(signals) => signals,
        Err(error) => return report_failure(&error),
    };
    let node = match Node::start(settings).await {
        Ok(node) => node,
        Err(error) => return report_failure(&error),
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    tokio::select! {
        ended = node.stop() => if ended { DONE } else { FAILED },
        _ = terminate.recv() => FAILED,
        _ = interrupt.recv() => FAILED,
    }
}

fn signals() -> std::io::Result<(Signal, Signal)> {
    let terminate = signal(SignalKind::terminate())?;
    let interrupt = signal(SignalKind::interrupt())?;
    Ok((terminate, interrupt))
}
