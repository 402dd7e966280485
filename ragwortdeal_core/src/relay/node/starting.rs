//! What keeps a zone from reverting to an earlier revision: acknowledgements by witnesses before a
//! revision is applied, and requests to the witnesses when a process starts.

use crate::{
    membership::Stamp,
    name,
    relay::{
        Message, Revision, State, floor,
        node::{Outgoing, Relay, answer},
        pending,
    },
};

impl<S: State> Relay<S> {
    pub(super) fn start_acknowledgement(&mut self, target: Revision) -> Vec<Outgoing> {
        self.highest_noted = self.highest_noted.max(target);
        let own = self.own.clone();
        self.pending.acknowledge(&own, target);
        let mut sends = self.release();
        sends.extend(self.request_acknowledgements());
        sends
    }

    pub(super) fn request_acknowledgements(&self) -> Vec<Outgoing> {
        let Some(target) = self.pending.target() else { return Vec::new() };
        let others = self.view.witnesses.iter().filter(|witness| **witness != self.own);
        others.map(|witness| answer(witness, Message::Note(target))).collect()
    }

    pub(super) fn release(&mut self) -> Vec<Outgoing> {
        let released = self.pending.release(&self.view);
        for update in released {
            match update {
                pending::PendingUpdate::Delta(delta) => self.apply(delta),
                pending::PendingUpdate::Snapshot(position, snapshot) => {
                    self.install(position, &snapshot);
                }
            }
        }
        self.forward()
    }

    pub(super) fn request_floor(&self, now_ms: u64) -> Vec<Outgoing> {
        if self.floor.is_none() {
            return Vec::new();
        }
        let stamp = Stamp { incarnation: self.incarnation, at_ms: now_ms };
        let others = self.view.witnesses.iter().filter(|witness| **witness != self.own);
        others.map(|witness| answer(witness, Message::AskFloor(stamp))).collect()
    }

    pub(super) fn own_floor(&self, echo: Stamp) -> Message {
        let highest = self.highest_noted.max(self.state.position().revision);
        let witnesses = self.view.witnesses_hash();
        Message::Floor { echo, highest, learned: self.may_serve(), witnesses }
    }

    pub(super) fn receive_floor(
        &mut self,
        now_ms: u64,
        from: &name::InstanceName,
        echo: Stamp,
        answer: floor::Answer,
    ) {
        if let (Some(floor), Some(_)) = (&mut self.floor, echo.reading_of(self.incarnation, now_ms))
        {
            floor.record(from, answer);
        }
    }

    pub(super) fn record_current(&mut self, revision: Revision, current_ms: u64) {
        if revision <= self.state.position().revision {
            self.confirm_current(current_ms);
        } else {
            self.pending_current.get_or_insert((revision, current_ms));
        }
    }

    /// Confirms the state as current once the pending revision is applied, and starts to serve when
    /// that is safe.
    pub(super) fn update_freshness(&mut self) {
        let revision = self.state.position().revision;
        if let Some((_, at_ms)) = self.pending_current.take_if(|(target, _)| *target <= revision) {
            self.confirm_current(at_ms);
        }
        let Some(floor) = &self.floor else { return };
        // Whatever the zone had applied before this process started was accepted before then, so a
        // state that was the newest one after the start contains it.
        let newest = self.current_ms.is_some_and(|current_ms| current_ms >= self.started_ms);
        let proven = floor.proven(&self.own, &self.view);
        if newest || proven.is_some_and(|floor| revision >= floor) {
            self.floor = None;
            self.below_floor = false;
        } else if proven.is_some() && !self.below_floor {
            self.below_floor = true;
            self.parent = None;
            self.attempts = 0;
        }
    }
}
