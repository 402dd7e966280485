//! The committed types agree with the committed schemas.

use std::fs;

use googletest::prelude::*;
use ragwortdeal_wire::{engine, link, operator};
use sha2::Digest as _;

macro_rules! generated_from {
    ($($case:ident: $file:literal, $module:ident;)*) => {$(
        /// A schema that was edited without running `generate` would let two processes disagree
        /// on what travels between them.
        #[googletest::test]
        fn $case() {
            let path = concat!(env!("CARGO_MANIFEST_DIR"), "/schema/", $file);
            let sum = sha2::Sha256::digest(fs::read(path).unwrap());
            let hex: String = sum.iter().map(|byte| format!("{byte:02x}")).collect();
            expect_that!(hex, eq($module::SCHEMA_SHA256));
        }
    )*};
}

generated_from! {
    engine_types: "engine.json", engine;
    link_types: "link.json", link;
    operator_types: "operator.json", operator;
}

/// An operator who misspells a field must be told, since the change would otherwise be accepted
/// without the part that was misspelled.
#[googletest::test]
fn a_misspelled_field_of_a_change_is_refused() {
    let text = r#"{"id": "c-1", "key": "instance/a", "expected_revison": 3}"#;
    expect_that!(serde_json::from_str::<operator::Change>(text), err(anything()));
}
