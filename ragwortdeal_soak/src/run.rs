//! One run: a fleet, its load, its faults, its verdict.

use std::{collections, fs, io, net, path, sync, time};

use ragwortdeal_standins::fleet::{engine, origin};
use rustix::process as signals;
use tokio::{
    sync::{mpsc, watch},
    task,
};

use crate::{
    callers, checks, engines, fleet,
    history::{Kind, Planned, Who},
    operator, proxy, record, schedule, verdict,
};

/// Callers.
const CALLERS: u64 = 16;
/// How often the promises are looked at.
const LOOK: time::Duration = time::Duration::from_secs(2);
/// How often the machine is found to be late or not.
const TICK: time::Duration = time::Duration::from_millis(25);
/// From this delay on the machine counts as disturbed.
const LATE: time::Duration = time::Duration::from_millis(250);
/// Time that the first start may take.
const FIRST_START: time::Duration = time::Duration::from_secs(30);
/// Milliseconds after which it is known whether a request that reached an engine runs there.
const SETTLED_MS: u64 = 200;
/// Milliseconds after SIGHUP in which a cut may come of it.
const HANG_UP_MS: u64 = 2_000;
/// Milliseconds after SIGTERM in which a cut may come of it.
const TERMINATE_MS: u64 = 9_000;

/// What is to be run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Decides the schedule and what callers send.
    pub seed: u64,
    /// Seconds with faults.
    pub faults_s: u64,
    /// Folder for settings, logs and disks.
    pub folder: path::PathBuf,
    /// Folder of the programs.
    pub programs: path::PathBuf,
}

struct Run {
    size: fleet::Size,
    fleet: fleet::Fleet,
    record: sync::Arc<record::Record>,
    ways: collections::BTreeMap<Who, proxy::Proxy>,
    engines: sync::Mutex<Vec<sync::Arc<engines::Engine>>>,
    origin: sync::Arc<origin::Origin>,
    heartbeats: operator::Operator,
    desk: operator::Desk,
    turns: sync::atomic::AtomicUsize,
    started: sync::Mutex<Vec<String>>,
}

/// Runs a plan.
pub async fn run(plan: &Plan) -> io::Result<verdict::Verdict> {
    let size = fleet::Size { voters: 3 + (plan.seed % 2) as u8, entries: 3, agents: 4 };
    let end_ms = schedule::QUIET_MS + plan.faults_s * 1_000;
    let events = schedule::make(plan.seed, size, end_ms);
    let lines: Vec<_> = events.iter().map(|it| format!("{:>6} {:?}", it.at_ms, it.step)).collect();
    let text = lines.join("\n");
    fs::create_dir_all(&plan.folder)?;
    fs::write(plan.folder.join("schedule.txt"), &text)?;
    let run = sync::Arc::new(Run::start(plan, size).await?);
    run.first_start().await?;
    // The schedule's times count from here.
    let offset_ms = run.record.now_ms();
    let (stop, stopped) = watch::channel(false);
    let (orders, ordered) = mpsc::unbounded_channel();
    let mut tasks = run.clone().load(plan.seed, &stopped);
    tasks.spawn({
        let run = run.clone();
        async move { run.desk.work(ordered).await }
    });
    let watched = task::spawn(run.clone().watch(stopped.clone()));
    let ends_ms = end_ms + offset_ms;
    let recovered_ms = ends_ms + schedule::RECOVERY_MS;
    for event in events {
        run.wait_until(event.at_ms + offset_ms).await;
        task::spawn(run.clone().step(event.step, orders.clone()));
    }
    run.wait_until(ends_ms + schedule::CALM_MS).await;
    stop.send_replace(true);
    drop(orders);
    tasks.join_all().await;
    let _ = watched.await;
    run.record.change(|history| history.recovered_ms = Some(recovered_ms));
    run.verdict(text).await
}

impl Run {
    async fn start(plan: &Plan, size: fleet::Size) -> io::Result<Self> {
        let fleet = fleet::Fleet::new(size, &plan.folder, &plan.programs)?;
        let record = record::Record::start();
        let mut ways = collections::BTreeMap::new();
        for number in 1..=size.voters {
            let way = proxy::Proxy::start(fleet.control(number), fleet.world.control(number));
            ways.insert(Who::Control(number), way.await?);
        }
        for number in 10..10 + size.entries {
            let way = proxy::Proxy::start(fleet.callers(number), fleet.world.callers(number));
            ways.insert(Who::Callers(number), way.await?);
        }
        for (number, _) in engines::places(size) {
            ways.insert(Who::Engine(number), engines::way(&fleet, number).await?);
        }
        let origin = origin::Origin::start(fleet.world.upstream(9)).await;
        let before_origin = fleet.announced(9);
        ways.insert(Who::Origin, proxy::Proxy::start(before_origin, origin.address).await?);
        let through: Vec<_> = (1..=size.voters).map(|number| fleet.control(number)).collect();
        let straight = (1..=size.voters).map(|number| fleet.world.control(number)).collect();
        let plain = fleet.world.document(0, None);
        let make = move |version: u64, reads: &'static str| {
            operator::document(plain.clone(), version, reads, before_origin)
        };
        let through = operator::Operator::new(through);
        Ok(Self {
            size,
            desk: operator::Desk::new(through, record.clone(), Box::new(make)),
            heartbeats: operator::Operator::new(straight),
            fleet,
            record,
            ways,
            engines: sync::Mutex::default(),
            origin,
            turns: sync::atomic::AtomicUsize::new(0),
            started: sync::Mutex::default(),
        })
    }

    /// Brings everything up, until each entry serves.
    async fn first_start(&self) -> io::Result<()> {
        for who in self.size.processes() {
            self.fleet.start(who).await?;
        }
        let first = tokio::time::timeout(FIRST_START, self.desk.send(1, true)).await;
        first.map_err(|_| io::Error::other("no voter acknowledges the first document"))?;
        self.record.change(|history| _ = history.named.insert(checks::weights::FIRST, 0));
        for (number, service) in engines::places(self.size) {
            self.engine(number, 0, service).await;
        }
        let begun = time::Instant::now();
        for number in 10..10 + self.size.entries {
            let ready = self.fleet.world.readiness(number);
            let operator = self.fleet.world.operator();
            let answers = async || {
                let answer = operator.call(ready, "GET", "/readiness", "").await;
                answer.is_some_and(|(status, _)| status == 200)
            };
            while !answers().await {
                if begun.elapsed() > FIRST_START {
                    return Err(io::Error::other(format!("entry {number} does not become ready")));
                }
                tokio::time::sleep(TICK).await;
            }
        }
        Ok(())
    }

    async fn engine(&self, number: u8, life: u16, service: &'static str) {
        let tells = (self.heartbeats.clone(), self.record.clone());
        let engine = engines::Engine::start(&self.fleet, number, life, service, tells).await;
        if service == "models" {
            engine.engine.stage_all(&origin::chunks(checks::weights::FIRST));
        }
        self.engines().push(engine);
    }

    fn engines(&self) -> sync::MutexGuard<'_, Vec<sync::Arc<engines::Engine>>> {
        self.engines.lock().expect("no panic under lock")
    }

    fn load(
        self: sync::Arc<Self>,
        seed: u64,
        stopped: &watch::Receiver<bool>,
    ) -> task::JoinSet<()> {
        let mut tasks = task::JoinSet::new();
        let entries: Vec<(u8, net::SocketAddrV4)> = (10..10 + self.size.entries)
            .map(|number| (number, self.fleet.callers(number)))
            .collect();
        for number in 0..CALLERS {
            let (entries, record) = (entries.clone(), self.record.clone());
            let caller = callers::Caller { number, entries, record };
            tasks.spawn(caller.run(seed, stopped.clone()));
        }
        let stopped = stopped.clone();
        tasks.spawn(async move { self.desk.read_back(stopped).await });
        tasks
    }

    /// Looks at the promises, and whether the machine is late.
    async fn watch(self: sync::Arc<Self>, stopped: watch::Receiver<bool>) {
        let (mut looked, mut ticked) = (time::Instant::now(), time::Instant::now());
        while !*stopped.borrow() {
            tokio::time::sleep(TICK).await;
            if ticked.elapsed() > TICK + LATE {
                let from_ms = self.record.ms(ticked);
                self.record.change(|history| history.disturb(Who::Machine, from_ms));
                self.record.calm(Who::Machine);
            }
            ticked = time::Instant::now();
            if looked.elapsed() > LOOK {
                looked = ticked;
                self.take(false);
                let memory = self.fleet.entry_memory();
                let found = self.record.change(|history| {
                    history.memory.extend(memory);
                    checks::check(history)
                });
                self.say(&found);
                ticked = time::Instant::now();
            }
        }
    }

    /// Prints broken promises as they are found, the first of each kind.
    fn say(&self, found: &[checks::Violation]) {
        let mut said = self.started.lock().expect("no panic under lock");
        for violation in found {
            if !said.contains(&violation.promise.to_owned()) {
                said.push(violation.promise.to_owned());
                let now_ms = self.record.now_ms();
                println!("broken at {now_ms} ms: {}: {}", violation.promise, violation.seen);
            }
        }
    }

    fn take(&self, all: bool) {
        let taken_ms = if all { u64::MAX } else { self.record.now_ms() - SETTLED_MS };
        self.record.change(|history| history.taken_ms = taken_ms);
        self.engines().iter().for_each(|engine| engine.take(&self.record, all));
    }

    async fn wait_until(&self, at_ms: u64) {
        let left_ms = at_ms.saturating_sub(self.record.now_ms());
        tokio::time::sleep(time::Duration::from_millis(left_ms)).await;
    }

    async fn step(
        self: sync::Arc<Self>,
        step: schedule::Step,
        orders: mpsc::UnboundedSender<operator::Order>,
    ) {
        let at = format!("{} ms {step:?}", self.record.now_ms());
        let done = match step {
            schedule::Step::Document => self.order(&orders, operator::Order::Document),
            schedule::Step::BadDocument => self.order(&orders, operator::Order::BadDocument),
            schedule::Step::Name => self.order(&orders, operator::Order::Name),
            schedule::Step::Signal(who, signal) => self.signal(who, signal),
            schedule::Step::Start(who) => self.bring_up(who).await,
            schedule::Step::Erase(voter) => self.fleet.erase(voter),
            schedule::Step::Tear(voter) => self.fleet.tear(voter),
            schedule::Step::Way(who, condition) => self.way(who, condition),
            schedule::Step::Reset(who) => self.reset(who),
            schedule::Step::Behave(number, behaviour) => self.behave(number, &behaviour),
            schedule::Step::Ask(number, asks) => {
                self.each_engine(number, |it| it.engine.ask(asks));
                Ok(())
            }
            schedule::Step::FallSilent(number, seed) => {
                self.each_engine(number, |it| it.fall_silent(seed));
                Ok(())
            }
            schedule::Step::Fatal(request, kind, attempt, entry) => {
                self.send_fatal(request, kind, attempt, entry).await;
                Ok(())
            }
            schedule::Step::Drain(number) => self.drain(number),
            schedule::Step::Replace(number) => self.replace(number).await,
            schedule::Step::Heal => self.heal().await,
        };
        if let Err(error) = done {
            println!("soak: a step failed: {at}: {error}");
        }
    }

    fn order(
        &self,
        orders: &mpsc::UnboundedSender<operator::Order>,
        order: operator::Order,
    ) -> io::Result<()> {
        orders.send(order).map_err(io::Error::other)
    }

    fn signal(&self, who: Who, signal: schedule::Signal) -> io::Result<()> {
        let now_ms = self.record.now_ms();
        let plan = |for_ms: u64| {
            if let Who::Entry(entry) = who {
                let planned = Planned { entry, from_ms: now_ms, to_ms: now_ms + for_ms };
                self.record.change(|history| history.planned.push(planned));
            }
        };
        let signal = match signal {
            schedule::Signal::HangUp => {
                let turn = self.turns.fetch_add(1, sync::atomic::Ordering::Relaxed);
                self.fleet.write_settings(who, false, turn)?;
                plan(HANG_UP_MS);
                signals::Signal::HUP
            }
            schedule::Signal::Terminate => {
                plan(TERMINATE_MS);
                self.record.change(|history| history.stop(who, now_ms));
                signals::Signal::TERM
            }
            schedule::Signal::Stop => {
                self.record.disturb(who);
                signals::Signal::STOP
            }
            schedule::Signal::Kill => {
                self.record.disturb(who);
                signals::Signal::KILL
            }
            schedule::Signal::Continue => signals::Signal::CONT,
        };
        let stays = self.fleet.signal(who, signal)?;
        if stays && signal == signals::Signal::CONT {
            self.record.calm(who);
        }
        Ok(())
    }

    async fn bring_up(&self, who: Who) -> io::Result<()> {
        let turn = self.turns.fetch_add(1, sync::atomic::Ordering::Relaxed);
        self.fleet.write_settings(who, false, turn)?;
        // A frozen process gets its SIGTERM only once it goes on.
        self.fleet.signal(who, signals::Signal::CONT)?;
        self.fleet.start(who).await?;
        self.record.calm(who);
        Ok(())
    }

    fn proxy(&self, who: Who) -> io::Result<&proxy::Proxy> {
        self.ways.get(&who).ok_or_else(|| io::Error::other(format!("there is no way to {who:?}")))
    }

    fn way(&self, who: Who, condition: proxy::Condition) -> io::Result<()> {
        let proxy = self.proxy(who)?;
        if condition == proxy::Condition::default() {
            proxy.set(condition);
            self.record.calm(who);
        } else {
            self.record.disturb(who);
            proxy.set(condition);
            // A listener that is gone takes its connections with it.
            if condition.refuses {
                proxy.reset();
            }
        }
        Ok(())
    }

    fn reset(&self, who: Who) -> io::Result<()> {
        // A moment, which leaves what else disturbs the way open.
        let now_ms = self.record.now_ms();
        self.record.change(|history| {
            history.disturb(who, now_ms);
            if let Some(last) = history.disturbances.last_mut() {
                last.to_ms = Some(now_ms);
            }
        });
        self.proxy(who)?.reset();
        Ok(())
    }

    fn behave(&self, number: u8, behaviour: &engine::Behaviour) -> io::Result<()> {
        let who = Who::Engine(number);
        if *behaviour != engine::Behaviour::Good {
            self.record.disturb(who);
        }
        self.each_engine(number, |it| it.engine.behave(behaviour.clone()));
        if *behaviour == engine::Behaviour::Good {
            self.record.calm(who);
        }
        Ok(())
    }

    async fn send_fatal(&self, request: u8, kind: Kind, attempt: u8, entry: u8) {
        let entries = vec![(entry, self.fleet.callers(entry))];
        let caller = callers::Caller { number: CALLERS, entries, record: self.record.clone() };
        let path = checks::fatal::path(kind, request);
        caller.send_once(&format!("fatal{request}-{attempt}"), kind, path).await;
    }

    fn drain(&self, number: u8) -> io::Result<()> {
        self.each_engine(number, engines::Engine::drain);
        Ok(())
    }

    /// Tells each engine that was started at an address.
    fn each_engine(&self, number: u8, tell: impl Fn(&engines::Engine)) {
        let engines = self.engines();
        engines.iter().filter(|it| it.number == number).for_each(|it| tell(it));
    }

    /// One engine crashes, and one of another service starts at its address. Callers' requests for
    /// the first must not run at the second.
    async fn replace(&self, number: u8) -> io::Result<()> {
        let who = Who::Engine(number);
        self.record.disturb(who);
        let lives = {
            let engines = self.engines();
            let here = engines.iter().filter(|it| it.number == number);
            here.inspect(|it| it.crash()).count() as u16
        };
        let service = if lives % 2 == 1 { "archive" } else { "ledger-b" };
        self.engine(number, lives, service).await;
        let to = net::SocketAddrV4::new(self.fleet.world.address(number), 8_100 + lives);
        self.proxy(who)?.redirect(to);
        self.record.calm(who);
        Ok(())
    }

    async fn heal(&self) -> io::Result<()> {
        self.origin.lose(false);
        self.ways.values().for_each(|way| way.set(proxy::Condition::default()));
        for engine in self.engines().iter() {
            engine.engine.behave(engine::Behaviour::Good);
            engine.fall_silent(None);
        }
        self.ways.keys().for_each(|who| self.record.calm(*who));
        for who in self.size.processes() {
            self.bring_up(who).await?;
        }
        Ok(())
    }

    async fn verdict(&self, schedule: String) -> io::Result<verdict::Verdict> {
        let read = self.desk.read_last().await;
        tokio::time::sleep(LATE).await;
        self.take(true);
        let found = self.record.change(|history| checks::check(history));
        self.say(&found);
        let mut violations: collections::BTreeSet<_> = found.into_iter().collect();
        if !read {
            let seen = "no voter answers at the end".to_owned();
            violations.insert(checks::Violation { promise: "documents are read back", seen });
        }
        for who in self.fleet.ended() {
            let seen = format!("{who:?} ended by itself");
            violations.insert(checks::Violation { promise: "processes run on", seen });
        }
        let silences = self.engines().iter().map(|it| it.engine.silences()).sum();
        let verdict = |history: &mut _| verdict::Verdict::new(violations, schedule, history);
        Ok(verdict::Verdict { silences, ..self.record.change(verdict) })
    }
}
