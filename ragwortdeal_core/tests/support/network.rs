//! A seeded network for tests that loses, duplicates, delays and reorders messages and partitions
//! nodes.

use std::collections;

use rand::RngExt as _;
use rand_chacha::rand_core::SeedableRng as _;

/// Faults that the network applies to messages.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Messages lost, in percent.
    pub loss_percent: u32,
    /// Messages delivered twice, in percent.
    pub duplicate_percent: u32,
    /// Minimum delay.
    pub delay_min_ms: u64,
    /// Maximum delay; messages overtake each other within this range.
    pub delay_max_ms: u64,
}

impl Faults {
    /// A reliable network.
    pub const NONE: Faults =
        Faults { loss_percent: 0, duplicate_percent: 0, delay_min_ms: 1, delay_max_ms: 3 };
    /// A network that loses, duplicates and reorders messages.
    pub const ROUGH: Faults =
        Faults { loss_percent: 10, duplicate_percent: 5, delay_min_ms: 1, delay_max_ms: 120 };
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

/// Messages in flight between numbered nodes.
pub struct Network<M> {
    /// Random generator of the run, also for the test's own choices.
    pub rng: rand_chacha::ChaCha8Rng,
    /// Faults of messages sent from now on.
    pub faults: Faults,
    /// Side of the network partition on which each node is; different sides cannot communicate.
    pub sides: collections::BTreeMap<usize, u32>,
    /// Pairs of nodes whose link drops all messages in both directions.
    pub dead_links: collections::BTreeSet<(usize, usize)>,
    /// Messages in flight by time of arrival, then in the order of sending.
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
        let copies =
            if self.rng.random_range(0..100) < self.faults.duplicate_percent { 2 } else { 1 };
        for _ in 0..copies {
            let range = self.faults.delay_min_ms..=self.faults.delay_max_ms;
            let at_ms = now_ms + self.rng.random_range(range);
            self.deliver_at(at_ms, Arrival { from, to, message: message.clone() });
        }
    }

    /// Delivers a message at a later time, as the queue of a paused process does.
    pub fn deliver_at(&mut self, at_ms: u64, arrival: Arrival<M>) {
        self.sent += 1;
        self.queue.insert((at_ms, self.sent), arrival);
    }

    /// The next message that has arrived by now.
    pub fn next(&mut self, now_ms: u64) -> Option<Arrival<M>> {
        let entry = self.queue.first_entry()?;
        (entry.key().0 <= now_ms).then(|| entry.remove())
    }
}
