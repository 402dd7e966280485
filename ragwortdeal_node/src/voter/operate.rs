//! What an operator's tool asks a voter: its status, and the replacement of a lost voter.

pub mod evacuations;
pub mod parts;

use ragwortdeal_core::{name, replication::replica};
use ragwortdeal_wire::link as wire;
use snafu::Snafu;

use crate::link;

/// An operator's request to a voter, inside a link's replication message.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Request {
    /// Asks for the voter's view of the group.
    Status,
    /// Brings a new voter in, takes a lost one out, or both; the new one first. Only the leader
    /// takes it. It may be given again, also to a later leader that did not see it through.
    Replace {
        /// Instance whose voter is lost for good.
        lost: Option<name::InstanceName>,
        /// Instance of a running voter that is to take part.
        new: Option<name::InstanceName>,
    },
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Reply {
    /// The voter's view of the group.
    Status(Box<replica::Status>),
    /// The replacement goes on by itself; the status shows when it is done.
    Started,
    /// This voter does not lead; nothing was started.
    NotLeader {
        /// Address of the leader's links, where known.
        leader: Option<String>,
    },
}

/// Why an operator's request has no reply.
#[derive(Debug, Snafu)]
pub enum OperateError {
    /// The link failed.
    #[snafu(display("{source}"), context(false))]
    Link {
        /// How.
        source: link::LinkError,
    },
    /// The voter's reply cannot be read.
    #[snafu(display("the reply of {peer} cannot be read"))]
    Unreadable {
        /// Address of the voter.
        peer: String,
    },
}

/// Sends a request over a link to a voter.
pub async fn ask(
    link: &link::Link,
    request: &Request,
    deadline_ms: u64,
) -> Result<Reply, OperateError> {
    let answer = link.request("operate voter", seal(request), deadline_ms).await?;
    let peer = link.peer().to_string();
    open(&answer).ok_or(OperateError::Unreadable { peer })
}

pub(super) fn seal<T: serde::Serialize>(value: &T) -> wire::Message {
    let mut payload = Vec::new();
    ciborium::into_writer(value, &mut payload).expect("own types encode into memory");
    wire::Message::Replicate(wire::Replicate { payload: payload.into() })
}

pub(super) fn open<T: serde::de::DeserializeOwned>(message: &wire::Message) -> Option<T> {
    let wire::Message::Replicate(replicate) = message else {
        return None;
    };
    ciborium::from_reader(&replicate.payload[..]).ok()
}
