//! Dispatch of callers' requests to announced upstreams: selection, admission and retries.
//!
//! Modules here need no network. `docs/design/platform.md` compares the policies.

pub mod answer_length;
pub mod answer_memory;
pub mod answer_time;
pub mod backlog;
pub mod bounds;
pub mod caller_time;
pub mod choice;
pub mod cutoff;
pub mod decaying;
pub mod entry_roster;
pub mod fair_share;
pub mod flow_control;
pub mod forecast;
pub mod gate;
pub mod head_time;
pub mod isolation;
pub mod level_order;
pub mod pace;
pub mod peer_load;
pub mod planned_stop;
pub mod priority;
pub mod probe;
pub mod prompt;
pub mod ramp_up;
pub mod reserve;
pub mod residency;
pub mod retry_after;
pub mod retry_budget;
pub mod silence;
pub mod size;
pub mod standing_queue;
