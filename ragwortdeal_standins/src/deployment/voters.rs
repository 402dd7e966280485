//! Asks voters as an operator's tool does.

use ragwortdeal_core::replication::replica;
use ragwortdeal_node::{link, voter};
use ragwortdeal_wire::link as wire;
use tokio::sync::mpsc;

use super::{CLUSTER_SECRET, Deployment, wait_for};

impl Deployment {
    /// A link to a voter, as an operator's tool opens it. It is up a moment later.
    pub fn voter_link(&self, number: usize) -> link::Link {
        let address = self.voters[number].settings.listen.links.to_string();
        let hello = wire::Hello {
            name: "tests".to_owned(),
            role: "operator".to_owned(),
            zone: "home".to_owned(),
            incarnation: 1,
        };
        let (events, mut received) = mpsc::channel(16);
        tokio::spawn(async move { while received.recv().await.is_some() {} });
        let credential = link::Credential::new(CLUSTER_SECRET);
        link::open(&address, credential, hello, link::LinkLimits::default(), events)
    }

    /// A voter's view of its group, `None` where it does not answer.
    pub async fn voter_status(&self, number: usize) -> Option<replica::Status> {
        match self.ask_voter(number, &voter::operate::Request::Status).await {
            Some(voter::operate::Reply::Status(status)) => Some(*status),
            _ => None,
        }
    }

    /// Asks a voter as an operator's tool does.
    pub async fn ask_voter(
        &self,
        number: usize,
        request: &voter::operate::Request,
    ) -> Option<voter::operate::Reply> {
        self.voters[number].process.as_ref()?;
        let link = self.voter_link(number);
        wait_for("the link to a running voter is up", async || link.is_up()).await;
        voter::operate::ask(&link, request, 1_000).await.ok()
    }
}
