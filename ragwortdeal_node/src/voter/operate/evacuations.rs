//! What an operator's tool asks a voter of a fleet about evacuations of availability zones.

use ragwortdeal_core::document::evacuation;

use super::{OperateError, open, seal};
use crate::link;

/// An operator's request, inside a link's replication message.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum EvacuationsRequest {
    /// Asks for the state of all zones.
    ListEvacuations,
    /// Starts or ends an evacuation. It may be given again.
    SetEvacuation {
        /// The availability zone.
        zone: String,
        /// Whether nothing more is sent to its upstreams.
        evacuated: bool,
    },
}

/// The state of all zones.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ListedZones {
    /// Each zone with its state.
    pub zones: Vec<evacuation::Evacuation>,
    /// Whether a quorum of the voters confirmed it. It may be outdated otherwise.
    pub confirmed: bool,
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum EvacuationsReply {
    /// The state of all zones.
    Zones(ListedZones),
    /// The state of the zone is as asked, and a quorum of the voters has recorded it.
    InForce(evacuation::Evacuation),
    /// The voter's settings do not name the zone.
    UnknownZone,
    /// Nobody can be sure of the state.
    NotConfirmed {
        /// Why it was not confirmed.
        reason: String,
    },
}

/// Sends a request over a link to a voter of a fleet.
pub async fn ask(
    link: &link::Link,
    request: &EvacuationsRequest,
    deadline_ms: u64,
) -> Result<EvacuationsReply, OperateError> {
    let answer = link.request("operate voter", seal(request), deadline_ms).await?;
    open(&answer).ok_or(OperateError::Unreadable { peer: link.peer().to_string() })
}
