//! What all programs do alike: read settings, log, run until a signal, and say how it ended.

use std::{fmt, path, process};

use crate::{logging, settings, stop};

/// Exit code where the settings are wrong.
pub const EXIT_SETTINGS: u8 = 2;

/// Reads and checks settings. Complaints go to standard error, all at once.
pub fn load<S: settings::Settings>(file: &path::Path) -> Result<S, process::ExitCode> {
    settings::load(file).map_err(|error| {
        eprintln!("{error}");
        process::ExitCode::from(EXIT_SETTINGS)
    })
}

/// Runs a program to its end. `main` gets the request to stop, which SIGTERM and SIGINT give.
pub fn run<F, R, E>(level: &str, main: F) -> process::ExitCode
where
    F: FnOnce(stop::Stop) -> R,
    R: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    logging::start(level);
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("program: cannot start: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    let ended = runtime.block_on(async {
        let (stopper, stop) = stop::pair();
        tokio::spawn(stop::on_signal(stopper));
        main(stop).await
    });
    match ended {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("program: {error}");
            process::ExitCode::FAILURE
        }
    }
}
