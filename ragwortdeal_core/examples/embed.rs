//! Embeds the core alone: two receivers follow a configuration without any socket, file or clock.

use ragwortdeal_core::{
    config::{change, intent, object, replica, state},
    digest, labels, name,
};

fn set(state: &mut state::State, id: &str, key: object::ObjectKey, object: object::Object) {
    let id = name::ChangeId::new(id).expect("a valid name");
    let change = change::Change { id, key, expected_revision: Some(0), object: Some(object) };
    println!("{}: {:?}", change.key, state.apply(&change));
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut state = state::State::default();
    let weights = digest::Digest::of(b"the weights");
    let version =
        object::Version { model: name::ModelName::new("match")?, adapter: None, size_bytes: 11 };
    set(&mut state, "c-1", object::ObjectKey::Version(weights), object::Object::Version(version));

    let instance = name::InstanceName::new("engine-a")?;
    let pool = (name::LabelKey::new("pool")?, name::LabelValue::new("chat")?);
    let labelled = object::Object::Labels(labels::Labels::from([pool]));
    set(&mut state, "c-2", object::ObjectKey::Instance(instance.clone()), labelled);

    let placement = object::Placement { instances: "pool in (chat)".parse()?, version: weights };
    let key = object::ObjectKey::Placement(name::SelectorName::new("chat")?);
    set(&mut state, "c-3", key, object::Object::Placement(placement));

    let (mut prompt, mut late) = (replica::Replica::default(), replica::Replica::default());
    let first = state.update_since(0).ok_or("something to follow")?;
    prompt.apply(&first)?;
    late.apply(&first)?;
    println!("a second delivery changes nothing: rose={}", late.apply(&first)?);
    let intended = intent::for_instance(&prompt, &instance).ok_or("a placement selects it")?;
    println!("{instance} is to serve {:?}, fence {}", intended.version, intended.fence);
    Ok(())
}
