//! What agents are told of each other.

use std::{collections, net};

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

/// Bytes by which two numbers of different length may differ in a message.
const NUMBERS_BYTES: usize = 16;

struct Agent {
    address: net::Ipv4Addr,
    link: link::Link,
    events: mpsc::Receiver<link::LinkEvent>,
    seats: collections::BTreeMap<net::Ipv4Addr, bool>,
    /// Engines that it was told of.
    engines: collections::BTreeSet<net::Ipv4Addr>,
}

impl Agent {
    async fn connect(world: &World, number: u8) -> Self {
        let (link, events) = world.link(1, number, "agent").await;
        let follow = notice::encode(&Notice::Subscribe { version: 0 });
        link.push("follow", follow).expect("the link is up");
        let address = world.address(number);
        let (seats, engines) = (collections::BTreeMap::new(), collections::BTreeSet::new());
        Self { address, link, events, seats, engines }
    }

    fn tell_narrow(&self, number: u64, narrow: bool) {
        let serves = notice::EngineStatus {
            address: net::SocketAddrV4::new(self.address, 80),
            born_ms: 1_000,
            sequence: number,
            version: 1,
            accepts: true,
            complete_version: 1,
            narrow,
        };
        let message = notice::encode(&Notice::EngineStatus(serves));
        self.link.push("tell", message).expect("the link is up");
    }

    /// Takes messages until this holds of the agents that are known. Returns their bytes.
    async fn hear_until(
        &mut self,
        holds: impl Fn(&collections::BTreeMap<net::Ipv4Addr, bool>) -> bool,
    ) -> usize {
        let mut bytes = 0;
        while !holds(&self.seats) {
            let event = self.events.recv().await.expect("the link stays up");
            let link::LinkEvent::Push(message) = event else { continue };
            if let wire::Message::Replicate(replicate) = &*message {
                bytes += replicate.payload.len();
            }
            match notice::decode(&message) {
                Some(Notice::Agents(seats)) => {
                    self.seats = seats.iter().map(|seat| (seat.address, seat.narrow)).collect();
                }
                Some(Notice::Agent(seat)) => _ = self.seats.insert(seat.address, seat.narrow),
                Some(Notice::AgentLeft(address)) => _ = self.seats.remove(&address),
                Some(Notice::Upstreams(said)) => {
                    self.engines.extend(said.iter().map(|said| *said.address.ip()));
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
        agent.hear_until(|seats| seats.len() == usize::from(count)).await;
    }
    agents
}

/// Bytes that one agent is told when the link of another one turns narrow.
async fn bytes_of_a_change(count: u8) -> usize {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let mut agents = agents(&world, count).await;
    let changed = agents[0].address;
    agents[0].tell_narrow(1, true);
    agents[1].hear_until(|seats| seats[&changed]).await
}

/// Links turn narrow while weights spread. If all agents were told of all agents for each change, by
/// each voter, these messages would fill the links that have become narrow, and callers' requests
/// would wait behind them.
#[googletest::test]
#[tokio::test]
async fn a_change_of_one_agent_costs_the_same_among_many() {
    let (few, many) = (bytes_of_a_change(4).await, bytes_of_a_change(40).await);
    expect_that!(many, le(few + NUMBERS_BYTES));
}

/// An agent starts again and connects before its earlier connection ends. The others must go on to
/// know it, and forget it once it is gone.
#[googletest::test]
#[tokio::test]
async fn an_agent_stays_known_until_its_last_connection_ends() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let mut agents = agents(&world, 3).await;
    let again = Agent::connect(&world, FIRST).await;
    again.tell_narrow(1, true);
    let address = again.address;
    agents[1].hear_until(|seats| seats[&address]).await;
    drop(agents.remove(0));
    let later = Agent::connect(&world, FIRST + 3).await;
    agents[0].hear_until(|seats| seats.contains_key(&later.address)).await;
    expect_that!(agents[0].seats.contains_key(&address), eq(true));
    drop(again);
    agents[0].hear_until(|seats| !seats.contains_key(&address)).await;
}

/// Engines announce each change of their weights, all within a few seconds. Told to all agents, these
/// announcements would fill narrow links with what only the agent beside the engine needs.
#[googletest::test]
#[tokio::test]
async fn an_agent_hears_of_the_engine_beside_it_alone() {
    let world = World::new(&DIALECT, 1);
    let _voter = world.voter(1, true).await;
    let mut agents = agents(&world, 2).await;
    for number in [FIRST, FIRST + 1] {
        world.engine(number, "models", 1).await;
    }
    let mut later = Agent::connect(&world, FIRST + 2).await;
    later.hear_until(|seats| seats.len() == 3).await;
    for agent in &mut agents {
        agent.hear_until(|seats| seats.len() == 3).await;
        expect_that!(agent.engines, eq(&[agent.address].into()));
    }
    expect_that!(later.engines, is_empty());
}
