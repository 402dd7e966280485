//! The planned stop of a voter, and replicas that were removed from the group.

use ragwortdeal_core::replication::{Input, departure, entry};

use super::Driver;
use crate::voter::letter::Letter;

/// For how long the word of a leader counts that this replica is no member. Announcements, which the
/// leader answers so, come several times within it.
const REMOVED_MS: u64 = 1_000;

/// A planned stop in progress.
pub(super) struct Stopping {
    since_ms: u64,
    limit_ms: u64,
}

impl Driver {
    /// Begins a planned stop that has to end within a time. The voter hands leadership over and asks
    /// to be replaced.
    pub(in crate::voter) fn begin_stop(&mut self, limit_ms: u64) {
        let now_ms = self.clock.now_ms();
        self.stopping = Some(Stopping { since_ms: now_ms, limit_ms });
        self.peers.leave();
        self.housekeep(now_ms);
    }

    /// Whether the planned stop is complete.
    pub(in crate::voter) fn may_end(&self) -> bool {
        let Some(stopping) = &self.stopping else {
            return false;
        };
        let now_ms = self.clock.now_ms();
        let status = self.replica.status();
        departure::may_end(&departure::DepartureView {
            own: self.replica.id(),
            is_membership_committed: self.replica.is_membership_committed(),
            is_told_removed: self.is_removed(now_ms),
            is_leader: status.is_leader,
            has_standby: self.peers.replaces()
                && self.peers.has_standby(&status.membership, now_ms),
            membership: &status.membership,
            target_voters: self.peers.target_voters(),
            elapsed_ms: now_ms.saturating_sub(stopping.since_ms),
            limit_ms: stopping.limit_ms,
        })
    }

    /// Whether a leader said lately that this replica is no member, and has sent it nothing of the
    /// log since.
    pub(super) fn is_removed(&self, now_ms: u64) -> bool {
        self.removed_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= REMOVED_MS)
    }

    pub(super) fn hand_over(&mut self, now_ms: u64) {
        let except = self.peers.leaving(now_ms);
        self.step(Input::TransferLeadership { token: 0, except });
    }

    /// Tells a replica that announced itself and is no member that it is none.
    pub(super) fn tell_if_removed(&mut self, id: &entry::ReplicaId) {
        let status = self.replica.status();
        let is_member = status.membership.members().any(|member| member == id);
        if status.is_leader && !is_member && self.replica.is_membership_committed() {
            let (from, to) = (self.replica.id().clone(), id.clone());
            self.peers.send(&id.instance, &Letter::Removed { from, to });
        }
    }
}
