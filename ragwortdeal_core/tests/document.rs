//! Validation of documents, the document in force, and the selection of routes.

use std::sync;

use googletest::prelude::*;
use ragwortdeal_core::{
    command,
    document::{
        Account, Document, Limits, RetryPolicy, Route, Service, Target,
        check::{self, Invalid},
        store::{ModelVersion, Step, Store, StoredDocument},
        table::{self, Caller, Table},
    },
};

fn route(name: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        retry_policy: RetryPolicy::Idempotent,
        streams: false,
        timeout_ms: 1_000,
        objective_ms: 100,
        gap_objective_ms: None,
        priority: 0,
        targets: vec![Target { service: "ledger".into(), weight: 1 }],
        attempts_max: 2,
        public: false,
        affinity: false,
        allowed_regions: Vec::new(),
    }
}

fn account(name: &str, keys: Vec<sync::Arc<str>>) -> Account {
    Account { name: name.into(), keys, priority: None, allowed_regions: Vec::new() }
}

fn document(version: u64) -> Document {
    Document {
        version,
        routes: vec![route("all", "/a/"), route("part", "/a/b/")],
        services: vec![Service {
            name: "ledger".into(),
            connections_max: 8,
            engine: None,
            origin: None,
            cold_start: None,
        }],
        accounts: vec![account("one", vec!["key-1".into()])],
        limits: Limits::default(),
    }
}

#[googletest::test]
fn a_correct_document_is_valid() {
    expect_that!(check::check(&document(1)), ok(anything()));
}

macro_rules! invalid {
    ($($case:ident: $spoil:expr => $invalid:pat,)*) => {$(
        #[googletest::test]
        fn $case() {
            let mut document = document(1);
            let spoil: fn(&mut Document) = $spoil;
            spoil(&mut document);
            expect_that!(matches!(check::check(&document), Err($invalid)), eq(true));
        }
    )*};
}

invalid! {
    an_unknown_service: |document| document.routes[0].targets[0].service = "none".into()
        => Invalid::UnknownService { .. },
    two_routes_with_the_same_prefix: |document| document.routes[1].prefix = "/a/".into()
        => Invalid::DuplicateRoute { .. },
    weights_of_zero: |document| document.routes[0].targets[0].weight = 0
        => Invalid::NoWeight { .. },
    no_targets: |document| document.routes[0].targets.clear() => Invalid::NoWeight { .. },
    no_timeout: |document| document.routes[0].timeout_ms = 0 => Invalid::NoTimeout { .. },
    an_unbounded_prefix: |document| document.routes[0].prefix = "/a".into()
        => Invalid::UnboundedPrefix { .. },
    one_name_for_two_services: |document| document.services.push(document.services[0].clone())
        => Invalid::DuplicateService { .. },
    one_key_for_two_accounts: |document| {
        let keys = document.accounts[0].keys.clone();
        document.accounts.push(account("two", keys));
    } => Invalid::SharedKey { .. },
}

#[googletest::test]
fn the_longest_prefix_of_the_host_is_selected() {
    let table = Table::new(sync::Arc::new(document(1)));
    let name = |host, path| table.route(host, path).map(|route| route.name.to_string());
    expect_that!(name("a.example", "/a/b/c"), some(eq("part")));
    expect_that!(name("A.Example:80", "/a/c"), some(eq("all")));
    expect_that!(name("a.example", "/a"), none());
    expect_that!(name("b.example", "/a/b/"), none());
}

#[googletest::test]
fn keys_identify_accounts() {
    let mut document = document(1);
    document.routes[1].public = true;
    let table = Table::new(sync::Arc::new(document));
    let [all, part] = &table.document().routes[..] else {
        panic!("there are two routes");
    };
    expect_that!(matches!(table.caller(all, Some("key-1")), Caller::Account(_)), eq(true));
    expect_that!(table.caller(all, Some("key-2")), eq(&Caller::Unknown));
    expect_that!(table.caller(all, None), eq(&Caller::Unknown));
    expect_that!(table.caller(part, None), eq(&Caller::Anonymous));
}

#[googletest::test]
fn a_split_follows_its_weights() {
    let mut route = route("split", "/");
    route.targets = vec![
        Target { service: "most".into(), weight: 9 },
        Target { service: "none".into(), weight: 0 },
        Target { service: "rest".into(), weight: 1 },
    ];
    let to = |name: &str| {
        (0..100)
            .filter(|draw| table::pick_target(&route, *draw).is_some_and(|it| **it == *name))
            .count()
    };
    expect_that!((to("most"), to("none"), to("rest")), eq((90, 0, 10)));
}

fn stored(version: u64, bytes: usize) -> StoredDocument {
    StoredDocument { version, body: vec![version as u8; bytes].into() }
}

/// An operator's change is superseded by a higher version, and its resend arrives afterwards.
/// Applying it would revert an accepted change.
#[googletest::test]
fn an_older_document_never_replaces_a_newer() {
    let mut store = Store::default();
    store.apply(&Step::Install(stored(7, 3)));
    store.apply(&Step::Install(stored(5, 4)));
    store.apply(&Step::Install(stored(7, 5)));
    expect_that!(store.document, some(eq(&stored(7, 3))));
    store.apply(&Step::Name(ModelVersion { model: "m".to_owned(), version: 3 }));
    store.apply(&Step::Name(ModelVersion { model: "m".to_owned(), version: 2 }));
    expect_that!(store.weights.get("m"), some(eq(&3)));
}

/// A document with many routes is larger than the buffer that a decoder lends. If the log refused
/// it, it would never be acknowledged, and the operator would resend it forever.
#[googletest::test]
fn a_large_document_survives_the_log_unchanged() {
    let step = command::Command::Document(Step::Install(stored(1, 300_000)));
    let mut bytes = Vec::new();
    ciborium::into_writer(&step, &mut bytes).unwrap();
    let read: command::Command = ciborium::from_reader(&bytes[..]).unwrap();
    expect_that!(read, eq(&step));
}

/// A voter reads a state that is older than what it published, or one from before due versions were
/// recorded. If a due version were lost, superseded weights would be served again.
#[googletest::test]
fn due_versions_stay_due() {
    let due = |version| Step::Due(ModelVersion { model: "m".to_owned(), version });
    let mut store = Store::default();
    let older = store.clone();
    store.apply(&due(3));
    store.apply(&due(2));
    expect_that!(store.due.get("m"), some(eq(&3)));
    expect_that!(store.merge(&older), eq(false));
    expect_that!(store.due.get("m"), some(eq(&3)));
    let mut other = older.clone();
    expect_that!(other.merge(&store), eq(true));
    expect_that!(other.due.get("m"), some(eq(&3)));

    #[derive(serde::Serialize)]
    struct Before {
        document: Option<StoredDocument>,
        weights: std::collections::BTreeMap<String, u64>,
    }
    let mut bytes = Vec::new();
    let before = Before { document: None, weights: [("m".to_owned(), 3)].into() };
    ciborium::into_writer(&before, &mut bytes).unwrap();
    let read: Store = ciborium::from_reader(&bytes[..]).unwrap();
    expect_that!(read.due.is_empty(), eq(true));
}
