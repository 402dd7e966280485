//! A whole deployment on loopback: the system's programs and the stand-ins round them.

use std::{io, net, path, sync, time};

use ragwortdeal_core::replication::replica;
use ragwortdeal_node::{agent, entry, link, settings, voter};
use ragwortdeal_wire::{link as link_wire, operator as wire};
use tokio::{net as async_net, sync::mpsc};

use crate::{caller, engine, origin, process, service};

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
            plan,
        };
        deployment.start_voters()?;
        deployment.start_entries()?;
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

    fn start_voters(&mut self) -> io::Result<()> {
        let bound: Vec<_> =
            (0..self.plan.voters).map(|_| process::bind()).collect::<io::Result<_>>()?;
        let member = |(number, (_, address)): (usize, &(net::TcpListener, net::SocketAddr))| {
            settings::voter::Member { name: format!("voter-{number}"), address: *address }
        };
        let initial: Vec<_> = bound.iter().enumerate().map(member).collect();
        for (number, (listener, address)) in bound.into_iter().enumerate() {
            let settings = settings::voter::Settings {
                process: self.process_settings("voter", number),
                listen: settings::voter::Listen { links: address },
                voter: settings::voter::Voter {
                    data_dir: Some(self.data_dir(number)),
                    initial: initial.clone(),
                },
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

    /// A link to a voter, as an operator's tool opens it. It is up a moment later.
    pub fn voter_link(&self, number: usize) -> link::Link {
        let address = self.voters[number].settings.listen.links.to_string();
        let hello = link_wire::Hello {
            name: "tests".to_owned(),
            role: "operator".to_owned(),
            zone: "home".to_owned(),
            incarnation: 1,
        };
        let (events, mut received) = mpsc::channel(16);
        tokio::spawn(async move { while received.recv().await.is_some() {} });
        let credential = link::Credential::new(CLUSTER_SECRET);
        link::open(&address, credential, hello, link::LinkLimits::default(), events)
    }

    /// A voter's view of its group, `None` where it does not answer.
    pub async fn voter_status(&self, number: usize) -> Option<replica::Status> {
        match self.ask_voter(number, &voter::operate::Request::Status).await {
            Some(voter::operate::Reply::Status(status)) => Some(*status),
            _ => None,
        }
    }

    /// Asks a voter as an operator's tool does.
    pub async fn ask_voter(
        &self,
        number: usize,
        request: &voter::operate::Request,
    ) -> Option<voter::operate::Reply> {
        self.voters[number].process.as_ref()?;
        let link = self.voter_link(number);
        wait_for("the link to a running voter is up", async || link.is_up()).await;
        voter::operate::ask(&link, request, 1_000).await.ok()
    }

    /// Folder of a voter's disk.
    pub fn data_dir(&self, number: usize) -> path::PathBuf {
        self.folder.path().join(format!("voter-{number}"))
    }

    fn start_entries(&mut self) -> io::Result<()> {
        let voters = self.voters.iter().map(|voter| voter.settings.listen.links).collect();
        let peers = settings::common::Peers { addresses: voters };
        let bound: Vec<_> =
            (0..self.plan.entries).map(|_| bind_entry()).collect::<io::Result<_>>()?;
        let links: Vec<_> = bound.iter().map(|bound| bound.settings.links).collect();
        for (number, BoundEntry { listeners, settings: listen }) in bound.into_iter().enumerate() {
            let own = listen.links;
            let others = links.iter().copied().filter(|address| *address != own);
            let settings = settings::entry::Settings {
                process: self.process_settings("entry", number),
                listen,
                voters: peers.clone(),
                entries: settings::common::Peers { addresses: others.collect() },
                accounts: self.accounts(),
                limits: self.plan.limits.clone(),
                operators: vec![settings::entry::Operator {
                    name: "tests".to_owned(),
                    token: caller::OPERATOR_TOKEN.to_owned(),
                }],
                credentials: credentials(),
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

    fn agent_settings(&self, kind: &str, number: usize) -> settings::agent::Settings {
        let entries = self.entries.iter().map(|entry| entry.settings.listen.links).collect();
        settings::agent::Settings {
            process: self.process_settings(kind, number),
            entries: settings::common::Peers { addresses: entries },
            weights: settings::agent::Weights {
                origin: Some(self.origin.address()),
                origin_weight_percent: self.plan.origin_weight_percent,
                upload_bytes_per_s: self.plan.upload_bytes_per_s,
                ..settings::agent::Weights::default()
            },
            credentials: credentials(),
            ..settings::agent::Settings::default()
        }
    }

    /// Starts an engine with its agent.
    pub async fn start_engine(&mut self, number: usize) -> io::Result<()> {
        let engine = engine::Engine::start(self.plan.engine.clone()).await?;
        let mut settings = self.agent_settings("engine", number);
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
        let mut settings = self.agent_settings(name, number);
        settings.upstream.kind = settings::agent::UpstreamKind::Service;
        settings.upstream.service = Some(name.to_owned());
        settings.upstream.address = service.address();
        let mut agent = start_agent(settings)?;
        agent.service = Some(service);
        self.services.push(agent);
        Ok(())
    }

    /// Starts a killed voter again, with its disk as it is.
    pub fn restart_voter(&mut self, number: usize) -> io::Result<()> {
        let voter = &mut self.voters[number];
        let listener = rebind(voter.settings.listen.links)?;
        voter.process = Some(start_voter(voter.settings.clone(), listener)?);
        Ok(())
    }

    /// Starts a killed entry again.
    pub fn restart_entry(&mut self, number: usize) -> io::Result<()> {
        let entry = &mut self.entries[number];
        let listen = &entry.settings.listen;
        let listeners = [rebind(listen.callers)?, rebind(listen.operators)?, rebind(listen.links)?];
        entry.process = Some(start_entry(entry.settings.clone(), listeners)?);
        Ok(())
    }

    /// Starts a killed agent of an engine again, beside the engine that went on.
    pub fn restart_engine_agent(&mut self, number: usize) -> io::Result<()> {
        restart_agent(&mut self.engines[number])
    }

    /// Starts a killed agent of a service again, beside the service that went on.
    pub fn restart_service_agent(&mut self, number: usize) -> io::Result<()> {
        restart_agent(&mut self.services[number])
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

    /// Sets a route from every account to every model, service and upstream.
    pub async fn open_routes(&self) {
        let all = String::new;
        let route = wire::Route { accounts: all(), targets: all(), upstreams: all() };
        let answer = self.operator(0).set("open", "route/all", wire::Object::Route(route)).await;
        assert!(answer.is_some(), "the route was not answered");
    }

    /// Registers a version and places it on all engines.
    pub async fn roll_out(&self, weights: &origin::Weights) {
        self.origin.offer(weights);
        let version = weights.version().to_string();
        let object = wire::Object::Version(wire::Version {
            model: MODEL.to_owned(),
            adapter: None,
            size_bytes: weights.manifest.size_bytes(),
        });
        let operator = self.operator(0);
        let (id, key) = (format!("register-{version}"), format!("version/{version}"));
        operator.set(&id, &key, object).await;
        let object = wire::Object::Placement(wire::Placement {
            instances: "name".to_owned(),
            version: version.clone(),
        });
        for number in 0..self.plan.engines {
            let key = format!("instance/engine-{number}");
            operator.set(&format!("label-{number}"), &key, caller::labels(&[])).await;
        }
        operator.set(&format!("place-{version}"), "placement/all", object).await;
    }

    /// Waits until so many engines serve a version as seen by an entry.
    pub async fn serving(&self, entry: usize, version: &str, replicas: usize) {
        let operator = self.operator(entry);
        wait_for("the replicas serve the version", async || {
            let Some(status) = operator.status().await else {
                return false;
            };
            let serving =
                status.instances.iter().filter(|one| one.serving.as_deref() == Some(version));
            serving.count() >= replicas
        })
        .await;
    }
}

/// Waits until a condition holds, for as long as a test may take.
///
/// # Panics
///
/// Where it does not hold within a minute.
pub async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = time::Instant::now() + time::Duration::from_secs(60);
    while !holds().await {
        assert!(time::Instant::now() < deadline, "did not come about: {what}");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

fn credentials() -> settings::common::Credentials {
    settings::common::Credentials { cluster: CLUSTER_SECRET.to_owned() }
}

fn start_voter(
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

struct BoundEntry {
    listeners: [net::TcpListener; 3],
    settings: settings::entry::Listen,
}

fn bind_entry() -> io::Result<BoundEntry> {
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

fn start_entry(
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

fn start_agent(mut settings: settings::agent::Settings) -> io::Result<AgentProcess> {
    let (listener, address) = process::bind()?;
    settings.listen = settings::agent::Listen { calls: address, grace_ms: 20_000 };
    let name = settings.process.name.clone();
    let process = Some(run_agent(settings.clone(), listener)?);
    Ok(AgentProcess { name, process, engine: None, service: None, settings })
}

fn restart_agent(agent: &mut AgentProcess) -> io::Result<()> {
    let listener = rebind(agent.settings.listen.calls)?;
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

fn rebind(address: net::SocketAddr) -> io::Result<net::TcpListener> {
    let listener = net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
