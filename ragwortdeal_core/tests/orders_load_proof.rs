//! Proofs that an engine loaded sound chunks.

use googletest::prelude::*;
use ragwortdeal_core::orders::load_proof::{InheritedStatus, LoadProofs};

/// What an agent does and learns, in order.
enum Step {
    Write,
    Order(u64),
    Sound(u64),
    Corrupt(u64),
    /// Reported by an earlier process: its number, and whether the engine accepted requests.
    Inherit(u64, bool),
}

use Step::{Corrupt, Inherit, Order, Sound, Write};

fn after(steps: &[Step]) -> LoadProofs {
    let mut proofs = LoadProofs::default();
    for step in steps {
        match *step {
            Write => proofs.written(),
            Order(version) => proofs.ordered(version),
            Sound(version) => proofs.proven(version),
            Corrupt(version) => proofs.refuted(version),
            Inherit(sequence, accepts) => proofs.inherited(InheritedStatus { sequence, accepts }),
        }
    }
    proofs
}

macro_rules! version_2 {
    ($($case:ident: [$($step:expr),*], serves = $serves:literal, provable = $provable:literal;)*) => {$(
        #[googletest::test]
        fn $case() {
            let proofs = after(&[$($step),*]);
            expect_that!(proofs.may_serve(2), eq($serves));
            expect_that!(proofs.is_provable(2), eq($provable));
        }
    )*};
}

version_2! {
    // Guards against an engine that is out of service because its agent starts again.
    a_version_that_is_found_is_served: [], serves = true, provable = true;
    // Guards against requests to weights that became corrupt between read-back and order.
    an_ordered_version_waits_for_its_proof:
        [Write, Order(2)], serves = false, provable = true;
    // Guards against a proof by a chunk that was staged again after the engine took a corrupt one.
    a_write_after_the_order_ends_the_proof:
        [Write, Order(2), Write], serves = false, provable = false;
    a_later_order_is_provable_again:
        [Write, Order(2), Write, Order(2)], serves = false, provable = true;
    a_proven_version_is_served:
        [Write, Order(2), Sound(2)], serves = true, provable = false;
    // Guards against a second read-back that overrules the first.
    a_refuted_version_needs_another_order:
        [Order(2), Corrupt(2)], serves = false, provable = false;
    an_order_after_a_refutation_is_provable:
        [Order(2), Corrupt(2), Write, Order(2)], serves = false, provable = true;
    a_newer_proof_says_nothing_of_a_version_that_is_ordered_later:
        [Order(2), Sound(1)], serves = false, provable = true;
    // Guards against weights of an order whose agent was killed before the proof.
    a_load_of_an_earlier_process_is_doubted:
        [Inherit(7, false)], serves = false, provable = true;
    a_proof_settles_what_was_inherited:
        [Inherit(7, false), Sound(2)], serves = true, provable = true;
    a_proven_load_of_an_earlier_process_is_served:
        [Inherit(7, true)], serves = true, provable = true;
    // Guards against the report of a voter that missed the last one.
    the_last_inherited_report_counts:
        [Inherit(8, true), Inherit(7, false)], serves = true, provable = true;
    writes_end_the_proof_of_what_was_inherited:
        [Inherit(7, false), Write], serves = false, provable = false;
}
