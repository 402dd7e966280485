//! Brings the intended version onto the instance: stage, verify, load, activate, announce.

use std::{sync, time};

use ragwortdeal_core::{config::intent, digest, spread::manifest};
use ragwortdeal_wire::engine as wire;
use snafu::{OptionExt as _, ResultExt as _, Snafu, ensure};

use super::{Agent, engine, store};
use crate::http;

/// Pause after a failure, so that a broken origin or engine is not asked in a tight loop.
const RETRY: time::Duration = time::Duration::from_millis(500);

/// Longest time the manifest may take.
const MANIFEST_MS: u64 = 60_000;

/// Largest manifest.
const MANIFEST_MAX_BYTES: usize = 8 << 20;

/// How long a version stays loaded after its successor took over, so that calls which entries sent
/// before they heard of the switch still find the version they name.
const LINGER: time::Duration = time::Duration::from_secs(3);

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
    #[snafu(display("{source}"), context(false))]
    Order { source: engine::OrderError },
}

/// Follows the configuration for as long as the process runs.
pub(super) async fn run(agent: sync::Arc<Agent>) {
    let mut config = agent.config.subscribe();
    loop {
        let intended = intent::of_instance(&config.borrow_and_update(), &agent.identity.name);
        let served = agent.weights.borrow().serving;
        let Some(intended) = intended.filter(|intended| Some(intended.version) != served) else {
            if config.changed().await.is_err() {
                return;
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
            Ok(()) => switch(&agent, &intended).await,
            Err(error) => Err(error),
        };
        if let Err(error) = done {
            log::warn!("agent: {}: {error}", agent.identity.name);
            agent.weights.send_modify(|weights| weights.behind = Some(error.to_string()));
            tokio::time::sleep(RETRY).await;
        }
    }
}

async fn superseded(agent: &Agent, intended: &intent::Intent) {
    let mut config = agent.config.subscribe();
    let same = |now: Option<intent::Intent>| now.is_some_and(|now| now.version == intended.version);
    // An error means that the process stops.
    let _ = config.wait_for(|now| !same(intent::of_instance(now, &agent.identity.name))).await;
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
    let whole = move || manifest.verify_whole(staged.iter().map(|bytes| &bytes[..])).is_ok();
    let whole = tokio::task::spawn_blocking(whole).await.expect("hashing does not panic");
    ensure!(whole, NotWholeSnafu);
    agent.weights.send_modify(|weights| weights.phase = "verified");
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

/// Has the engine load the version beside the one it serves, and switch to it.
async fn switch(agent: &sync::Arc<Agent>, intended: &intent::Intent) -> Result<(), RolloutError> {
    let version = intended.version;
    agent.weights.send_modify(|weights| weights.phase = "loading");
    if !already_loaded(agent, version).await {
        let source = Some(agent.staged_url(version));
        agent.engine.order(wire::OrderAction::Load, intended, version, source).await?;
    }
    agent.weights.send_modify(|weights| weights.phase = "loaded");
    agent.engine.order(wire::OrderAction::Activate, intended, version, None).await?;
    let former = agent.weights.borrow().serving;
    agent.weights.send_modify(|weights| {
        weights.phase = "serving";
        weights.behind = None;
        weights.serving = Some(version);
        weights.model = Some(intended.details.model.clone());
        weights.loaded.insert(version);
    });
    log::info!("agent: {} serves version {version:?}", agent.identity.name);
    if let Some(former) = former {
        tokio::spawn(unload(agent.clone(), intended.clone(), former));
    }
    Ok(())
}

/// Unloads a version once no call uses it and none that names it can still be on its way.
async fn unload(agent: sync::Arc<Agent>, intended: intent::Intent, former: digest::Digest) {
    tokio::time::sleep(LINGER).await;
    if agent.weights.borrow().serving == Some(former) {
        return;
    }
    agent.weights.send_modify(|weights| {
        weights.loaded.remove(&former);
    });
    while agent.running_on(Some(former)) > 0 {
        tokio::time::sleep(RETRY).await;
    }
    let unloaded = agent.engine.order(wire::OrderAction::Unload, &intended, former, None).await;
    if let Err(error) = unloaded {
        log::warn!("agent: {}: {error}", agent.identity.name);
    }
}
