//! Sockets, files, timers and telemetry round the core of ragwortdeal.
//!
//! Each program is a thin binary over one of [`entry`], [`agent`] and [`voter`]; tests and examples
//! run the same parts as library tasks. `docs/ARCHITECTURE.md` has a picture.

pub mod agent;
mod attempt;
pub mod border;
mod chunk_answers;
pub mod clock;
pub mod entry;
pub mod explain;
pub mod fleet;
pub mod http;
pub mod lease;
pub mod link;
pub mod logging;
mod pace;
pub mod program;
pub mod relay;
pub mod settings;
pub mod stop;
pub mod storage;
pub mod telemetry;
pub mod voter;
