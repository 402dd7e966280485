//! A whole deployment on loopback: the system's programs and the stand-ins round them.

mod programs;
mod rollouts;
mod voters;

use std::{
    io, net, path,
    sync::{self, atomic},
};

use ragwortdeal_node::settings;
use ragwortdeal_wire::operator as wire;

use crate::{caller, engine, network, origin, process, service};

pub use rollouts::wait_for;

use programs::{
    BoundEntry, bind_entry, rebind, restart_agent, start_agent, start_entry, start_voter,
};

/// Secret between the system's processes in tests.
pub(crate) const CLUSTER_SECRET: &str = "secret-between-the-processes";

/// Model that tests roll out.
pub const MODEL: &str = "match";

/// Service that tests send operations to.
pub const LEDGER: &str = "ledger";

/// Service that tests read from.
pub const PORTAL: &str = "portal";

/// What to start.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Availability zones, filled in turn.
    pub zones: Vec<&'static str>,
    /// Number of voters.
    pub voters: usize,
    /// Number of entries.
    pub entries: usize,
    /// Number of engines.
    pub engines: usize,
    /// Number of ledger instances, which share one record.
    pub ledgers: usize,
    /// Number of portal instances.
    pub portals: usize,
    /// Rate of the origin's link.
    pub origin_bytes_per_s: u64,
    /// Rate of each agent's link towards other agents, 0 for no bound.
    pub upload_bytes_per_s: u64,
    /// 0 weighs time until all serve, 100 weighs bytes from the origin.
    pub origin_weight_percent: u8,
    /// Limits on calls at the entries.
    pub limits: settings::entry::Limits,
    /// Accounts beside the test account.
    pub accounts: Vec<settings::entry::Account>,
    /// How engines behave.
    pub engine: engine::Behaviour,
    /// Longest life of an order to an engine that does not check numbers.
    pub order_life_ms: u64,
    /// How ledgers behave.
    pub ledger: service::Behaviour,
    /// Whether entries and agents append their spans to `spans.jsonl` in the deployment's folder.
    pub spans: bool,
    /// Whether links between availability zones go through stretches of network that can be cut.
    pub network: bool,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            zones: vec!["amman", "irbid", "aqaba"],
            voters: 3,
            entries: 4,
            engines: 4,
            ledgers: 1,
            portals: 1,
            origin_bytes_per_s: 64 << 20,
            upload_bytes_per_s: 0,
            origin_weight_percent: 50,
            limits: settings::entry::Limits::default(),
            accounts: Vec::new(),
            engine: engine::Behaviour::default(),
            order_life_ms: 60_000,
            ledger: service::Behaviour::default(),
            network: false,
            spans: false,
        }
    }
}

/// An entry and where it listens.
#[derive(Debug)]
pub struct EntryProcess {
    /// The program, `None` once it was killed.
    pub process: Option<process::Process>,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for operators.
    pub operators: net::SocketAddr,
    settings: settings::entry::Settings,
}

/// An agent with the upstream beside it.
#[derive(Debug)]
pub struct AgentProcess {
    /// Name of the instance.
    pub name: String,
    /// The program, `None` once it was killed.
    pub process: Option<process::Process>,
    /// The engine, where the upstream is one; `None` once it was killed.
    pub engine: Option<engine::Engine>,
    /// The plain service, where the upstream is one.
    pub service: Option<service::Service>,
    settings: settings::agent::Settings,
}

/// A voter.
#[derive(Debug)]
pub struct VoterProcess {
    /// The program, `None` once it was killed.
    pub process: Option<process::Process>,
    settings: settings::voter::Settings,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// The origin of weights.
    pub origin: origin::Origin,
    /// The record that all ledger instances share.
    pub ledger: sync::Arc<service::Ledger>,
    /// Voters.
    pub voters: Vec<VoterProcess>,
    /// Entries.
    pub entries: Vec<EntryProcess>,
    /// Agents beside engines.
    pub engines: Vec<AgentProcess>,
    /// Agents beside ledger and portal instances.
    pub services: Vec<AgentProcess>,
    plan: Plan,
    folder: tempfile::TempDir,
    stretches: Vec<BetweenZones>,
    changes: atomic::AtomicU64,
}

/// A stretch of network between a process and the process that it opens a link to.
#[derive(Debug)]
struct BetweenZones {
    from: String,
    to: String,
    stretch: network::Stretch,
}

impl Deployment {
    /// Starts everything and waits until all upstreams announced themselves at all entries.
    pub async fn start(plan: Plan) -> io::Result<Self> {
        let origin = origin::Origin::start(plan.origin_bytes_per_s).await?;
        let mut deployment = Self {
            origin,
            ledger: sync::Arc::default(),
            voters: Vec::new(),
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            folder: tempfile::tempdir()?,
            stretches: Vec::new(),
            changes: atomic::AtomicU64::new(0),
            plan,
        };
        deployment.start_voters().await?;
        deployment.start_entries().await?;
        for number in 0..deployment.plan.engines {
            deployment.start_engine(number).await?;
        }
        for number in 0..deployment.plan.ledgers {
            let behaviour = deployment.plan.ledger.clone();
            deployment.start_service(LEDGER, number, behaviour).await?;
        }
        for number in 0..deployment.plan.portals {
            deployment.start_service(PORTAL, number, service::Behaviour::default()).await?;
        }
        deployment.settle().await;
        deployment.reach_voters().await;
        Ok(deployment)
    }

    fn process_settings(&self, kind: &str, number: usize) -> settings::common::Process {
        let zone = self.plan.zones[number % self.plan.zones.len()];
        settings::common::Process {
            name: format!("{kind}-{number}"),
            availability_zone: zone.to_owned(),
            region: "home".to_owned(),
        }
    }

    /// The address by which a process of one zone reaches another process.
    async fn through(
        &mut self,
        from: &str,
        to: &settings::common::Process,
        address: net::SocketAddr,
    ) -> io::Result<net::SocketAddr> {
        if !self.plan.network {
            return Ok(address);
        }
        let stretch = network::Stretch::start(address).await?;
        let through = stretch.address();
        let (from, to) = (from.to_owned(), to.availability_zone.clone());
        self.stretches.push(BetweenZones { from, to, stretch });
        Ok(through)
    }

    /// Cuts a zone's links to all others, or heals them.
    pub fn set_cut(&self, zone: &str, cut: bool) {
        let crossing = |between: &&BetweenZones| (between.from == zone) != (between.to == zone);
        self.stretches.iter().filter(crossing).for_each(|between| between.stretch.set_cut(cut));
    }

    /// Makes all open links through the network go silent for good; new ones work.
    pub fn forget_links(&self) {
        self.stretches.iter().for_each(|between| between.stretch.forget());
    }

    async fn start_voters(&mut self) -> io::Result<()> {
        let bound: Vec<_> =
            (0..self.plan.voters).map(|_| process::bind()).collect::<io::Result<_>>()?;
        let addresses: Vec<_> = bound.iter().map(|(_, address)| *address).collect();
        for (number, (listener, address)) in bound.into_iter().enumerate() {
            let process = self.process_settings("voter", number);
            let mut initial = Vec::new();
            for (other, &address) in addresses.iter().enumerate() {
                let to = self.process_settings("voter", other);
                let address = self.through(&process.availability_zone, &to, address).await?;
                initial.push(settings::voter::Member { name: to.name, address });
            }
            let settings = settings::voter::Settings {
                process,
                listen: settings::voter::Listen { links: address },
                voter: settings::voter::Voter { data_dir: Some(self.data_dir(number)), initial },
                credentials: credentials(),
                ..settings::voter::Settings::default()
            };
            let process = Some(start_voter(settings.clone(), listener)?);
            self.voters.push(VoterProcess { process, settings });
        }
        Ok(())
    }

    /// Starts a voter that the settings of the others do not name, and returns its number.
    pub fn start_new_voter(&mut self) -> io::Result<usize> {
        let number = self.voters.len();
        let (listener, address) = process::bind()?;
        let mut settings = self.voters[0].settings.clone();
        let process = self.process_settings("voter", number);
        settings
            .voter
            .initial
            .push(settings::voter::Member { name: process.name.clone(), address });
        settings.voter.data_dir = Some(self.data_dir(number));
        settings.process = process;
        settings.listen.links = address;
        let process = Some(start_voter(settings.clone(), listener)?);
        self.voters.push(VoterProcess { process, settings });
        Ok(number)
    }

    /// File that spans are appended to.
    pub fn spans_file(&self) -> path::PathBuf {
        self.folder.path().join("spans.jsonl")
    }

    fn telemetry(&self) -> settings::common::Telemetry {
        let spans_file = self.plan.spans.then(|| self.spans_file());
        settings::common::Telemetry { spans_file, ..settings::common::Telemetry::default() }
    }

    /// Folder of a voter's disk.
    pub fn data_dir(&self, number: usize) -> path::PathBuf {
        self.folder.path().join(format!("voter-{number}"))
    }

    async fn start_entries(&mut self) -> io::Result<()> {
        let voters: Vec<_> = self.voters.iter().map(|voter| voter.settings.clone()).collect();
        let bound: Vec<_> =
            (0..self.plan.entries).map(|_| bind_entry()).collect::<io::Result<_>>()?;
        let links: Vec<_> = bound.iter().map(|bound| bound.settings.links).collect();
        for (number, BoundEntry { listeners, settings: listen }) in bound.into_iter().enumerate() {
            let process = self.process_settings("entry", number);
            let zone = process.availability_zone.clone();
            let mut to_voters = settings::common::Peers::default();
            for voter in &voters {
                let address = self.through(&zone, &voter.process, voter.listen.links).await?;
                to_voters.addresses.push(address);
            }
            let mut to_entries = settings::common::Peers::default();
            for (other, &address) in links.iter().enumerate().filter(|(other, _)| *other != number)
            {
                let other = self.process_settings("entry", other);
                to_entries.addresses.push(self.through(&zone, &other, address).await?);
            }
            let settings = settings::entry::Settings {
                process,
                listen,
                voters: to_voters,
                entries: to_entries,
                accounts: self.accounts(),
                limits: self.plan.limits.clone(),
                operators: vec![settings::entry::Operator {
                    name: "tests".to_owned(),
                    token: caller::OPERATOR_TOKEN.to_owned(),
                }],
                credentials: credentials(),
                telemetry: self.telemetry(),
                ..settings::entry::Settings::default()
            };
            let process = Some(start_entry(settings.clone(), listeners)?);
            let (callers, operators) = (settings.listen.callers, settings.listen.operators);
            self.entries.push(EntryProcess { process, callers, operators, settings });
        }
        Ok(())
    }

    fn accounts(&self) -> Vec<settings::entry::Account> {
        let own = settings::entry::Account {
            name: "branches".to_owned(),
            token: caller::ACCOUNT_TOKEN.to_owned(),
            weight: None,
        };
        [&[own], &self.plan.accounts[..]].concat()
    }

    async fn agent_settings(
        &mut self,
        kind: &str,
        number: usize,
    ) -> io::Result<settings::agent::Settings> {
        let process = self.process_settings(kind, number);
        let entries: Vec<_> = self.entries.iter().map(|entry| entry.settings.clone()).collect();
        let mut to_entries = settings::common::Peers::default();
        for entry in &entries {
            let zone = &process.availability_zone;
            let address = self.through(zone, &entry.process, entry.listen.links).await?;
            to_entries.addresses.push(address);
        }
        Ok(settings::agent::Settings {
            process,
            entries: to_entries,
            weights: settings::agent::Weights {
                origin: Some(self.origin.address()),
                origin_weight_percent: self.plan.origin_weight_percent,
                upload_bytes_per_s: self.plan.upload_bytes_per_s,
                ..settings::agent::Weights::default()
            },
            credentials: credentials(),
            telemetry: self.telemetry(),
            ..settings::agent::Settings::default()
        })
    }

    /// Starts an engine with its agent.
    pub async fn start_engine(&mut self, number: usize) -> io::Result<()> {
        let engine = engine::Engine::start(self.plan.engine.clone()).await?;
        let mut settings = self.agent_settings("engine", number).await?;
        settings.upstream.address = engine.address();
        settings.upstream.checks_fence = self.plan.engine.checks_fence;
        settings.upstream.order_life_ms = self.plan.order_life_ms;
        settings.upstream.report_ms = 100;
        settings.upstream.slots = self.plan.engine.slots as u32;
        let mut agent = start_agent(settings)?;
        agent.engine = Some(engine);
        self.engines.push(agent);
        Ok(())
    }

    async fn start_service(
        &mut self,
        name: &str,
        number: usize,
        behaviour: service::Behaviour,
    ) -> io::Result<()> {
        let service = service::Service::start(self.ledger.clone(), behaviour).await?;
        let mut settings = self.agent_settings(name, number).await?;
        settings.upstream.kind = settings::agent::UpstreamKind::Service;
        settings.upstream.service = Some(name.to_owned());
        settings.upstream.address = service.address();
        let mut agent = start_agent(settings)?;
        agent.service = Some(service);
        self.services.push(agent);
        Ok(())
    }

    /// Starts a killed voter again, with its disk as it is.
    pub async fn restart_voter(&mut self, number: usize) -> io::Result<()> {
        let voter = &mut self.voters[number];
        let listener = rebind(voter.settings.listen.links).await?;
        voter.process = Some(start_voter(voter.settings.clone(), listener)?);
        Ok(())
    }

    /// Starts a killed entry again.
    pub async fn restart_entry(&mut self, number: usize) -> io::Result<()> {
        let entry = &mut self.entries[number];
        let listen = &entry.settings.listen;
        let listeners = [
            rebind(listen.callers).await?,
            rebind(listen.operators).await?,
            rebind(listen.links).await?,
        ];
        entry.process = Some(start_entry(entry.settings.clone(), listeners)?);
        Ok(())
    }

    /// Starts a killed agent of an engine again, beside the engine that went on.
    pub async fn restart_engine_agent(&mut self, number: usize) -> io::Result<()> {
        restart_agent(&mut self.engines[number]).await
    }

    /// Starts a killed agent of a service again, beside the service that went on.
    pub async fn restart_service_agent(&mut self, number: usize) -> io::Result<()> {
        restart_agent(&mut self.services[number]).await
    }

    /// Address at which an entry takes links.
    pub fn links(&self, entry: usize) -> net::SocketAddr {
        self.entries[entry].settings.listen.links
    }

    /// A caller of one entry.
    pub fn caller(&self, entry: usize) -> caller::Caller {
        caller::Caller::new(self.entries[entry].callers)
    }

    /// An operator's tool on one entry.
    pub fn operator(&self, entry: usize) -> caller::Operator {
        caller::Operator::new(self.entries[entry].operators)
    }

    /// Waits until all upstreams are known at all living entries.
    pub async fn settle(&self) {
        let expected = self.engines.len() + self.services.len();
        for (number, entry) in self.entries.iter().enumerate() {
            if entry.process.is_some() {
                let operator = self.operator(number);
                wait_for("all upstreams are announced", async || {
                    operator.status().await.is_some_and(|status| status.instances.len() >= expected)
                })
                .await;
            }
        }
    }

    /// Waits until all entries have a link to a voter; a change before that is refused as not run.
    async fn reach_voters(&self) {
        for number in 0..self.entries.len() {
            let operator = self.operator(number);
            wait_for("a voter can be reached", async || {
                let status = operator.status().await;
                status.is_some_and(|status| status.control == wire::StatusControl::Reachable)
            })
            .await;
        }
    }
}

fn credentials() -> settings::common::Credentials {
    settings::common::Credentials { cluster: CLUSTER_SECRET.to_owned() }
}
