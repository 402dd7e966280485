//! The configuration state machine against a reference model, and receivers under loss and delay.

use std::collections;

use googletest::prelude::*;
use ragwortdeal_core::{
    config::{change, delta, intent, object, replica, state},
    digest, labels, name,
};
use rand::{Rng as _, RngExt as _, SeedableRng as _};

const SEEDS: u64 = 40;
const STEPS: usize = 250;

fn label_set(rng: &mut rand_chacha::ChaCha8Rng) -> labels::Labels {
    let mut set = labels::Labels::new();
    for key in ["pool", "tier"] {
        if rng.random_bool(0.6) {
            let value = ["a", "b"][rng.random_range(0..2)];
            set.insert(name::LabelKey::new(key).unwrap(), name::LabelValue::new(value).unwrap());
        }
    }
    set
}

fn version(number: u64) -> digest::Digest {
    digest::Digest::of(&number.to_le_bytes())
}

fn selector(rng: &mut rand_chacha::ChaCha8Rng) -> labels::Selector {
    let texts = ["pool=a", "pool=b", "pool=a,tier", "tier in (a,b)", "!pool", "tier!=a,pool=b"];
    texts[rng.random_range(0..texts.len())].parse().unwrap()
}

fn random_change(
    rng: &mut rand_chacha::ChaCha8Rng,
    number: usize,
    revision: u64,
) -> change::Change {
    let instance = format!("i-{}", rng.random_range(0..6));
    let placement = format!("p-{}", rng.random_range(0..3));
    let key = match rng.random_range(0..10) {
        0..5 => object::ObjectKey::Instance(name::InstanceName::new(&instance).unwrap()),
        5..7 => object::ObjectKey::Version(version(rng.random_range(0..3))),
        _ => object::ObjectKey::Placement(name::SelectorName::new(&placement).unwrap()),
    };
    let object = match &key {
        _ if rng.random_bool(0.15) => None,
        object::ObjectKey::Version(_) => Some(object::Object::Version(object::Version {
            model: name::ModelName::new("m").unwrap(),
            adapter: None,
            size_bytes: rng.random_range(1..3),
        })),
        object::ObjectKey::Placement(_) => Some(object::Object::Placement(object::Placement {
            instances: selector(rng),
            version: version(rng.random_range(0..3)),
        })),
        _ => Some(object::Object::Labels(label_set(rng))),
    };
    let expected_revision = rng.random_bool(0.4).then(|| rng.random_range(0..=revision.max(1)));
    let id = name::ChangeId::new(&format!("c-{number}")).unwrap();
    change::Change { id, key, expected_revision, object }
}

/// The reference model: plain maps, which validate a change by applying it to a copy and checking
/// the copy for contradictions.
#[derive(Clone, Default)]
struct Model {
    revision: u64,
    objects: collections::HashMap<String, (object::ObjectKey, object::Object, u64)>,
    decided: collections::HashMap<String, change::Decision>,
}

impl Model {
    fn apply(&mut self, change: &change::Change) -> Option<u64> {
        let id = change.id.to_string();
        if let Some(decision) = self.decided.get(&id) {
            return accepted(decision);
        }
        let mut tried = self.clone();
        let key = change.key.to_string();
        let present = tried.objects.get(&key).map_or(0, |held| held.2);
        let expected = change.expected_revision.is_none_or(|expected| expected == present);
        let fixed = matches!(change.key, object::ObjectKey::Version(_))
            && change.object.is_some()
            && tried.objects.get(&key).is_some_and(|held| Some(&held.1) != change.object.as_ref());
        tried.revision += 1;
        match &change.object {
            Some(object) => {
                let held = (change.key.clone(), object.clone(), tried.revision);
                tried.objects.insert(key, held);
            }
            None => {
                tried.objects.remove(&key);
            }
        }
        let valid = expected && !fixed && tried.is_consistent();
        if valid {
            *self = tried;
        }
        let decision = match valid {
            true => change::Decision::Accepted { revision: self.revision },
            false => change::Decision::Refused(change::Refusal::WrongKind),
        };
        let answer = accepted(&decision);
        self.decided.insert(id, decision);
        answer
    }

    fn placements(&self) -> impl Iterator<Item = &object::Placement> {
        self.objects.values().filter_map(|held| match &held.1 {
            object::Object::Placement(placement) => Some(placement),
            _ => None,
        })
    }

    fn is_consistent(&self) -> bool {
        let known = |version: &digest::Digest| {
            self.objects.contains_key(&object::ObjectKey::Version(*version).to_string())
        };
        let selected_once = self.objects.values().all(|held| match (&held.0, &held.1) {
            (object::ObjectKey::Instance(name), object::Object::Labels(labels)) => {
                let labels = object::with_name(Some(labels), name);
                self.placements().filter(|one| text_matches(&one.instances, &labels)).count() <= 1
            }
            _ => true,
        });
        selected_once && self.placements().all(|placement| known(&placement.version))
    }
}

/// Evaluates a selector from its text alone.
fn text_matches(selector: &labels::Selector, labels: &labels::Labels) -> bool {
    let text = selector.to_string();
    let get = |key: &str| labels.get(key).map(name::LabelValue::as_str);
    let mut rest = text.as_str();
    while !rest.is_empty() {
        let end = match (rest.find('('), rest.find(',')) {
            (Some(open), Some(comma)) if open < comma => rest.find(')').unwrap() + 1,
            (_, comma) => comma.unwrap_or(rest.len()),
        };
        let (part, tail) = rest.split_at(end);
        rest = tail.trim_start_matches(',');
        let holds = if let Some((key, value)) = part.split_once("!=") {
            get(key) != Some(value)
        } else if let Some((key, value)) = part.split_once('=') {
            get(key) == Some(value)
        } else if let Some((key, values)) = part.split_once(" in ") {
            get(key).is_some_and(|v| values.trim_matches(['(', ')']).split(',').any(|one| one == v))
        } else if let Some(key) = part.strip_prefix('!') {
            get(key).is_none()
        } else {
            get(part).is_some()
        };
        if !holds {
            return false;
        }
    }
    true
}

fn accepted(decision: &change::Decision) -> Option<u64> {
    match decision {
        change::Decision::Accepted { revision } => Some(*revision),
        change::Decision::Refused(_) => None,
    }
}

/// Random changes of labels and selectors, with right and wrong expected revisions and retries. A
/// difference from the model means that a contradictory change was accepted, or that a retry was
/// applied twice.
#[googletest::test]
fn decides_as_the_reference_model_does() {
    for seed in 0..SEEDS {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let (mut state, mut model) = (state::State::default(), Model::default());
        let mut sent: Vec<change::Change> = Vec::new();
        for number in 0..STEPS {
            let retry = !sent.is_empty() && rng.random_bool(0.15);
            let change = match retry {
                true => sent[rng.random_range(0..sent.len())].clone(),
                false => random_change(&mut rng, number, state.revision()),
            };
            let decision = state.apply(&change);
            assert_eq!(accepted(&decision), model.apply(&change), "seed {seed} {change:?}");
            sent.push(change);
        }
        assert_eq!(state.objects().len(), model.objects.len(), "seed {seed}");
        for (key, stored) in state.objects() {
            let held = &model.objects[&key.to_string()];
            assert_eq!((&stored.object, stored.revision), (&held.1, held.2), "seed {seed}");
        }
    }
}

/// A receiver gets updates late, twice, out of order or not at all, some of them from a source that
/// is far behind. It must never revert an accepted change.
#[googletest::test]
fn a_receiver_never_reverts_and_catches_up() {
    for seed in 0..SEEDS {
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut state = state::State::default();
        let mut receiver = replica::Replica::default();
        let mut in_flight: Vec<delta::Update> = Vec::new();
        let mut asked = 0;
        for number in 0..STEPS {
            state.apply(&random_change(&mut rng, number, state.revision()));
            in_flight.extend(state.update_since(asked));
            asked = state.revision();
            if rng.next_u32() % 3 == 0 && !in_flight.is_empty() {
                let update = in_flight[rng.random_range(0..in_flight.len())].clone();
                let before = receiver.revision();
                if receiver.apply(&update).is_err() {
                    asked = receiver.revision();
                }
                assert!(receiver.revision() >= before, "seed {seed}");
            }
        }
        if let Some(update) = state.update_since(receiver.revision()) {
            receiver.apply(&update).unwrap();
        }
        assert_eq!(receiver.objects(), state.objects(), "seed {seed}");
        assert_eq!(receiver.digest(), delta::SetDigest::of(state.objects()), "seed {seed}");
    }
}

/// Two operators read revision 1 and both write with that expected revision. One of them must be
/// refused, or it would silently overwrite the other's change.
#[googletest::test]
fn of_two_equal_expected_revisions_one_wins() {
    let mut state = state::State::default();
    let change = |id: &str, value: &str, expected_revision| change::Change {
        id: name::ChangeId::new(id).unwrap(),
        key: object::ObjectKey::Instance(name::InstanceName::new("i").unwrap()),
        expected_revision,
        object: Some(object::Object::Labels(
            [(name::LabelKey::new("k").unwrap(), name::LabelValue::new(value).unwrap())].into(),
        )),
    };
    state.apply(&change("first", "0", Some(0)));
    expect_that!(accepted(&state.apply(&change("mine", "1", Some(1)))), some(eq(2)));
    let refused = state.apply(&change("yours", "2", Some(1)));
    let change::Decision::Refused(change::Refusal::Conflict { present_revision, present }) =
        refused
    else {
        panic!("the second was not refused as a conflict: {refused:?}");
    };
    expect_that!(present_revision, eq(2));
    expect_that!(present, eq(&change("mine", "1", None).object));
    // The accepted change is retried after its answer was lost.
    expect_that!(accepted(&state.apply(&change("mine", "1", Some(1)))), some(eq(2)));
    expect_that!(state.revision(), eq(2));
}

/// A change identifier is reused for another change by mistake. Returning the first decision would
/// make the operator believe that the second change was made.
#[googletest::test]
fn a_change_id_that_is_used_for_another_change_is_refused() {
    let mut state = state::State::default();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let first = random_change(&mut rng, 1, 0);
    state.apply(&first);
    let mut other = first.clone();
    other.expected_revision = Some(99);
    let refused = change::Decision::Refused(change::Refusal::IdReused);
    expect_that!(state.apply(&other), eq(&refused));
}

/// A voter restarts from a snapshot of the state. A retry after that must still get the first
/// decision.
#[googletest::test]
fn a_restored_state_keeps_decided_changes() {
    let mut state = state::State::default();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(2);
    let changes: Vec<_> = (0..50).map(|number| random_change(&mut rng, number, 3)).collect();
    let first: Vec<_> = changes.iter().map(|change| state.apply(change)).collect();
    let mut bytes = Vec::new();
    ciborium::into_writer(&state, &mut bytes).unwrap();
    let mut restored: state::State = ciborium::from_reader(&bytes[..]).unwrap();
    let again: Vec<_> = changes.iter().map(|change| restored.apply(change)).collect();
    expect_that!(again, eq(&first));
    expect_that!(restored.revision(), eq(state.revision()));
}

/// A receiver's state differs from its sender's at the same revision, as after memory corruption.
/// Without the digest it would keep applying different labels than all other processes.
#[googletest::test]
fn a_receiver_notices_a_state_that_differs() {
    let mut state = state::State::default();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    for number in 0..20 {
        state.apply(&random_change(&mut rng, number, 3));
    }
    let mut receiver = replica::Replica::default();
    receiver.apply(&delta::Update::Snapshot(state.snapshot())).unwrap();
    let revision = state.revision();
    while state.revision() < revision + 2 {
        let number = rng.random_range(100..100_000);
        state.apply(&random_change(&mut rng, number, 0));
    }
    let Some(delta::Update::Delta(mut delta)) = state.update_since(revision) else {
        panic!("two steps are sent as a delta");
    };
    delta.steps[0].object = None;
    let applied = receiver.apply(&delta::Update::Delta(delta));
    expect_that!(applied, err(anything()));
    expect_that!(receiver.revision(), eq(revision));
}

#[googletest::test]
fn an_account_reaches_only_what_some_route_selects() {
    let mut objects = object::Objects::new();
    let account = name::AccountName::new("branches").unwrap();
    let target = object::ObjectKey::Model(name::ModelName::new("match").unwrap());
    let instance = name::InstanceName::new("i-1").unwrap();
    expect_true!(intent::reachable_upstreams(&objects, &account, &target).is_empty());
    let route = object::Route {
        accounts: "name=branches".parse().unwrap(),
        targets: "name in (match)".parse().unwrap(),
        upstreams: "name!=i-2".parse().unwrap(),
    };
    let key = object::ObjectKey::Route(name::SelectorName::new("r").unwrap());
    objects.insert(key, object::Stored { object: object::Object::Route(route), revision: 1 });
    let reach = intent::reachable_upstreams(&objects, &account, &target);
    expect_true!(reach.allows(&objects, &instance));
    expect_false!(reach.allows(&objects, &name::InstanceName::new("i-2").unwrap()));
    let other = name::AccountName::new("other").unwrap();
    expect_true!(intent::reachable_upstreams(&objects, &other, &target).is_empty());
}
