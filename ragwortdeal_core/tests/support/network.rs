//! A seeded network for tests: it loses, doubles, delays and reorders, and cuts nodes off.

use std::collections;

use rand::RngExt as _;
use rand_chacha::rand_core::SeedableRng as _;

/// What the network does to messages.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Messages lost, in percent.
    pub loss_percent: u32,
    /// Messages delivered twice, in percent.
    pub double_percent: u32,
    /// Least delay.
    pub delay_min_ms: u64,
    /// Greatest delay; messages overtake each other within this range.
    pub delay_max_ms: u64,
}

impl Faults {
    /// A network at peace.
    pub const NONE: Faults =
        Faults { loss_percent: 0, double_percent: 0, delay_min_ms: 1, delay_max_ms: 3 };
    /// A network that loses, doubles and reorders.
    pub const ROUGH: Faults =
        Faults { loss_percent: 10, double_percent: 5, delay_min_ms: 1, delay_max_ms: 120 };
}

/// A message that arrives.
#[derive(Clone, Debug)]
pub struct Arrival<M> {
    /// Sender.
    pub from: usize,
    /// Receiver.
    pub to: usize,
    /// The message.
    pub message: M,
}

/// Messages under way between numbered nodes.
pub struct Network<M> {
    /// Randomness of the run, for the test's own choices as well.
    pub rng: rand_chacha::ChaCha8Rng,
    /// What happens to messages sent from now on.
    pub faults: Faults,
    /// Side of each node; nodes on different sides cannot reach each other.
    pub sides: collections::BTreeMap<usize, u32>,
    /// Pairs of nodes whose link is silent for good, in both directions.
    pub dead_links: collections::BTreeSet<(usize, usize)>,
    /// Messages under way, by their time of arrival and number.
    pub queue: collections::BTreeMap<(u64, u64), Arrival<M>>,
    sent: u64,
}

impl<M: Clone> Network<M> {
    /// An empty network.
    pub fn new(seed: u64, faults: Faults) -> Self {
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let sides = collections::BTreeMap::new();
        let dead_links = collections::BTreeSet::new();
        Self { rng, faults, sides, dead_links, queue: collections::BTreeMap::new(), sent: 0 }
    }

    fn side(&self, node: usize) -> u32 {
        self.sides.get(&node).copied().unwrap_or(0)
    }

    /// Sends a message.
    pub fn send(&mut self, now_ms: u64, from: usize, to: usize, message: M) {
        let lost = self.rng.random_range(0..100) < self.faults.loss_percent;
        let dead = self.dead_links.contains(&(from, to)) || self.dead_links.contains(&(to, from));
        if lost || dead || self.side(from) != self.side(to) {
            return;
        }
        let copies = if self.rng.random_range(0..100) < self.faults.double_percent { 2 } else { 1 };
        for _ in 0..copies {
            let range = self.faults.delay_min_ms..=self.faults.delay_max_ms;
            let at_ms = now_ms + self.rng.random_range(range);
            self.hold(at_ms, Arrival { from, to, message: message.clone() });
        }
    }

    /// Puts a message back until a later time, as the queue of a stopped process does.
    pub fn hold(&mut self, at_ms: u64, arrival: Arrival<M>) {
        self.sent += 1;
        self.queue.insert((at_ms, self.sent), arrival);
    }

    /// The next message that has arrived by now.
    pub fn next(&mut self, now_ms: u64) -> Option<Arrival<M>> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 <= now_ms).then(|| entry.remove())
    }
}
