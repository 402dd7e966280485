//! Reads that are current, on their way to the leader and back.

use std::collections;

use ragwortdeal_core::{document::store, name, replication::entry};
use tokio::sync::oneshot;

use super::numbers;

/// How long a read is kept. Its asker has given up by then.
const KEEP_MS: u64 = 3_000;

/// What a reader here gets: what is in force, or nothing where nobody can be sure.
pub(super) type ReadAnswer = oneshot::Sender<Option<store::Store>>;

/// Who asked.
pub(super) enum Reader {
    /// A part of this process.
    Here(ReadAnswer),
    /// A follower.
    Peer {
        /// The follower's instance.
        name: name::InstanceName,
        /// The follower's number for it.
        number: u64,
    },
}

/// A read that was passed on.
struct Passed {
    answer: ReadAnswer,
    leader: entry::ReplicaId,
    given_up_at_ms: u64,
}

/// All reads under way.
#[derive(Default)]
pub(super) struct Reads {
    numbers: numbers::LetterNumbers,
    /// At this leader, by the token given to the replica.
    confirming: collections::BTreeMap<u64, (Reader, u64)>,
    /// Passed on to the leader.
    passed: collections::BTreeMap<u64, Passed>,
    /// Located, until the log is applied that far.
    located: Vec<(u64, ReadAnswer, u64)>,
}

impl Reads {
    /// Notes a read that this leader confirms, and returns its token, which is never 0.
    pub(super) fn begin(&mut self, reader: Reader, now_ms: u64) -> u64 {
        let token = self.numbers.take();
        self.confirming.insert(token, (reader, now_ms + KEEP_MS));
        token
    }

    /// Takes the reader of a token.
    pub(super) fn take(&mut self, token: u64) -> Option<Reader> {
        self.confirming.remove(&token).map(|(reader, _)| reader)
    }

    /// Notes a read that is passed on to the leader, and returns its number.
    pub(super) fn pass_on(
        &mut self,
        answer: ReadAnswer,
        leader: &entry::ReplicaId,
        now_ms: u64,
    ) -> u64 {
        let number = self.numbers.take();
        let given_up_at_ms = now_ms + KEEP_MS;
        self.passed.insert(number, Passed { answer, leader: leader.clone(), given_up_at_ms });
        number
    }

    /// The voter that was asked told how far the log has to be applied. Dropping the answer tells
    /// that it did not.
    pub(super) fn located(
        &mut self,
        number: u64,
        from: &entry::ReplicaId,
        index: Option<u64>,
        now_ms: u64,
    ) {
        if self.passed.get(&number).is_none_or(|passed| passed.leader != *from) {
            return;
        }
        if let (Some(passed), Some(index)) = (self.passed.remove(&number), index) {
            self.located.push((index, passed.answer, now_ms + KEEP_MS));
        }
    }

    /// Takes the reads that are answered by what is applied.
    pub(super) fn applied(&mut self, applied: u64) -> Vec<ReadAnswer> {
        let (ready, waiting) = std::mem::take(&mut self.located)
            .into_iter()
            .partition::<Vec<_>, _>(|(index, ..)| *index <= applied);
        self.located = waiting;
        ready.into_iter().map(|(_, answer, _)| answer).collect()
    }

    /// Drops reads whose askers have given up.
    pub(super) fn forget_late(&mut self, now_ms: u64) {
        self.confirming.retain(|_, (_, until_ms)| now_ms < *until_ms);
        self.passed.retain(|_, passed| now_ms < passed.given_up_at_ms);
        self.located.retain(|(_, _, until_ms)| now_ms < *until_ms);
    }
}
