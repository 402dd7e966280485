//! Reloads the settings file while a process runs.
//!
//! The file may change with SIGHUP or without any signal. Only the seeds are applied at once: they
//! are how a process finds voters again after all that it knew are gone. Other changes apply from
//! the next start, which is logged.

use std::{fs, net, path, time};

use tokio::{signal::unix, sync::watch};

use crate::settings;

/// How often the file is checked. If all known voters are gone, this delays finding others by a few
/// seconds at most.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Watches the seeds in a settings file, starting with those that the process was started with.
pub fn watch_seeds(
    file: &path::Path,
    settings: &settings::fleet::Settings,
) -> watch::Receiver<Vec<net::SocketAddrV4>> {
    let (sender, receiver) = watch::channel(settings.fleet.seeds.clone());
    tokio::spawn(watch(file.to_owned(), sender));
    receiver
}

async fn watch(file: path::PathBuf, seeds: watch::Sender<Vec<net::SocketAddrV4>>) {
    let mut hangup = match unix::signal(unix::SignalKind::hangup()) {
        Ok(hangup) => Some(hangup),
        Err(error) => {
            log::error!("reload: SIGHUP cannot be received: {error}");
            None
        }
    };
    let mut text = fs::read_to_string(&file).unwrap_or_default();
    loop {
        let signalled = async {
            match &mut hangup {
                Some(hangup) => _ = hangup.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = tokio::time::sleep(CHECK_INTERVAL) => (),
            () = signalled => log::info!("reload: SIGHUP"),
            () = seeds.closed() => return,
        }
        match fs::read_to_string(&file) {
            Ok(now) if now != text => {
                text = now;
                apply(&file, &text, &seeds);
            }
            Ok(_) => (),
            // The file may be being replaced; the next check finds it.
            Err(error) => log::warn!("reload: {}: {error}", file.display()),
        }
    }
}

fn apply(file: &path::Path, text: &str, seeds: &watch::Sender<Vec<net::SocketAddrV4>>) {
    match settings::parse::<settings::fleet::Settings>(text) {
        Ok(settings) => {
            let changed = seeds.send_if_modified(|held| {
                let differs = *held != settings.fleet.seeds;
                held.clone_from(&settings.fleet.seeds);
                differs
            });
            log::info!(
                "reload: {} was read, seeds={:?} changed={changed}; other changes apply from the \
                 next start",
                file.display(),
                settings.fleet.seeds
            );
        }
        Err(complaints) => {
            log::error!(
                "reload: {} is rejected, it has {} errors: {complaints:?}",
                file.display(),
                complaints.len()
            );
        }
    }
}
