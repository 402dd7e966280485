//! Progress of rollouts.

use std::{collections, process, time};

use ragwortdeal_wire::operator as wire;

use super::CommandError;
use crate::{cli, client, output};

/// How often a watched rollout is redrawn.
const REDRAW: time::Duration = time::Duration::from_millis(500);

/// Instances that are furthest behind, as many as fit beside a bar.
const SLOWEST: usize = 5;

/// What became of one version so far.
#[derive(Debug, Default, serde::Serialize)]
struct Rollout {
    version: String,
    replicas_done: usize,
    replicas_total: usize,
    staged_bytes: u64,
    size_bytes: u64,
    origin_bytes: u64,
    peer_bytes: u64,
    region_bytes: u64,
    slowest: Vec<Slow>,
}

/// An instance that is behind, and why.
#[derive(Debug, serde::Serialize)]
struct Slow {
    instance: String,
    phase: String,
    staged_percent: u64,
    reason: Option<String>,
}

pub(super) async fn spread(
    client: &client::Client,
    output: cli::Output,
    watch: bool,
) -> Result<process::ExitCode, CommandError> {
    let bars = indicatif::MultiProgress::new();
    let mut drawn: collections::BTreeMap<String, indicatif::ProgressBar> = Default::default();
    loop {
        let status: wire::Status = client.get("/api/status").await?;
        let rollouts = rollouts(&status);
        let done = rollouts.iter().all(|rollout| rollout.replicas_done == rollout.replicas_total);
        if !watch || done {
            let _ = bars.clear();
            output::print(output, &rollouts, |rollouts| table(rollouts))?;
            return Ok(process::ExitCode::SUCCESS);
        }
        for rollout in &rollouts {
            let bar =
                drawn.entry(rollout.version.clone()).or_insert_with(|| bars.add(bar(rollout)));
            bar.set_position(rollout.staged_bytes);
            let (done, total) = (rollout.replicas_done, rollout.replicas_total);
            bar.set_message(format!("{done}/{total} replicas"));
        }
        tokio::time::sleep(REDRAW).await;
    }
}

fn bar(rollout: &Rollout) -> indicatif::ProgressBar {
    let length = rollout.size_bytes * rollout.replicas_total as u64;
    let bar = indicatif::ProgressBar::new(length);
    let style = indicatif::ProgressStyle::with_template(
        "{prefix} [{bar:40}] {bytes}/{total_bytes} {msg} {elapsed}",
    );
    if let Ok(style) = style {
        bar.set_style(style);
    }
    bar.set_prefix(output::short(Some(&rollout.version)));
    bar
}

fn rollouts(status: &wire::Status) -> Vec<Rollout> {
    let mut by_version: collections::BTreeMap<&str, Rollout> = Default::default();
    for one in &status.instances {
        let Some(version) = &one.intended else {
            continue;
        };
        let rollout = by_version.entry(version).or_default();
        rollout.version.clone_from(version);
        rollout.replicas_total += 1;
        rollout.origin_bytes += one.origin_bytes;
        rollout.peer_bytes += one.peer_bytes;
        rollout.region_bytes += one.region_bytes;
        rollout.size_bytes = rollout.size_bytes.max(one.size_bytes);
        if one.serving.as_ref() == Some(version) {
            rollout.replicas_done += 1;
            rollout.staged_bytes += one.size_bytes;
            continue;
        }
        rollout.staged_bytes += one.staged_bytes;
        rollout.slowest.push(Slow {
            instance: one.instance.clone(),
            phase: one.phase.clone(),
            staged_percent: one.staged_bytes * 100 / one.size_bytes.max(1),
            reason: one.behind.clone(),
        });
    }
    let mut rollouts: Vec<Rollout> = by_version.into_values().collect();
    for rollout in &mut rollouts {
        rollout.slowest.sort_by_key(|slow| slow.staged_percent);
        rollout.slowest.truncate(SLOWEST);
    }
    rollouts
}

fn table(rollouts: &[Rollout]) -> output::Table {
    let heading = ["VERSION", "REPLICAS", "STAGED", "ORIGIN", "PEERS", "REGION LINKS", "SLOWEST"];
    let mut table = output::Table::new(&heading);
    for rollout in rollouts {
        let all = rollout.size_bytes * rollout.replicas_total as u64;
        let slowest = rollout.slowest.first().map_or_else(String::new, |slow| {
            let reason = slow.reason.as_deref().unwrap_or("no error");
            format!("{} {} {}%: {reason}", slow.instance, slow.phase, slow.staged_percent)
        });
        let bytes = |bytes: u64| indicatif::HumanBytes(bytes).to_string();
        table.row(vec![
            output::short(Some(&rollout.version)),
            format!("{}/{}", rollout.replicas_done, rollout.replicas_total),
            format!("{}%", rollout.staged_bytes * 100 / all.max(1)),
            bytes(rollout.origin_bytes),
            bytes(rollout.peer_bytes),
            bytes(rollout.region_bytes),
            slowest,
        ]);
    }
    table
}
