//! The voters as operators see them, and the replacement of a lost one.

use std::sync;

use ragwortdeal_core::{
    name,
    replication::{entry as log_entry, replica},
};
use ragwortdeal_wire::operator as wire;

use super::{may, read};
use crate::{
    entry::{Entry, callers},
    http,
    voter::operate,
};

/// Lists the voters.
pub(super) async fn list(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    if let Err(refusal) = may(&entry, &request) {
        return refusal;
    }
    match leader_status(&entry).await {
        Some(status) => http::json(200, &view(&status)),
        None => cut_off(&entry),
    }
}

/// Replaces a voter. The replacement goes on by itself; the list shows when it is done.
pub(super) async fn replace(entry: sync::Arc<Entry>, request: http::Request) -> http::Response {
    if let Err(refusal) = may(&entry, &request) {
        return refusal;
    }
    let id = entry.request_id();
    let bad = |detail: &str| callers::not_run(http::Kind::BadRequest, detail, &id);
    let asked: wire::VoterReplacement = match read(request, &id).await {
        Ok(asked) => asked,
        Err(refusal) => return refusal,
    };
    let named = |name: Option<String>| name.map(|name| name::InstanceName::new(&name)).transpose();
    let (lost, new) = match (named(asked.lost), named(asked.new)) {
        (Ok(lost), Ok(new)) if lost.is_some() || new.is_some() => (lost, new),
        _ => return bad("name the lost voter, the new one, or both"),
    };
    let request = operate::Request::Replace { lost, new };
    for voter in &entry.voters {
        let asked = operate::ask(voter, &request, entry.settings.limits.control_ms).await;
        if let Ok(operate::Reply::Started) = asked {
            let status = leader_status(&entry).await;
            return status
                .map_or_else(|| cut_off(&entry), |status| http::json(202, &view(&status)));
        }
    }
    // The replacement may be given again, so a lost answer costs nothing.
    cut_off(&entry)
}

fn cut_off(entry: &Entry) -> http::Response {
    let detail = "no leader of the voters can be reached";
    callers::not_run(http::Kind::CutOff, detail, &entry.request_id())
}

async fn leader_status(entry: &Entry) -> Option<replica::Status> {
    for voter in &entry.voters {
        let asked =
            operate::ask(voter, &operate::Request::Status, entry.settings.limits.control_ms).await;
        match asked {
            Ok(operate::Reply::Status(status)) if status.is_leader => return Some(*status),
            _ => (),
        }
    }
    None
}

fn view(status: &replica::Status) -> wire::VoterList {
    let matched = |id: &log_entry::ReplicaId| {
        let follower = status.followers.iter().find(|follower| follower.id == *id);
        follower.map_or(status.last.index, |follower| follower.match_index)
    };
    let leads = |id: &log_entry::ReplicaId| status.leader.as_ref() == Some(id);
    let voters = status.membership.voters.iter().map(|id| (id, "follower"));
    let learners = status.membership.learners.iter().map(|id| (id, "learner"));
    let row = |(id, role): (&log_entry::ReplicaId, &str)| wire::Voter {
        name: id.instance.to_string(),
        storage: id.to_string(),
        role: if leads(id) { "leader" } else { role }.to_owned(),
        last_index: matched(id),
    };
    wire::VoterList { term: status.term, voters: voters.chain(learners).map(row).collect() }
}
