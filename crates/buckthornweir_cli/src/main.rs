//! The operators' command-line client `buckthornweir`.

use std::process::ExitCode;

use buckthornweir_cli::prelude::*;
use gumdrop::Options as _;
use tokio::runtime::Builder;

fn main() -> ExitCode {
    let arguments = Arguments::parse_args_default_or_exit();
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("buckthornweir: {error}");
            return Exit::Unreachable.into();
        }
    };
    match runtime.block_on(run(arguments)) {
        Ok(()) => Exit::Done.into(),
        Err(fault) => {
            eprintln!("buckthornweir: {fault}");
            fault.exit().into()
        }
    }
}
