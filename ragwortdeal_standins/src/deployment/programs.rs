//! Starts the system's programs on bound loopback ports.

use std::{io, net, time};

use ragwortdeal_node::{agent, entry, settings, voter};
use tokio::net as async_net;

use super::AgentProcess;
use crate::process;

/// How often a port is tried before it counts as taken by somebody else.
const REBINDS_MAX: u32 = 3_000;

/// Pause between two tries.
const REBIND_PAUSE: time::Duration = time::Duration::from_millis(10);

pub(super) fn start_voter(
    settings: settings::voter::Settings,
    listener: net::TcpListener,
) -> io::Result<process::Process> {
    process::Process::start("voter", async move |stop| {
        let listener = async_net::TcpListener::from_std(listener).expect("a bound listener");
        if let Err(error) = voter::run(settings, listener, stop).await {
            log::error!("stand-in: voter ended: {error}");
        }
    })
}

pub(super) struct BoundEntry {
    pub(super) listeners: [net::TcpListener; 3],
    pub(super) settings: settings::entry::Listen,
}

pub(super) fn bind_entry() -> io::Result<BoundEntry> {
    let (callers, callers_address) = process::bind()?;
    let (operators, operators_address) = process::bind()?;
    let (links, links_address) = process::bind()?;
    let settings = settings::entry::Listen {
        callers: callers_address,
        operators: operators_address,
        links: links_address,
        unready_ms: 200,
        grace_ms: 20_000,
        ..settings::entry::Listen::default()
    };
    Ok(BoundEntry { listeners: [callers, operators, links], settings })
}

pub(super) fn start_entry(
    settings: settings::entry::Settings,
    listeners: [net::TcpListener; 3],
) -> io::Result<process::Process> {
    process::Process::start("entry", async move |stop| {
        let listener =
            |listener| async_net::TcpListener::from_std(listener).expect("a bound listener");
        let [callers, operators, links] = listeners.map(listener);
        let listeners = entry::Listeners { callers, operators, links, voter: None };
        if let Err(error) = entry::run(settings, listeners, stop).await {
            log::error!("stand-in: entry ended: {error}");
        }
    })
}

pub(super) fn start_agent(mut settings: settings::agent::Settings) -> io::Result<AgentProcess> {
    let (listener, address) = process::bind()?;
    settings.listen = settings::agent::Listen { calls: address, grace_ms: 20_000 };
    let name = settings.process.name.clone();
    let process = Some(run_agent(settings.clone(), listener)?);
    Ok(AgentProcess { name, process, engine: None, service: None, settings })
}

pub(super) async fn restart_agent(agent: &mut AgentProcess) -> io::Result<()> {
    let listener = rebind(agent.settings.listen.calls).await?;
    agent.process = Some(run_agent(agent.settings.clone(), listener)?);
    Ok(())
}

fn run_agent(
    settings: settings::agent::Settings,
    listener: net::TcpListener,
) -> io::Result<process::Process> {
    process::Process::start("agent", async move |stop| {
        let listener = async_net::TcpListener::from_std(listener).expect("a bound listener");
        if let Err(error) = agent::run(settings, listener, stop).await {
            log::error!("stand-in: agent ended: {error}");
        }
    })
}

/// Binds the port of a killed program, whose runtime may still be letting go of it.
pub(super) async fn rebind(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let mut bound = net::TcpListener::bind(address);
    for _ in 0..REBINDS_MAX {
        if bound.is_ok() {
            break;
        }
        tokio::time::sleep(REBIND_PAUSE).await;
        bound = net::TcpListener::bind(address);
    }
    let listener = bound?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
