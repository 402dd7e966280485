//! What agents are told about each other.

use std::{collections, net, time};

use googletest::prelude::*;
use ragwortdeal_node::{
    fleet::notice::{self, Notice},
    link,
};
use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::world::World;
use ragwortdeal_wire::link as wire;
use tokio::sync::mpsc;

/// The first agent; the others follow.
const FIRST: u8 = 20;

/// Bytes by which the encoding of two numbers in a message may differ.
const NUMBERS_BYTES: usize = 16;

struct Agent {
    address: net::Ipv4Addr,
    link: link::Link,
    events: mpsc::Receiver<link::LinkEvent>,
    agents: collections::BTreeMap<net::Ipv4Addr, bool>,
    /// Notices of changes that it got.
    change_notices: usize,
    /// Engines that it was told about.
    engines: collections::BTreeSet<net::Ipv4Addr>,
}

impl Agent {
    async fn connect(world: &World, number: u8) -> Self {
        let (link, events) = world.link(1, number, "agent").await;
        let follow = notice::encode(&Notice::Subscribe { version: 0 });
        link.push("follow", follow).expect("the link is up");
        let address = world.address(number);
        let (agents, engines) = (collections::BTreeMap::new(), collections::BTreeSet::new());
        Self { address, link, events, agents, change_notices: 0, engines }
    }

    fn report_narrow(&self, number: u64, narrow: bool) {
        let status = notice::EngineStatus {
            address: net::SocketAddrV4::new(self.address, 80),
            born_ms: 1_000,
            sequence: number,
            version: 1,
            accepts: true,
            complete_version: 1,
            narrow,
        };
        let message = notice::encode(&Notice::EngineStatus(status));
        self.link.push("tell", message).expect("the link is up");
    }

    /// Reads messages until the condition holds for the known agents. Returns their bytes.
    async fn receive_until(
        &mut self,
        holds: impl Fn(&collections::BTreeMap<net::Ipv4Addr, bool>) -> bool,
    ) -> usize {
        let mut bytes = 0;
        while !holds(&self.agents) {
            let event = self.events.recv().await.expect("the link stays up");
            let link::LinkEvent::Push(message) = event else { continue };
            if let wire::Message::Replicate(replicate) = &*message {
                bytes += replicate.payload.len();
            }
            match notice::decode(&message) {
                Some(Notice::Agents(agents)) => {
                    self.agents = agents.iter().map(|info| (info.address, info.narrow)).collect();
                }
                Some(Notice::Agent(info)) => {
                    self.change_notices += 1;
                    self.agents.insert(info.address, info.narrow);
                }
                Some(Notice::AgentLeft(address)) => {
                    self.change_notices += 1;
                    self.agents.remove(&address);
                }
                Some(Notice::AgentChanges { changed, left }) => {
                    self.change_notices += 1;
                    let changed = changed.iter().map(|info| (info.address, info.narrow));
                    self.agents.extend(changed);
                    left.iter().for_each(|address| _ = self.agents.remove(address));
                }
                Some(Notice::Upstreams(announcements)) => {
                    self.engines.extend(announcements.iter().map(|it| *it.address.ip()));
                }
                _ => (),
            }
        }
        bytes
    }
}

/// So many agents, each of which knows all of them.
async fn agents(world: &World, count: u8) -> Vec<Agent> {
    let mut agents = Vec::new();
    for number in FIRST..FIRST + count {
        agents.push(Agent::connect(world, number).await);
    }
    for agent in &mut agents {
        agent.receive_until(|agents| agents.len() == usize::from(count)).await;
    }
    agents
}

/// Bytes that one agent is sent when the link of another one becomes narrow.
async fn bytes_of_a_change(count: u8) -> usize {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let mut agents = agents(&world, count).await;
    let changed = agents[0].address;
    agents[0].report_narrow(1, true);
    agents[1].receive_until(|agents| agents[&changed]).await
}

/// Links become narrow while weights are distributed. If every voter sent the whole list of agents
/// to all agents on each change, these messages would fill the links that have become narrow, and
/// delay callers' requests.
#[googletest::test]
#[tokio::test]
async fn a_change_of_one_agent_costs_the_same_among_many() {
    let (few, many) = (bytes_of_a_change(4).await, bytes_of_a_change(40).await);
    expect_that!(many, le(few + NUMBERS_BYTES));
}

/// Least time between two notices of changes.
const CHANGES_INTERVAL_MS: u128 = 100;

/// Hundreds of agents connect within a second after all machines lost power. If a voter told each
/// of them of each other one by one, it would be busy with that for seconds, and entries and agents
/// would learn neither document nor weights meanwhile.
#[googletest::test]
#[tokio::test]
async fn agents_that_join_together_are_told_together() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let begun = time::Instant::now();
    let agents = agents(&world, 60).await;
    let intervals = begun.elapsed().as_millis() / CHANGES_INTERVAL_MS;
    expect_that!(agents[0].change_notices as u128, le(intervals + 2));
}

/// An agent restarts and connects before its earlier connection ends. The others must still know
/// it, and forget it once it is gone.
#[googletest::test]
#[tokio::test]
async fn an_agent_stays_known_until_its_last_connection_ends() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let mut agents = agents(&world, 3).await;
    let again = Agent::connect(&world, FIRST).await;
    again.report_narrow(1, true);
    let address = again.address;
    agents[1].receive_until(|agents| agents[&address]).await;
    drop(agents.remove(0));
    let later = Agent::connect(&world, FIRST + 3).await;
    agents[0].receive_until(|agents| agents.contains_key(&later.address)).await;
    expect_that!(agents[0].agents.contains_key(&address), eq(true));
    drop(again);
    agents[0].receive_until(|agents| !agents.contains_key(&address)).await;
}

/// Engines announce each change of their weights, all within a few seconds. Sent to all agents,
/// these announcements would fill narrow links with what only the agent beside the engine needs.
#[googletest::test]
#[tokio::test]
async fn an_agent_is_told_only_of_the_engine_beside_it() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let mut agents = agents(&world, 2).await;
    for number in [FIRST, FIRST + 1] {
        world.engine(number, "models", 1).await;
    }
    let mut later = Agent::connect(&world, FIRST + 2).await;
    later.receive_until(|agents| agents.len() == 3).await;
    for agent in &mut agents {
        agent.receive_until(|agents| agents.len() == 3).await;
        expect_that!(agent.engines, eq(&[agent.address].into()));
    }
    expect_that!(later.engines, is_empty());
}
