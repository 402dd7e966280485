//! Embeds the core crate: two replicas follow a configuration without sockets, files or clocks.

use ragwortdeal_core::{
    config::{change, intent, object, replica, state},
    digest, labels, name,
};

fn apply_change(
    state: &mut state::State,
    id: &str,
    key: object::ObjectKey,
    object: object::Object,
) {
    let id = name::ChangeId::new(id).expect("a valid name");
    let change = change::Change { id, key, expected_revision: Some(0), object: Some(object) };
    println!("{}: {:?}", change.key, state.apply(&change));
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut state = state::State::default();
    let weights = digest::Digest::of(b"the weights");
    let version =
        object::Version { model: name::ModelName::new("match")?, adapter: None, size_bytes: 11 };
    apply_change(
        &mut state,
        "c-1",
        object::ObjectKey::Version(weights),
        object::Object::Version(version),
    );

    let instance = name::InstanceName::new("engine-a")?;
    let pool = (name::LabelKey::new("pool")?, name::LabelValue::new("chat")?);
    let labels = object::Object::Labels(labels::Labels::from([pool]));
    apply_change(&mut state, "c-2", object::ObjectKey::Instance(instance.clone()), labels);

    let placement = object::Placement { instances: "pool in (chat)".parse()?, version: weights };
    let key = object::ObjectKey::Placement(name::SelectorName::new("chat")?);
    apply_change(&mut state, "c-3", key, object::Object::Placement(placement));

    let (mut first, mut second) = (replica::Replica::default(), replica::Replica::default());
    let update = state.update_since(0).ok_or("the state has no revision yet")?;
    first.apply(&update)?;
    second.apply(&update)?;
    println!("a duplicate delivery has no effect: changed={}", second.apply(&update)?);
    let intended = intent::for_instance(&first, &instance).ok_or("no placement selects it")?;
    println!("{instance} is to serve {:?}, fence {}", intended.version, intended.fence);
    Ok(())
}
