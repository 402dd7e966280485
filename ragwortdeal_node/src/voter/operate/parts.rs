//! What an operator's tool asks a voter of a fleet about parts of prompts that end engines, and about
//! requests that end upstreams.

use ragwortdeal_core::dispatch::isolation::{evidence, request_ends, verdicts};

use super::{OperateError, open, seal};
use crate::link;

/// An operator's request, inside a link's replication message.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum PartsRequest {
    /// Asks which parts and requests are isolated, and what speaks against others.
    ListParts,
    /// Isolates or releases a part, or a request by its fingerprint. It may be given again.
    SetPart {
        /// Name of the part, or of the fingerprint.
        name: String,
        /// Whether requests with it are refused.
        isolated: bool,
    },
}

/// What a voter knows of parts and requests.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct ListedParts {
    /// Parts that are isolated or were released.
    pub verdicts: Vec<verdicts::Verdict>,
    /// What speaks against parts that are not isolated, the heaviest first.
    pub charges: Vec<evidence::Charge>,
    /// Requests that are isolated or were released. Voters of earlier versions tell none.
    #[serde(default)]
    pub requests: Vec<verdicts::Verdict>,
    /// Ends that count against requests which are not isolated.
    #[serde(default)]
    pub request_charges: Vec<request_ends::RequestCharge>,
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub enum PartsReply {
    /// What the voter knows.
    Parts(ListedParts),
    /// The voters have recorded it.
    Recorded(verdicts::Verdict),
    /// It is in force at those who know it, and may be lost with all processes.
    NotRecorded {
        /// Why the voters have not recorded it.
        reason: String,
    },
}

/// Sends a request over a link to a voter of a fleet.
pub async fn ask(
    link: &link::Link,
    request: &PartsRequest,
    deadline_ms: u64,
) -> Result<PartsReply, OperateError> {
    let answer = link.request("operate voter", seal(request), deadline_ms).await?;
    open(&answer).ok_or(OperateError::Unreadable { peer: link.peer().to_string() })
}
