//! Proofs that an engine loaded sound chunks.

use googletest::prelude::*;
use ragwortdeal_core::orders::{
    load_proof::{InheritedStatus, LoadProofs},
    outstanding::OrderCount,
};

/// What an agent does and learns, in order.
enum Step {
    Write,
    /// The engine reports so many accepted orders.
    Report(u64),
    /// The same, asked for before the last write began.
    ReportFromBeforeTheWrite(u64),
    Sound(u64),
    Corrupt,
    /// Reported by an earlier process: its number, the version, and whether the engine accepted
    /// requests.
    Inherit(u64, u64, bool),
    /// Reported by an earlier process of an earlier process of the engine, which accepted requests.
    InheritOfEarlierEngine(u64),
}

use Step::{
    Corrupt, Inherit, InheritOfEarlierEngine, Report, ReportFromBeforeTheWrite, Sound, Write,
};

const BORN_MS: u64 = 1_000;

fn after(steps: &[Step]) -> LoadProofs {
    let mut proofs = LoadProofs::default();
    let mut before_write = proofs.writes();
    for step in steps {
        match *step {
            Write => {
                before_write = proofs.writes();
                proofs.written();
            }
            ReportFromBeforeTheWrite(accepted) => {
                proofs.reported(before_write, OrderCount { born_ms: 0, accepted });
            }
            Report(accepted) => {
                proofs.reported(proofs.writes(), OrderCount { born_ms: 0, accepted });
            }
            Sound(version) => proofs.proven(version),
            Corrupt => proofs.refuted(),
            Inherit(sequence, version, accepts) => {
                proofs.inherited(InheritedStatus { sequence, born_ms: BORN_MS, version, accepts });
            }
            InheritOfEarlierEngine(version) => {
                let born_ms = BORN_MS - 1;
                proofs.inherited(InheritedStatus { sequence: 7, born_ms, version, accepts: true });
            }
        }
    }
    proofs
}

macro_rules! version_2 {
    ($($case:ident: [$($step:expr),*], serves = $serves:literal, provable = $provable:literal;)*) => {$(
        #[googletest::test]
        fn $case() {
            let proofs = after(&[$($step),*]);
            expect_that!(proofs.may_serve(2, BORN_MS), eq($serves));
            expect_that!(proofs.is_provable(), eq($provable));
        }
    )*};
}

version_2! {
    // Guards against an engine that is out of service because its agent starts before any order.
    a_version_that_is_found_without_orders_is_served: [Report(0)], serves = true, provable = true;
    // Guards against weights of an order whose agent was killed before the proof, where no voter
    // remembers its reports.
    a_version_that_is_found_after_orders_is_doubted: [Report(3)], serves = false, provable = true;
    // Guards against a report on an engine that has started again since.
    a_report_of_an_earlier_process_of_the_engine_says_nothing:
        [InheritOfEarlierEngine(2), Report(1)], serves = false, provable = true;
    // Guards against an order that is accepted after the engine was asked and before a write.
    a_report_asked_for_before_a_write_proves_nothing_after_it:
        [Report(0), Write, ReportFromBeforeTheWrite(0), Report(1)], serves = false, provable = false;
    nothing_is_served_before_a_report: [], serves = false, provable = false;
    // Guards against requests to weights that became corrupt between read-back and order.
    an_ordered_version_waits_for_its_proof:
        [Report(0), Write, Report(0), Report(1)], serves = false, provable = true;
    // Guards against a proof by a chunk that was staged again after the engine took a corrupt one.
    a_write_after_the_order_ends_the_proof:
        [Report(0), Write, Report(0), Report(1), Write], serves = false, provable = false;
    a_later_order_is_provable_again:
        [Report(0), Report(1), Write, Report(1), Report(2)], serves = false, provable = true;
    a_proven_version_is_served:
        [Report(0), Write, Report(0), Report(1), Sound(2)], serves = true, provable = false;
    // Guards against a second read-back that overrules the first.
    a_refuted_version_needs_another_order:
        [Report(0), Report(1), Corrupt], serves = false, provable = false;
    an_order_after_a_refutation_is_provable:
        [Report(0), Report(1), Corrupt, Write, Report(1), Report(2)],
        serves = false, provable = true;
    // Guards against an order for a lower version that is accepted late, after chunks of a newer
    // one were staged and read back.
    a_proof_of_another_version_says_nothing:
        [Report(0), Write, Report(0), Report(1), Sound(3)], serves = false, provable = false;
    // Guards against an order that is accepted late, after the proof of an earlier load.
    a_proof_ends_with_its_load:
        [Report(0), Report(1), Sound(2), Report(2)], serves = false, provable = true;
    // Guards against an order that is accepted while chunks are written.
    a_write_since_the_last_report_ends_the_proof:
        [Report(0), Write, Report(1)], serves = false, provable = false;
    an_engine_that_started_again_proves_nothing_by_its_earlier_loads:
        [Report(0), Report(1), Sound(2), Report(0), Report(1)], serves = false, provable = true;
    // Guards against weights of an order whose agent was killed before the proof.
    a_load_of_an_earlier_process_is_doubted:
        [Inherit(7, 2, false), Report(1)], serves = false, provable = true;
    // Guards against weights that were ordered by an earlier process and accepted after its end.
    a_load_that_an_earlier_process_did_not_report_is_doubted:
        [Inherit(7, 1, true), Report(1)], serves = false, provable = true;
    a_proof_settles_what_was_inherited:
        [Inherit(7, 2, false), Report(1), Sound(2)], serves = true, provable = false;
    a_proven_load_of_an_earlier_process_is_served:
        [Inherit(7, 2, true), Report(1)], serves = true, provable = true;
    // Guards against the report of a voter that missed the last one.
    the_last_inherited_report_counts:
        [Inherit(8, 2, true), Inherit(7, 2, false), Report(1)], serves = true, provable = true;
    a_report_that_is_inherited_late_counts:
        [Report(1), Inherit(7, 2, false)], serves = false, provable = true;
    a_proof_outweighs_a_report_that_is_inherited_later:
        [Report(0), Report(1), Sound(2), Inherit(7, 2, false)], serves = true, provable = false;
    writes_end_the_proof_of_what_was_inherited:
        [Inherit(7, 2, false), Report(1), Write], serves = false, provable = false;
    // Guards against an engine that is out of service because an earlier process ended before its
    // first order was accepted.
    weights_of_an_engine_without_orders_are_served:
        [Inherit(7, 2, false), Report(0)], serves = true, provable = true;
}
