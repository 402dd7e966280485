//! The voter part: keeps the log of accepted changes and claims, and answers entries.

use std::{fs, io, io::Write as _, path, sync};

use ragwortdeal_core::{claims, command};
use ragwortdeal_wire::link as wire;
use snafu::{ResultExt as _, Snafu};
use tokio::net;

use crate::{clock, link, settings, stop};

/// Why a voter cannot run.
#[derive(Debug, Snafu)]
pub enum VoterError {
    /// The data folder or the log in it cannot be used.
    #[snafu(display("{step}: {}: {source}", path.display()))]
    Storage {
        /// What was being done.
        step: &'static str,
        /// The file or folder.
        path: path::PathBuf,
        /// What went wrong.
        source: io::Error,
    },
}

struct Held {
    machine: command::Machine,
    log: fs::File,
    sessions: Vec<(link::Session, u64)>,
    clock: clock::Clock,
    log_clock: claims::clock::LogClock,
}

/// A voter and its state.
pub struct Voter {
    held: sync::Mutex<Held>,
}

impl Voter {
    /// Opens the data folder and applies the log in it.
    pub fn open(data_dir: &path::Path) -> Result<Self, VoterError> {
        fs::create_dir_all(data_dir)
            .context(StorageSnafu { step: "create data folder", path: data_dir })?;
        let path = data_dir.join("log");
        let mut machine = command::Machine::default();
        if let Ok(bytes) = fs::read(&path) {
            let mut rest = io::Cursor::new(bytes);
            while let Ok(command) = ciborium::from_reader::<command::Command, _>(&mut rest) {
                machine.apply(&command);
            }
        }
        let log = fs::OpenOptions::new().create(true).append(true).open(&path);
        let log = log.context(StorageSnafu { step: "open log", path: &path })?;
        let clock = clock::Clock::start();
        let log_clock = claims::clock::LogClock::new(machine.claims().now_ms(), clock.now_ms());
        let held = Held { machine, log, sessions: Vec::new(), clock, log_clock };
        Ok(Self { held: sync::Mutex::new(held) })
    }

    fn propose(&self, payload: &[u8]) -> io::Result<command::Outcome> {
        let mut command: command::Command =
            ciborium::from_reader(payload).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut held = self.held.lock().expect("no panic under lock");
        command.stamp(held.log_clock.stamp_ms(held.clock.now_ms()));
        let mut entry = Vec::new();
        ciborium::into_writer(&command, &mut entry).expect("own types encode into memory");
        held.log.write_all(&entry)?;
        held.log.sync_data()?;
        let outcome = held.machine.apply(&command);
        held.push_updates();
        Ok(outcome)
    }
}

impl Held {
    fn push_updates(&mut self) {
        let config = self.machine.config();
        self.sessions.retain_mut(|(session, sent_revision)| {
            let Some(update) = config.update_since(*sent_revision) else {
                return true;
            };
            *sent_revision = config.revision();
            session.push(config_update(&update))
        });
    }
}

/// Wraps a configuration update for a link.
pub fn config_update(update: &ragwortdeal_core::config::delta::Update) -> wire::Message {
    let mut payload = Vec::new();
    ciborium::into_writer(update, &mut payload).expect("own types encode into memory");
    wire::Message::ConfigUpdate(wire::ConfigUpdate { payload: payload.into() })
}

impl link::Service for Voter {
    fn opened(&self, session: &link::Session) {
        log::info!("voter: link from {}", session.hello.name);
    }

    fn pushed(&self, session: &link::Session, message: wire::Message) {
        if let wire::Message::Subscribe(subscribe) = message {
            let mut held = self.held.lock().expect("no panic under lock");
            held.sessions.retain(|(other, _)| other.id != session.id);
            held.sessions.push((session.clone(), subscribe.held_revision));
            held.push_updates();
        }
    }

    async fn requested(&self, _session: &link::Session, message: wire::Message) -> wire::Message {
        let wire::Message::Propose(proposal) = message else {
            return link::refused("voter", "not a request for a voter");
        };
        match self.propose(&proposal.payload) {
            Ok(outcome) => {
                let mut payload = Vec::new();
                ciborium::into_writer(&outcome, &mut payload)
                    .expect("own types encode into memory");
                wire::Message::Proposed(wire::Proposed { payload: payload.into() })
            }
            Err(error) => {
                log::error!("voter: cannot write the log: {error}");
                link::refused("write log", &error.to_string())
            }
        }
    }

    fn closed(&self, session: &link::Session) {
        let mut held = self.held.lock().expect("no panic under lock");
        held.sessions.retain(|(other, _)| other.id != session.id);
    }
}

/// Runs a voter until the stop.
pub async fn run(
    settings: settings::voter::Settings,
    listener: net::TcpListener,
    stop: stop::Stop,
) -> Result<(), VoterError> {
    let data_dir = settings.voter.data_dir.unwrap_or_default();
    let voter = sync::Arc::new(Voter::open(&data_dir)?);
    let credential = link::Credential::new(&settings.credentials.cluster);
    link::serve(listener, credential, link::LinkLimits::default(), voter, stop).await;
    Ok(())
}
