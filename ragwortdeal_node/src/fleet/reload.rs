//! Takes up changes of the settings file while a process runs.
//!
//! The file may change with SIGHUP or without any signal. Only the seeds are taken up at once: they
//! are how a process finds voters again after all that it knew are gone. Everything else is in
//! force from the next start, and a line in the log says so.

use std::{fs, net, path, time};

use tokio::{signal::unix, sync::watch};

use crate::settings;

/// How often the file is looked at. Voters that are gone are missed after some seconds at most.
const LOOK: time::Duration = time::Duration::from_secs(2);

/// Follows the seeds in a settings file, beginning with those that the process started with.
pub fn watch_seeds(
    file: &path::Path,
    settings: &settings::fleet::Settings,
) -> watch::Receiver<Vec<net::SocketAddrV4>> {
    let (sender, receiver) = watch::channel(settings.fleet.seeds.clone());
    tokio::spawn(look(file.to_owned(), sender));
    receiver
}

async fn look(file: path::PathBuf, seeds: watch::Sender<Vec<net::SocketAddrV4>>) {
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
            () = tokio::time::sleep(LOOK) => (),
            () = signalled => log::info!("reload: SIGHUP"),
            () = seeds.closed() => return,
        }
        match fs::read_to_string(&file) {
            Ok(now) if now != text => {
                text = now;
                take_up(&file, &text, &seeds);
            }
            Ok(_) => (),
            // The file may be replaced at this moment; the next look finds it.
            Err(error) => log::warn!("reload: {}: {error}", file.display()),
        }
    }
}

fn take_up(file: &path::Path, text: &str, seeds: &watch::Sender<Vec<net::SocketAddrV4>>) {
    match settings::parse::<settings::fleet::Settings>(text) {
        Ok(settings) => {
            let changed = seeds.send_if_modified(|held| {
                let differs = *held != settings.fleet.seeds;
                held.clone_from(&settings.fleet.seeds);
                differs
            });
            log::info!(
                "reload: {} was read, seeds={:?} changed={changed}; other changes wait for the \
                 next start",
                file.display(),
                settings.fleet.seeds
            );
        }
        Err(complaints) => {
            log::error!(
                "reload: {} is kept out, it has {} mistakes: {complaints:?}",
                file.display(),
                complaints.len()
            );
        }
    }
}
