//! Changes of labels, selectors and versions.

use std::{process, time};

use ragwortdeal_node::border;
use ragwortdeal_wire::operator as wire;
use snafu::OptionExt as _;

use super::{CommandError, LabelSnafu, NotSetSnafu, views};
use crate::{cli, client, output};

/// Exit code where a change was refused, so that scripts can tell it from an unknown outcome.
const EXIT_REFUSED: u8 = 3;

/// Exit code where the outcome of a change is unknown.
const EXIT_UNKNOWN: u8 = 4;

/// Kinds of things that have labels.
const LABELLED: [&str; 4] = ["instance", "model", "service", "account"];

pub(super) async fn label(
    client: &client::Client,
    output: cli::Output,
    command: cli::Label,
) -> Result<process::ExitCode, CommandError> {
    match command {
        cli::Label::Set { key, labels, guard } => {
            set_labels(client, output, key, &labels, guard).await
        }
        cli::Label::Get { key } => views::object(client, output, &key).await,
        cli::Label::List { kind } => {
            views::objects(client, output, kind.as_deref(), &LABELLED).await
        }
        cli::Label::Remove { key, guard } => send(client, output, key, None, guard).await,
    }
}

pub(super) async fn selector(
    client: &client::Client,
    output: cli::Output,
    command: cli::Selector,
) -> Result<process::ExitCode, CommandError> {
    match command {
        cli::Selector::Place { name, instances, version, guard } => {
            let object = wire::Object::Placement(wire::Placement { instances, version });
            send(client, output, format!("placement/{name}"), Some(object), guard).await
        }
        cli::Selector::Route { name, accounts, targets, upstreams, guard } => {
            let object = wire::Object::Route(wire::Route { accounts, targets, upstreams });
            send(client, output, format!("route/{name}"), Some(object), guard).await
        }
        cli::Selector::Get { key } => views::object(client, output, &key).await,
        cli::Selector::List { kind } => {
            views::objects(client, output, kind.as_deref(), &["placement", "route"]).await
        }
        cli::Selector::Remove { key, guard } => send(client, output, key, None, guard).await,
    }
}

pub(super) async fn version(
    client: &client::Client,
    output: cli::Output,
    command: cli::Version,
) -> Result<process::ExitCode, CommandError> {
    match command {
        cli::Version::Add { version, model, adapter, size_bytes, guard } => {
            let object = wire::Object::Version(wire::Version { model, adapter, size_bytes });
            send(client, output, format!("version/{version}"), Some(object), guard).await
        }
        cli::Version::List => views::objects(client, output, None, &["version"]).await,
        cli::Version::Remove { version, guard } => {
            send(client, output, format!("version/{version}"), None, guard).await
        }
    }
}

/// Merges labels into those that stand, guarded by the revision at which those were read, so that
/// two operators who label one thing at once never undo each other unseen.
async fn set_labels(
    client: &client::Client,
    output: cli::Output,
    key: String,
    changes: &[String],
    mut guard: cli::Guard,
) -> Result<process::ExitCode, CommandError> {
    let present = views::find(client, &key).await?;
    let revision = present.as_ref().map_or(0, |view| view.revision);
    let mut labels = match present.map(|view| view.object) {
        Some(wire::Object::Labels(labels)) => labels.0,
        _ => Default::default(),
    };
    for change in changes {
        match (change.split_once('='), change.strip_suffix('-')) {
            (Some((key, value)), _) => {
                labels.insert(key.to_owned(), value.to_owned());
            }
            (None, Some(key)) => {
                labels.remove(key);
            }
            (None, None) => return LabelSnafu { text: change }.fail(),
        }
    }
    guard.expected_revision.get_or_insert(revision);
    let object = wire::Object::Labels(wire::Labels(labels));
    send(client, output, key, Some(object), guard).await
}

async fn send(
    client: &client::Client,
    output: cli::Output,
    key: String,
    object: Option<wire::Object>,
    guard: cli::Guard,
) -> Result<process::ExitCode, CommandError> {
    border::key_from_wire(&key)?;
    if object.is_none() {
        views::find(client, &key).await?.context(NotSetSnafu { key: &key })?;
    }
    let id = guard.change_id.unwrap_or_else(new_change_id);
    let expected_revision = guard.expected_revision;
    let change = wire::Change { id, key, expected_revision, object };
    let answer = client.change(&change).await?;
    output::print(output, &answer, |answer| table(&change, answer))?;
    Ok(match answer.outcome {
        wire::ChangeAnswerOutcome::Accepted => process::ExitCode::SUCCESS,
        wire::ChangeAnswerOutcome::Refused => process::ExitCode::from(EXIT_REFUSED),
        wire::ChangeAnswerOutcome::Unknown => process::ExitCode::from(EXIT_UNKNOWN),
    })
}

fn table(change: &wire::Change, answer: &wire::ChangeAnswer) -> output::Table {
    let mut table = output::Table::new(&["CHANGE", "KEY", "OUTCOME", "REVISION", "NOTE"]);
    let revision = answer.revision.or(answer.present_revision);
    let note = match (&answer.reason, answer.matches) {
        (Some(reason), _) => reason.clone(),
        (None, Some(0)) => "matches no known instance yet".to_owned(),
        (None, Some(matches)) => format!("matches {matches} instances"),
        (None, None) => String::new(),
    };
    table.row(vec![
        change.id.clone(),
        change.key.clone(),
        answer.outcome.to_string(),
        revision.map_or_else(String::new, |revision| revision.to_string()),
        note,
    ]);
    table
}

/// An identifier that no other change has: the time in nanoseconds and this process's number.
fn new_change_id() -> String {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let now_ns = since_epoch.map_or(0, |elapsed| elapsed.as_nanos());
    format!("ctl-{now_ns:x}-{}", process::id())
}
