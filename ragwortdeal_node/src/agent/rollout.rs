//! Brings the intended version onto the instance: stage, verify, load, activate, announce.

use std::{sync, time};

use ragwortdeal_core::{config::intent, digest, spread::manifest};
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

use super::{Agent, engine, store};
use crate::http;

/// Pause after a failure, so that a broken origin or engine is not asked in a tight loop.
const RETRY: time::Duration = time::Duration::from_millis(500);

/// Longest time the manifest may take.
const MANIFEST_MS: u64 = 60_000;

/// Largest manifest.
const MANIFEST_MAX_BYTES: usize = 8 << 20;

/// Why a version is not served yet.
#[derive(Debug, Snafu)]
pub(super) enum RolloutError {
    #[snafu(display("no origin is set"))]
    NoOrigin,
    #[snafu(display("{source}"), context(false))]
    Http { source: http::HttpError },
    #[snafu(display("{step}: the origin answered {status}"))]
    Status { step: &'static str, status: u16 },
    #[snafu(display("read manifest: {source}"))]
    Manifest { source: serde_json::Error },
    #[snafu(display("the origin's manifest is another version's"))]
    OtherManifest,
    #[snafu(display("{source}"), context(false))]
    TooLarge { source: store::TooLarge },
    #[snafu(display("the staged chunks are not the version"))]
    NotWhole,
}

/// Follows the configuration for as long as the process runs.
pub(super) async fn run(agent: sync::Arc<Agent>) {
    let mut config = agent.config.subscribe();
    let mut lost = agent.weights.subscribe();
    loop {
        let intended = intent::for_instance(&config.borrow_and_update(), &agent.identity.name);
        let served = agent.weights.borrow().serving;
        go_back(&agent, intended.as_ref(), served);
        let Some(intended) = intended.filter(|intended| Some(intended.version) != served) else {
            tokio::select! {
                changed = config.changed() => if changed.is_err() { return },
                // The engine may lose what it served, as when it starts anew.
                _ = lost.wait_for(|weights| weights.serving != served) => (),
            }
            continue;
        };
        // Staging is given up as soon as something else is intended. Orders are not: an order that
        // was given and forgotten could take effect after a later one.
        let staged = tokio::select! {
            staged = stage(&agent, &intended) => staged,
            _ = superseded(&agent, &intended) => continue,
        };
        let done = match staged {
            Ok(()) => {
                switch(&agent, &intended).await;
                Ok(())
            }
            Err(error) => Err(error),
        };
        if let Err(error) = done {
            log::warn!("agent: {}: {error}", agent.identity.name);
            agent.weights.send_modify(|weights| weights.behind = Some(error.to_string()));
            tokio::time::sleep(RETRY).await;
        }
    }
}

/// Takes back a version that was to be served next, where the one that serves is intended again.
/// The engine would otherwise still be switched, and back after that.
fn go_back(agent: &Agent, intended: Option<&intent::Intent>, served: Option<digest::Digest>) {
    let Some(intended) = intended.filter(|intended| Some(intended.version) == served) else {
        return;
    };
    agent.wanted.send_if_modified(|wanted| {
        let other = wanted.as_ref().is_some_and(|held| held.intent.version != intended.version);
        if other {
            *wanted = Some(engine::Wanted { intent: intended.clone(), is_staged: false });
        }
        other
    });
}

async fn superseded(agent: &Agent, intended: &intent::Intent) {
    let mut config = agent.config.subscribe();
    let same = |now: Option<intent::Intent>| now.is_some_and(|now| now.version == intended.version);
    // An error means that the process stops.
    let _ = config.wait_for(|now| !same(intent::for_instance(now, &agent.identity.name))).await;
}

/// Fetches what is missing of a version and checks all of it.
async fn stage(agent: &sync::Arc<Agent>, intended: &intent::Intent) -> Result<(), RolloutError> {
    let version = intended.version;
    if already_loaded(agent, version).await {
        return Ok(());
    }
    let manifest = fetch_manifest(agent, version).await?;
    agent.store.lock().expect("no panic under lock").begin(manifest.clone())?;
    agent.weights.send_modify(|weights| {
        weights.phase = "staging";
        weights.verified = None;
        weights.size_bytes = manifest.size_bytes();
        weights.staged_bytes = 0;
    });
    let kept = verified_chunks(agent, &manifest).await;
    let kept_bytes: u64 =
        kept.iter().filter_map(|k| manifest.range_bytes(k.chunk())).map(|(_, len)| len).sum();
    agent.weights.send_modify(|weights| weights.staged_bytes = kept_bytes);
    agent.fetch_all(manifest.clone(), kept).await;
    let staged = agent.store.lock().expect("no panic under lock").staged(&version);
    let staged = staged.context(NotWholeSnafu)?;
    let whole = move || manifest.verify_version(staged.iter().map(|bytes| &bytes[..])).is_ok();
    let whole = tokio::task::spawn_blocking(whole).await.expect("hashing does not panic");
    ensure!(whole, NotWholeSnafu);
    agent.weights.send_modify(|weights| {
        weights.phase = "verified";
        weights.verified = Some(version);
    });
    Ok(())
}

/// Whether the engine has the version, as after a restart of the agent alone.
async fn already_loaded(agent: &Agent, version: digest::Digest) -> bool {
    let text = version.to_string();
    agent.engine.state().await.is_ok_and(|state| state.loaded.contains(&text))
}

async fn fetch_manifest(
    agent: &Agent,
    version: digest::Digest,
) -> Result<manifest::Manifest, RolloutError> {
    let path = format!("/manifests/{version}");
    let bytes = from_origin(agent, "fetch manifest", &path, MANIFEST_MAX_BYTES).await?;
    let manifest: manifest::Manifest = serde_json::from_slice(&bytes).context(ManifestSnafu)?;
    if manifest.version() != version {
        return OtherManifestSnafu.fail();
    }
    Ok(manifest)
}

/// Chunks that are staged already, for this version or one before it, checked once more.
async fn verified_chunks(
    agent: &Agent,
    manifest: &manifest::Manifest,
) -> Vec<manifest::VerifiedChunk> {
    let held: Vec<_> = {
        let store = agent.store.lock().expect("no panic under lock");
        let numbered = (0u32..).zip(manifest.chunks());
        numbered.filter_map(|(chunk, digest)| Some((chunk, store.chunk(digest)?))).collect()
    };
    let manifest = manifest.clone();
    let verify = move || {
        let checked = held.iter().map(|(chunk, bytes)| manifest.verify_chunk(*chunk, bytes));
        checked.flatten().collect()
    };
    tokio::task::spawn_blocking(verify).await.expect("hashing does not panic")
}

async fn from_origin(
    agent: &Agent,
    step: &'static str,
    path: &str,
    max_bytes: usize,
) -> Result<bytes::Bytes, RolloutError> {
    let origin = agent.settings.weights.origin.context(NoOriginSnafu)?.to_string();
    let request = hyper::Request::get(format!("http://{origin}{path}"))
        .body(http::full(bytes::Bytes::new()))
        .expect("a digest makes a valid path");
    let (head, bytes) = agent.http.fetch(step, &origin, request, max_bytes, MANIFEST_MS).await?;
    let status = head.status.as_u16();
    if status != 200 {
        return StatusSnafu { step, status }.fail();
    }
    Ok(bytes)
}

/// Has the engine serve a version that is staged whole or loaded already, and waits until it does
/// or something else is intended.
async fn switch(agent: &Agent, intended: &intent::Intent) {
    let is_staged = agent.weights.borrow().verified == Some(intended.version);
    let wanted = engine::Wanted { intent: intended.clone(), is_staged };
    agent.wanted.send_replace(Some(wanted));
    let mut weights = agent.weights.subscribe();
    tokio::select! {
        _ = weights.wait_for(|weights| weights.serving == Some(intended.version)) => (),
        () = superseded(agent, intended) => (),
    }
}
