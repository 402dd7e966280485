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

/// Runs a program to its end, or only checks its settings. `main` gets the request to stop, which
/// SIGTERM and SIGINT give.
pub fn run<S, F, R, E>(file: &path::Path, only_check: bool, main: F) -> process::ExitCode
where
    S: settings::Settings,
    F: FnOnce(S, stop::Stop) -> R,
    R: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    let runtime = tokio::runtime::Builder::new_multi_thread();
    run_on(runtime, Logs::ForPeople, file, only_check, main)
}

/// Runs a program on one thread, for an instance that has a part of one core: more threads would
/// only take turns there, at the price of a switch for each.
pub fn run_on_one_thread<S, F, R, E>(
    file: &path::Path,
    only_check: bool,
    main: F,
) -> process::ExitCode
where
    S: settings::Settings,
    F: FnOnce(S, stop::Stop) -> R,
    R: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    let runtime = tokio::runtime::Builder::new_current_thread();
    run_on(runtime, Logs::Structured, file, only_check, main)
}

/// Form of a program's logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Logs {
    ForPeople,
    Structured,
}

fn run_on<S, F, R, E>(
    mut builder: tokio::runtime::Builder,
    logs: Logs,
    file: &path::Path,
    only_check: bool,
    main: F,
) -> process::ExitCode
where
    S: settings::Settings,
    F: FnOnce(S, stop::Stop) -> R,
    R: Future<Output = Result<(), E>>,
    E: fmt::Display,
{
    let settings: S = match load(file) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if only_check {
        return process::ExitCode::SUCCESS;
    }
    let pending = match logs {
        Logs::ForPeople => {
            logging::start(settings.log_level());
            None
        }
        Logs::Structured => Some(logging::start_structured(settings.log_level())),
    };
    let runtime = builder.enable_all().build();
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
        main(settings, stop).await
    });
    let code = match ended {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("program: {error}");
            process::ExitCode::FAILURE
        }
    };
    if let Some(pending) = pending {
        pending.flush();
    }
    code
}
