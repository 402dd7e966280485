//! Reads that are current: confirmed by the leader, located for followers, answered when applied.

use ragwortdeal_core::replication::Input;

use super::Driver;
use crate::voter::{letter::Letter, reads};

impl Driver {
    /// Begins a read that is current. The leader confirms it by a quorum; a follower asks it.
    pub(super) fn read(&mut self, reader: reads::Reader) {
        let now_ms = self.clock.now_ms();
        if self.replica.is_leader() {
            let token = self.reads.begin(reader, now_ms);
            return self.step(Input::Read { token });
        }
        let leader = self.replica.status().leader;
        let leader = leader.filter(|leader| self.peers.reaches(&leader.instance));
        match (reader, leader) {
            (reads::Reader::Here(answer), Some(leader)) => {
                let number = self.reads.pass_on(answer, &leader, now_ms);
                let from = self.replica.id().clone();
                self.peers.send(&leader.instance, &Letter::Read { from, number });
            }
            (reader, _) => self.tell_reader(reader, None),
        }
    }

    pub(super) fn read_ready(&mut self, token: u64, index: u64) {
        if let Some(reader) = self.reads.take(token) {
            self.tell_reader(reader, Some(index));
        }
    }

    pub(super) fn read_rejected(&mut self, token: u64) {
        if let Some(reader) = self.reads.take(token) {
            self.tell_reader(reader, None);
        }
    }

    /// Tells a reader how far the log has to be applied, or that nobody knows.
    pub(super) fn tell_reader(&mut self, reader: reads::Reader, index: Option<u64>) {
        match reader {
            reads::Reader::Here(answer) => {
                let documents = index.map(|_| self.machine.documents().clone());
                // The reader may have gone; it asks again.
                let _ = answer.send(documents);
            }
            reads::Reader::Peer { name, number } => {
                let from = self.replica.id().clone();
                self.peers.send(&name, &Letter::ReadAt { from, number, index });
            }
        }
    }

    pub(super) fn answer_reads(&mut self) {
        let applied = self.replica.applied();
        for answer in self.reads.applied(applied) {
            let _ = answer.send(Some(self.machine.documents().clone()));
        }
    }
}
