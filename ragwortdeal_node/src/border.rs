//! Conversions between the generated types of the border and the types of the core.

use ragwortdeal_core::{config, digest, labels, name};
use ragwortdeal_wire::operator as wire;
use snafu::{ResultExt as _, Snafu};

/// Why something from outside is no valid value of the core.
#[derive(Debug, Snafu)]
pub enum BorderError {
    /// A name breaks the rule for names.
    #[snafu(display("{field}: {source}"))]
    Name {
        /// The field that holds it.
        field: &'static str,
        /// What is wrong.
        source: name::NameError,
    },
    /// A digest is malformed.
    #[snafu(display("{field}: {source}"))]
    Digest {
        /// The field that holds it.
        field: &'static str,
        /// What is wrong.
        source: digest::DigestError,
    },
    /// A selector is malformed.
    #[snafu(display("{field}: {source}"))]
    Selector {
        /// The field that holds it.
        field: &'static str,
        /// What is wrong.
        source: labels::SelectorError,
    },
    /// An object's key is malformed.
    #[snafu(display("key: {text:?} is not KIND/NAME with a known kind"))]
    Key {
        /// The text given.
        text: String,
    },
}

/// Reads an object's key, such as `instance/a-1`.
pub fn key_from_wire(text: &str) -> Result<config::object::ObjectKey, BorderError> {
    use config::object::ObjectKey;
    let (kind, name) = text.split_once('/').unwrap_or((text, ""));
    let key = match kind {
        "instance" => name::InstanceName::new(name).map(ObjectKey::Instance),
        "model" => name::ModelName::new(name).map(ObjectKey::Model),
        "service" => name::ServiceName::new(name).map(ObjectKey::Service),
        "account" => name::AccountName::new(name).map(ObjectKey::Account),
        "placement" => name::SelectorName::new(name).map(ObjectKey::Placement),
        "route" => name::SelectorName::new(name).map(ObjectKey::Route),
        "version" => {
            let digest = name.parse().context(DigestSnafu { field: "key" })?;
            return Ok(ObjectKey::Version(digest));
        }
        _ => return KeySnafu { text }.fail(),
    };
    key.context(NameSnafu { field: "key" })
}

/// Reads labels.
pub fn labels_from_wire(labels: &wire::Labels) -> Result<labels::Labels, BorderError> {
    let pair = |(key, value): (&String, &String)| {
        let key = name::LabelKey::new(key).context(NameSnafu { field: "labels" })?;
        let value = name::LabelValue::new(value).context(NameSnafu { field: "labels" })?;
        Ok((key, value))
    };
    labels.iter().map(pair).collect()
}

fn selector(field: &'static str, text: &str) -> Result<labels::Selector, BorderError> {
    text.parse().context(SelectorSnafu { field })
}

/// Reads an object.
pub fn object_from_wire(object: &wire::Object) -> Result<config::object::Object, BorderError> {
    use config::object;
    Ok(match object {
        wire::Object::Labels(labels) => object::Object::Labels(labels_from_wire(labels)?),
        wire::Object::Version(version) => {
            let adapter = version.adapter.as_deref().map(name::AdapterName::new).transpose();
            object::Object::Version(object::Version {
                model: name::ModelName::new(&version.model)
                    .context(NameSnafu { field: "model" })?,
                adapter: adapter.context(NameSnafu { field: "adapter" })?,
                size_bytes: version.size_bytes,
            })
        }
        wire::Object::Placement(placement) => object::Object::Placement(object::Placement {
            instances: selector("instances", &placement.instances)?,
            version: placement.version.parse().context(DigestSnafu { field: "version" })?,
        }),
        wire::Object::Route(route) => object::Object::Route(object::Route {
            accounts: selector("accounts", &route.accounts)?,
            targets: selector("targets", &route.targets)?,
            upstreams: selector("upstreams", &route.upstreams)?,
        }),
    })
}

/// Writes an object.
pub fn object_to_wire(object: &config::object::Object) -> wire::Object {
    use config::object;
    match object {
        object::Object::Labels(labels) => {
            let pairs = labels.iter().map(|(key, value)| (key.to_string(), value.to_string()));
            wire::Object::Labels(wire::Labels(pairs.collect()))
        }
        object::Object::Version(version) => wire::Object::Version(wire::Version {
            model: version.model.to_string(),
            adapter: version.adapter.as_ref().map(ToString::to_string),
            size_bytes: version.size_bytes,
        }),
        object::Object::Placement(placement) => wire::Object::Placement(wire::Placement {
            instances: placement.instances.to_string(),
            version: placement.version.to_string(),
        }),
        object::Object::Route(route) => wire::Object::Route(wire::Route {
            accounts: route.accounts.to_string(),
            targets: route.targets.to_string(),
            upstreams: route.upstreams.to_string(),
        }),
    }
}

/// Reads a change.
pub fn change_from_wire(change: &wire::Change) -> Result<config::change::Change, BorderError> {
    Ok(config::change::Change {
        id: name::ChangeId::new(&change.id).context(NameSnafu { field: "id" })?,
        key: key_from_wire(&change.key)?,
        expected_revision: change.expected_revision,
        object: change.object.as_ref().map(object_from_wire).transpose()?,
    })
}

/// Writes what became of a change.
pub fn decision_to_wire(decision: &config::change::Decision) -> wire::ChangeAnswer {
    use config::change::{Decision, Refusal};
    let mut answer = wire::ChangeAnswer {
        outcome: wire::ChangeAnswerOutcome::Refused,
        revision: None,
        reason: None,
        present_revision: None,
        present: None,
        matches: None,
    };
    match decision {
        Decision::Accepted { revision } => {
            answer.outcome = wire::ChangeAnswerOutcome::Accepted;
            answer.revision = Some(*revision);
        }
        Decision::Refused(Refusal::Conflict { present_revision, present }) => {
            answer.present_revision = Some(*present_revision);
            answer.present = present.as_ref().map(object_to_wire);
            answer.reason = Some("somebody else changed the object first".to_owned());
        }
        Decision::Refused(refusal) => answer.reason = Some(refusal_text(refusal)),
    }
    answer
}

fn refusal_text(refusal: &config::change::Refusal) -> String {
    use config::change::Refusal;
    match refusal {
        Refusal::Conflict { present_revision, .. } => {
            format!("the object is at revision {present_revision}")
        }
        Refusal::Ambiguous { instance, placement } => {
            format!("instance {instance} would also be claimed by placement {placement}")
        }
        Refusal::WrongKind => "an object of this kind does not belong under this key".to_owned(),
        Refusal::UnknownVersion { version } => format!("version {version} is not registered"),
        Refusal::VersionIsFixed => "a version never changes its meaning".to_owned(),
        Refusal::VersionInUse { placement } => format!("placement {placement} names this version"),
        Refusal::IdReused => "this change id was used for another change".to_owned(),
        Refusal::TooManyObjects => "the configuration holds as many objects as it may".to_owned(),
        Refusal::TooManyLabels => "the object holds more labels than it may".to_owned(),
    }
}
