//! Opens a link to a voter of a fleet.

use std::{net, time};

use ragwortdeal_node::{link, settings::common};
use tokio::sync::mpsc;

/// How long a voter may take to accept the link.
const LINK: time::Duration = time::Duration::from_secs(3);

/// Opens a link as an operator, and waits until the voter has accepted it.
pub(super) async fn open(voter: net::SocketAddr, secret: &str) -> Result<link::Link, String> {
    let tool = || "ragwortctl".to_owned();
    let process = common::Process { name: tool(), availability_zone: tool(), region: tool() };
    let identity = process.identity().map_err(|error| error.to_string())?;
    let (events, mut opened) = mpsc::channel(8);
    let credential = link::Credential::new(secret);
    let hello = identity.hello("operator");
    let limits = link::LinkLimits::default();
    let link = link::open(&voter.to_string(), credential, hello, limits, events);
    let up = tokio::time::timeout(LINK, opened.recv()).await;
    if !matches!(up, Ok(Some(link::LinkEvent::Up))) {
        return Err("the link was not accepted".to_owned());
    }
    Ok(link)
}
