//! The upstreams as this entry sees them: what they said, what is open there, how they fared.

use std::{collections, net, sync, time};

use ragwortdeal_core::{
    directory,
    dispatch::{choice, elsewhere, forecast, share},
    document::naming,
};

use super::{Entry, pool};
use crate::fleet::{dialect, notice};

/// How long an upstream is passed over after a first failure; it doubles with each further one.
/// Longer than a lost packet, shorter than callers wait.
const SUSPEND_MS: u64 = 300;

/// Longest time for which a failing upstream is passed over.
const SUSPEND_MAX_MS: u64 = 3_000;

/// Part of an upstream's failing that is left after one good answer.
const FAILING_KEPT: f64 = 0.8;

/// Milliseconds that a prompt of another entry is taken to need where nothing else is known of it:
/// some thousand tokens at thirty a millisecond.
const UNREAD_USUAL_MS: f64 = 35.0;

/// Load of an upstream that refuses work, as a multiple of its slots: more than it is offered at.
const SHED_SLOTS: f64 = 2.0;

/// Taken off the time in which engines must serve named weights: requests that were sent before
/// still wait for their first token. A link may have turned narrow without anybody knowing.
const WEIGHTS_MARGIN_MS: u64 = 2_500;

/// The same for an engine that answered promptly just now.
const WEIGHTS_MARGIN_PROMPT_MS: u64 = 1_700;

/// The same for an engine whose agent holds the newer weights already: their chunks came over the
/// same link in time, and its change is due in its turn.
const WEIGHTS_MARGIN_WHOLE_MS: u64 = 1_200;

/// The same for upstreams that answered slowly of late. Behind a narrow link requests were seen to
/// arrive two seconds after they were sent, where no reset takes them back.
const WEIGHTS_MARGIN_SLOW_MS: u64 = 4_000;

/// A head that takes longer shows a slow way to an upstream; with the engine at work it takes a
/// third of that.
const SLOW_HEAD_MS: u64 = 800;

/// A head that takes no longer shows a free way to an upstream.
const PROMPT_HEAD_MS: u64 = 500;

/// For how long it shows that.
const PROMPT_MS: u64 = 1_200;

/// How long an upstream counts as slow after it. Each further slow head begins it anew.
const SLOW_MS: u64 = 4_000;

/// Part of the requests that an upstream which is slow is taken to fail.
const SLOW_FAILING: f64 = 0.4;

/// A request that has no first event so long before that time is up is taken back from an engine on
/// older weights: on a slow link it may still be on its way, and would begin too late.
const BEGIN_MARGIN_MS: u64 = 500;

/// How this entry fared with an upstream.
#[derive(Clone, Debug, Default)]
struct Way {
    open: u32,
    /// Requests of others.
    elsewhere: elsewhere::Word,
    /// Requests of this entry that have no first event yet.
    unread: u32,
    failing: f64,
    failures: u32,
    suspended_until_ms: u64,
    slow_until_ms: u64,
    /// Milliseconds of prompts that it has to read before their first event.
    reading_ms: f64,
    excess: forecast::Excess,
    /// When a first event came in good time last.
    prompt_at_ms: Option<u64>,
}

impl Way {
    /// Notes what an upstream said of its load, less what this entry has there itself.
    fn heard_load(&mut self, running: u32, waiting: u32, at_ms: u64) {
        let all =
            elsewhere::Requests { open: f64::from(running + waiting), unread: f64::from(waiting) };
        self.elsewhere.heard(all, self.own(), at_ms);
    }

    fn own(&self) -> elsewhere::Requests {
        elsewhere::Requests { open: f64::from(self.open), unread: f64::from(self.unread) }
    }

    fn failing_at(&self, now_ms: u64) -> f64 {
        let slow = if now_ms < self.slow_until_ms { SLOW_FAILING } else { 0.0 };
        self.failing.max(slow)
    }
}

/// An upstream that was chosen for a request. It counts as busy until this is dropped.
pub(super) struct Chosen {
    pub(super) peer: pool::Peer,
    /// Version of weights that it serves.
    pub(super) version: Option<u64>,
    /// Milliseconds of the prompt, as long as it counts as unread there.
    reading_ms: Option<f64>,
    /// Milliseconds to the first event as they were forecast, where it is an engine.
    pub(super) forecast_ms: Option<f64>,
    /// Time at which the request must have begun there, as the weights are superseded.
    begin_by_ms: Option<i64>,
    entry: sync::Arc<Entry>,
}

impl Chosen {
    /// Time that is left for the request to begin there, where there is a bound.
    pub(super) fn left_to_begin(&self) -> Option<time::Duration> {
        let by_ms = self.begin_by_ms?;
        let left_ms = by_ms - self.entry.clock.now_ms() as i64;
        Some(time::Duration::from_millis(left_ms.max(0).unsigned_abs()))
    }

    /// The first event came: the prompt is read.
    pub(super) fn began(&mut self) {
        self.begin_by_ms = None;
        if let Some(reading_ms) = self.reading_ms.take() {
            self.entry.fleet().read(&self.peer.instance, reading_ms);
        }
    }
}

impl Drop for Chosen {
    fn drop(&mut self) {
        let mut fleet = self.entry.fleet();
        fleet.closed(&self.peer.instance);
        if let Some(reading_ms) = self.reading_ms {
            fleet.read(&self.peer.instance, reading_ms);
        }
    }
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum NoWay {
    /// There is none that takes work.
    None,
    /// All that take work are full.
    Full,
}

/// All upstreams.
pub(super) struct Fleet {
    zone: directory::Text,
    /// Availability zones of the deployment.
    zones: usize,
    weights_ms: u64,
    directory: directory::Directory,
    ways: collections::HashMap<directory::Text, Way>,
    serves: collections::HashMap<net::SocketAddrV4, notice::Serves>,
    named: naming::Namings,
    entries: collections::HashMap<net::Ipv4Addr, u32>,
    spending: collections::HashMap<directory::Text, share::Spending>,
}

impl Fleet {
    pub(super) fn new(zone: directory::Text, zones: usize, weights_ms: u64) -> Self {
        Self {
            zone,
            zones,
            weights_ms,
            directory: directory::Directory::default(),
            ways: collections::HashMap::new(),
            serves: collections::HashMap::new(),
            named: naming::Namings::default(),
            entries: collections::HashMap::new(),
            spending: collections::HashMap::new(),
        }
    }

    pub(super) fn announced(&mut self, said: directory::Announcement, now_ms: u64) {
        let instance = said.instance.clone();
        let (standing, address, born_ms) = (said.standing, said.address, said.age.born_ms);
        let lives = self.directory.get(&instance).map(|upstream| upstream.said.age.born_ms);
        if self.directory.announced(said, now_ms) == directory::Effect::Changed {
            log::info!("entry: upstream {instance} at {address} is {standing:?}");
        }
        if lives.is_some_and(|held_ms| held_ms < born_ms) {
            // A new life has none of the faults of the one before.
            self.ways.entry(instance).and_modify(|way| {
                *way = Way { open: way.open, ..Way::default() };
            });
        }
    }

    pub(super) fn left(&mut self, instance: &str, age: Option<directory::Age>, now_ms: u64) {
        if self.directory.left(instance, age, now_ms) == directory::Effect::Changed {
            log::info!("entry: upstream {instance} is gone");
        }
    }

    pub(super) fn serves(&mut self, serves: notice::Serves) {
        let newer = |held: &notice::Serves| held.number < serves.number;
        if !self.serves.get(&serves.address).is_none_or(newer) {
            return;
        }
        if serves.accepts {
            // What failed while the engine loaded says nothing of how it works now.
            let here = self.directory.all().filter(|it| it.said.address == serves.address);
            for upstream in here {
                if let Some(way) = self.ways.get_mut(&upstream.said.instance) {
                    (way.failing, way.failures, way.suspended_until_ms) = (0.0, 0, 0);
                }
            }
        }
        self.serves.insert(serves.address, serves);
    }

    pub(super) fn named(&mut self, named: &[naming::Naming], now_ms: u64) {
        for naming in named {
            if self.named.heard(naming, now_ms) {
                log::info!("entry: weights are named, {naming:?}");
            }
        }
    }

    pub(super) fn entries(&mut self, voter: net::Ipv4Addr, count: u32) {
        let held = self.entries.entry(voter).or_default();
        // Never fewer than were seen before: an entry that is cut off goes on drawing.
        *held = count.max(*held);
    }

    /// Whether an upstream may still get requests.
    pub(super) fn knows(&self, peer: &pool::Peer) -> bool {
        let upstream = self.directory.get(&peer.instance);
        upstream.is_some_and(|it| it.said.standing != directory::Standing::Gone)
    }

    /// Version that an engine serves: none where it loads or has nothing. The word of the agent
    /// beside it counts where it speaks of the same life of the engine.
    fn version_of(&self, said: &directory::Announcement) -> Option<u64> {
        let announced = said.held.iter().map(|held| held.version).max();
        let agent = self.serves.get(&said.address);
        match agent.filter(|it| it.born_ms == said.age.born_ms) {
            Some(agent) if !agent.accepts => None,
            Some(agent) => Some(agent.version.max(announced.unwrap_or(0))),
            None => announced,
        }
        .filter(|version| *version > 0)
    }

    /// Highest version of which the agent beside an engine holds all chunks.
    fn whole_at(&self, said: &directory::Announcement) -> u64 {
        let agent = self.serves.get(&said.address);
        agent.filter(|it| it.born_ms == said.age.born_ms).map_or(0, |it| it.whole)
    }

    fn is_narrow(&self, said: &directory::Announcement) -> bool {
        let agent = self.serves.get(&said.address);
        agent.is_some_and(|it| it.born_ms == said.age.born_ms && it.narrow)
    }

    /// Lowest version of a model that a request may be sent to now.
    fn lowest(&self, model: &str, margin_ms: u64, now_ms: u64) -> u64 {
        self.named.lowest_due(model, self.weights_ms.saturating_sub(margin_ms), now_ms)
    }

    /// When a request must have begun on a version, because a newer one was named.
    fn begin_by_ms(&self, models: &[directory::Text], version: u64) -> Option<i64> {
        let superseded = |model: &directory::Text| self.named.superseded_at_ms(model, version);
        let first_ms = models.iter().filter_map(superseded).min()?;
        Some(first_ms + self.weights_ms.saturating_sub(BEGIN_MARGIN_MS) as i64)
    }

    fn candidate(&self, said: &directory::Announcement, now_ms: u64) -> Option<choice::Candidate> {
        let way = self.ways.get(&said.instance);
        if way.is_some_and(|way| way.suspended_until_ms > now_ms) {
            return None;
        }
        let near = said.zone == self.zone;
        let alike = if near { self.entries_alike() } else { 0.0 };
        let elsewhere = way.map(|way| way.elsewhere.estimate(way.own(), alike, now_ms));
        let elsewhere = elsewhere.unwrap_or_default();
        Some(choice::Candidate {
            open: way.map_or(0, |way| way.open),
            elsewhere: elsewhere.open,
            slots: said.slots,
            near,
            failing: way.map_or(0.0, |way| way.failing_at(now_ms)).max(if self.is_narrow(said) {
                SLOW_FAILING
            } else {
                0.0
            }),
            reading_ms: way.map_or(0.0, |way| way.reading_ms),
            unread_elsewhere_ms: elsewhere.unread * UNREAD_USUAL_MS,
            excess_ms: way.map_or(0.0, |way| way.excess.now(now_ms)),
        })
    }

    /// Notes a request as open at an upstream.
    fn opened(&mut self, instance: &directory::Text, reading_ms: f64) {
        let way = self.ways.entry(instance.clone()).or_default();
        way.open += 1;
        way.unread += 1;
        way.reading_ms += reading_ms;
    }

    fn read(&mut self, instance: &str, reading_ms: f64) {
        if let Some(way) = self.ways.get_mut(instance) {
            way.reading_ms = (way.reading_ms - reading_ms).max(0.0);
            way.unread = way.unread.saturating_sub(1);
        }
    }

    fn closed(&mut self, instance: &str) {
        if let Some(way) = self.ways.get_mut(instance) {
            way.open = way.open.saturating_sub(1);
        }
    }

    fn is_slow(&self, instance: &str, now_ms: u64) -> bool {
        self.ways.get(instance).is_some_and(|way| now_ms < way.slow_until_ms)
    }

    fn is_prompt(&self, instance: &str, now_ms: u64) -> bool {
        let prompt_at_ms = self.ways.get(instance).and_then(|way| way.prompt_at_ms);
        prompt_at_ms.is_some_and(|at_ms| now_ms <= at_ms + PROMPT_MS)
    }

    /// Notes that an upstream answered after so long, and what it said of its load.
    pub(super) fn answered(
        &mut self,
        instance: &str,
        load: Option<dialect::Load>,
        took_ms: u64,
        forecast_ms: Option<f64>,
        now_ms: u64,
    ) {
        let Some(way) = self.ways.get_mut(instance) else {
            return;
        };
        if took_ms >= SLOW_HEAD_MS {
            way.slow_until_ms = now_ms + SLOW_MS;
        } else if took_ms <= PROMPT_HEAD_MS {
            way.prompt_at_ms = Some(now_ms);
        }
        if let Some(forecast_ms) = forecast_ms {
            way.excess.answered(forecast_ms, took_ms as f64, now_ms);
        }
        way.failures = 0;
        way.failing *= FAILING_KEPT;
        if let Some(load) = load {
            way.heard_load(load.running, load.waiting, now_ms);
        }
    }

    /// Notes that an upstream failed. It is passed over for a while, for longer each time.
    pub(super) fn failed(&mut self, instance: &directory::Text, now_ms: u64) {
        let way = self.ways.entry(instance.clone()).or_default();
        // All that was open there fails together, which is one failure and not many.
        if now_ms < way.suspended_until_ms {
            return;
        }
        let suspend_ms = SUSPEND_MS << way.failures.min(8);
        way.failures += 1;
        way.failing = 1.0 - (1.0 - way.failing) * FAILING_KEPT;
        way.suspended_until_ms = now_ms + suspend_ms.min(SUSPEND_MAX_MS);
    }

    /// Notes that an upstream is full, by the slots that it announced itself.
    pub(super) fn shed(&mut self, instance: &str, now_ms: u64) {
        let slots = self.directory.get(instance).map_or(0, |upstream| upstream.said.slots);
        if let Some(way) = self.ways.get_mut(instance) {
            let open = f64::from(slots) * SHED_SLOTS;
            let all = elsewhere::Requests { open, unread: 0.0 };
            way.elsewhere.heard(all, elsewhere::Requests::default(), now_ms);
        }
    }

    /// Another upstream answers at the address.
    pub(super) fn displaced(&mut self, instance: &str, now_ms: u64) {
        self.directory.left(instance, None, now_ms);
    }

    /// Entries that run, this one included.
    fn entries_known(&self) -> u32 {
        self.entries.values().copied().max().unwrap_or(1).max(1)
    }

    /// Other entries of this zone, taken as evenly spread over all zones.
    fn entries_alike(&self) -> f64 {
        (f64::from(self.entries_known()) / self.zones.max(1) as f64 - 1.0).max(0.0)
    }

    /// Counts a first request to a service.
    pub(super) fn first(&mut self, service: &directory::Text, budget: &share::Budget, now_ms: u64) {
        self.spending.entry(service.clone()).or_default().first(budget, now_ms);
    }

    /// Asks for one more request to a service.
    pub(super) fn repeat(
        &mut self,
        service: &directory::Text,
        budget: &share::Budget,
        now_ms: u64,
    ) -> bool {
        // One more than are known, for one that has just started.
        let entries = self.entries_known() as usize + 1;
        self.spending.entry(service.clone()).or_default().repeat(budget, entries, now_ms)
    }
}

/// What is looked for.
pub(super) struct Wanted<'w> {
    pub(super) service: &'w str,
    /// Models of the service where it is one of engines.
    pub(super) models: Option<&'w [directory::Text]>,
    /// How its engines work, where it is one of engines.
    pub(super) pace: Option<forecast::Pace>,
    /// What is asked of an engine.
    pub(super) prompt: choice::Prompt,
    /// Upstreams that were tried already.
    pub(super) tried: &'w [directory::Text],
}

impl Entry {
    /// Chooses an upstream for a request and counts the request as open there.
    pub(super) fn choose(self: &sync::Arc<Self>, wanted: &Wanted<'_>) -> Result<Chosen, NoWay> {
        let now_ms = self.clock.now_ms();
        let draw = self.draw();
        let mut fleet = self.fleet();
        let lowest_within = |margin_ms: u64| {
            let models = wanted.models?.iter();
            let lowest = models.map(|model| fleet.lowest(model, margin_ms, now_ms)).max();
            Some(lowest.unwrap_or(0))
        };
        let lowest = lowest_within(WEIGHTS_MARGIN_MS);
        let lowest_if_slow = lowest_within(WEIGHTS_MARGIN_SLOW_MS);
        let lowest_if_whole = lowest_within(WEIGHTS_MARGIN_WHOLE_MS);
        let lowest_if_prompt = lowest_within(WEIGHTS_MARGIN_PROMPT_MS);
        let mut offered = Vec::new();
        let mut candidates = Vec::new();
        for upstream in fleet.directory.all() {
            let said = &upstream.said;
            let takes_work = said.standing == directory::Standing::Ready
                && *said.service == *wanted.service
                && !wanted.tried.contains(&said.instance);
            if !takes_work {
                continue;
            }
            let slow = fleet.is_slow(&said.instance, now_ms) || fleet.is_narrow(said);
            let whole = fleet.whole_at(said);
            let lowest = match lowest {
                _ if slow => lowest_if_slow,
                Some(due) if whole >= due => lowest_if_whole,
                _ if fleet.is_prompt(&said.instance, now_ms) => lowest_if_prompt,
                _ => lowest,
            };
            let version = match lowest {
                Some(lowest) => match fleet.version_of(said).filter(|held| *held >= lowest) {
                    Some(version) => Some(version),
                    None => continue,
                },
                None => None,
            };
            if let Some(candidate) = fleet.candidate(said, now_ms) {
                candidates.push(candidate);
                offered.push((said.instance.clone(), said.address, version));
            }
        }
        let empty = candidates.is_empty();
        let best = match &wanted.pace {
            Some(pace) => choice::best_engine(&candidates, pace, &wanted.prompt, draw),
            None => choice::best(&candidates, draw),
        };
        let Some(index) = best else {
            return Err(if empty { NoWay::None } else { NoWay::Full });
        };
        let forecast_ms = wanted
            .pace
            .map(|pace| pace.first_event_ms(&candidates[index], wanted.prompt.reading_ms));
        let (instance, address, version) = offered.swap_remove(index);
        fleet.opened(&instance, wanted.prompt.reading_ms);
        let peer = pool::Peer { instance, address };
        let reading_ms = wanted.prompt.reading_ms;
        let begin_by_ms = match (wanted.models, version) {
            (Some(models), Some(version)) => fleet.begin_by_ms(models, version),
            _ => None,
        };
        let reading_ms = Some(reading_ms);
        Ok(Chosen { peer, version, reading_ms, forecast_ms, begin_by_ms, entry: self.clone() })
    }
}
