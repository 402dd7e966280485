//! What tests of the programs as processes have in common.

use std::{env, path, process};

/// Packages whose programs are run.
const PROGRAMS: [&str; 3] = ["ragwortdeal-entry", "ragwortdeal-agent", "ragwortdeal-voter"];

/// Folder of other programs to run, such as those of an earlier build.
const PROGRAMS_VARIABLE: &str = "RAGWORTDEAL_PROGRAMS";

/// Builds the programs as the tests are built, and says where they lie.
pub fn programs() -> path::PathBuf {
    if let Some(folder) = env::var_os(PROGRAMS_VARIABLE) {
        return folder.into();
    }
    let packages = PROGRAMS.iter().flat_map(|package| ["--package", package]);
    let built = process::Command::new(env!("CARGO"))
        .args(["build", "--locked", "--quiet", "--profile", "test"])
        .args(packages)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status();
    assert!(built.is_ok_and(|status| status.success()), "the programs cannot be built");
    let own = path::PathBuf::from(env!("CARGO_BIN_EXE_ragwortdeal-soak"));
    own.parent().expect("a folder").to_owned()
}
