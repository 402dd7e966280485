//! Prints the story of one request from log files.

use std::{fs, path, process};

use ragwortdeal_node::explain;
use snafu::ResultExt as _;

use super::{CommandError, IoSnafu};

/// Reads the files and prints what they say of the request, in the order of time.
pub(super) fn explain(
    request: &str,
    files: &[path::PathBuf],
) -> Result<process::ExitCode, CommandError> {
    let mut story = Vec::new();
    for file in files {
        let log = fs::read(file).context(IoSnafu { step: "read log" })?;
        let log = String::from_utf8_lossy(&log);
        story.extend(explain::lines_of(request, &file.display().to_string(), &log));
    }
    story.sort_by_key(|line| line.at_ms);
    if story.is_empty() {
        println!("no line speaks of request {request}");
        return Ok(process::ExitCode::FAILURE);
    }
    story.iter().for_each(|line| println!("{line}"));
    if let Some(cause) = explain::cause(&story) {
        println!("cause: {cause}");
    }
    Ok(process::ExitCode::SUCCESS)
}
