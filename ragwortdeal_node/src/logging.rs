//! Logs by `log` and `env_logger`; each part starts its lines with its own fixed prefix.

/// Starts logging to standard error. `RUST_LOG` overrides the level from the settings.
pub fn start(level: &str) {
    let environment = env_logger::Env::default().default_filter_or(level);
    // A second start in one process, as tests do, keeps the first.
    let _ = env_logger::Builder::from_env(environment).format_target(false).try_init();
}
