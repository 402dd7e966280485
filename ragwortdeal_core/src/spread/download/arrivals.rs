//! What follows from chunks, bad chunks, refusals and timeouts.

use crate::{
    digest, name,
    spread::{event, manifest, owners, requests},
};

use super::{Download, choice};

impl Download {
    pub(super) fn arrived(
        &mut self,
        now_ms: u64,
        source: &event::Source,
        chunk: manifest::VerifiedChunk,
        actions: &mut Vec<event::Action>,
    ) {
        // A chunk of a superseded version has its own proof; counting it here would mix weights.
        if chunk.version() != self.version() {
            return;
        }
        let chunk = chunk.chunk();
        let asked = self.asked(source);
        if let Some(request) = asked.and_then(|asked| self.close(chunk, asked)) {
            self.requests.answered(now_ms, &request);
            self.reward(request.asked);
            if request.probe {
                // The owner has more that it never announced here, likely after a takeover.
                self.probe_at_ms = now_ms;
            }
        }
        if !self.held.insert(chunk) {
            return;
        }
        self.announcer.gained(chunk);
        // A late arrival: the chunk was asked for again elsewhere, which is no longer needed.
        if let Some(other) = self.close_any(chunk) {
            actions.push(event::Action::Cancel { source: self.source(other.asked), chunk });
        }
    }

    pub(super) fn peer_holds(
        &mut self,
        instance: &name::InstanceName,
        version: digest::Digest,
        chunks: &[u32],
    ) {
        if version != self.version() {
            return;
        }
        if let Some(index) = self.peers.find(instance).filter(|&index| index != owners::ME) {
            self.peers.hold(index, chunks);
        }
    }

    pub(super) fn refused(
        &mut self,
        now_ms: u64,
        source: &event::Source,
        chunk: u32,
        failure: event::Failure,
        actions: &mut Vec<event::Action>,
    ) {
        match (failure, self.asked(source)) {
            (event::Failure::Timeout, _) => {
                self.request_failed(now_ms, source, chunk, event::Fault::Timeout, actions);
            }
            (event::Failure::Error, _) | (_, Some(requests::Asked::Origin)) => {
                self.request_failed(now_ms, source, chunk, event::Fault::Error, actions);
            }
            (event::Failure::Busy, Some(asked @ requests::Asked::Peer(index))) => {
                if self.close(chunk, asked).is_some() {
                    let retry_at_ms = now_ms + self.limits.busy_backoff_ms;
                    self.peers.get_mut(index).retry_at_ms = retry_at_ms;
                }
            }
            (event::Failure::NotYet { held, origin_fails }, Some(requests::Asked::Peer(index))) => {
                if origin_fails {
                    self.peers.get_mut(index).excuse();
                }
                self.not_yet(now_ms, index, chunk, held, actions);
            }
            (_, None) => (),
        }
    }

    /// A peer does not hold the chunk: a false announcement, or an owner that still waits itself.
    fn not_yet(
        &mut self,
        now_ms: u64,
        index: owners::PeerIndex,
        chunk: u32,
        held: u32,
        actions: &mut Vec<event::Action>,
    ) {
        let Some(request) = self.close(chunk, requests::Asked::Peer(index)) else {
            return;
        };
        let stalled = self.peers.get_mut(index).stalled(now_ms, held, self.limits.stall_ms);
        if !request.probe {
            self.peers.drop_claim(index, chunk);
            self.blame(now_ms, request.asked, chunk, event::Fault::FalseAnnouncement, actions);
        } else if stalled {
            self.blame(now_ms, request.asked, chunk, event::Fault::Stalled, actions);
        }
    }

    pub(super) fn request_failed(
        &mut self,
        now_ms: u64,
        source: &event::Source,
        chunk: u32,
        fault: event::Fault,
        actions: &mut Vec<event::Action>,
    ) {
        let Some(asked) = self.asked(source) else {
            return;
        };
        if self.close(chunk, asked).is_some() {
            self.blame(now_ms, asked, chunk, fault, actions);
        }
    }

    pub(super) fn timed_out(&mut self, now_ms: u64, chunk: u32, actions: &mut Vec<event::Action>) {
        let Some(request) = self.close_any(chunk) else {
            return;
        };
        self.requests.expired(request.link);
        actions.push(event::Action::Cancel { source: self.source(request.asked), chunk });
        self.blame(now_ms, request.asked, chunk, event::Fault::Timeout, actions);
    }

    fn blame(
        &mut self,
        now_ms: u64,
        asked: requests::Asked,
        chunk: u32,
        fault: event::Fault,
        actions: &mut Vec<event::Action>,
    ) {
        actions.push(event::Action::Blame { source: self.source(asked), chunk, fault });
        match asked {
            requests::Asked::Origin => self.pause_origin(now_ms),
            requests::Asked::Peer(index) => self.punish(now_ms, index, fault, actions),
        }
    }

    /// Lowers a peer's standing. A suspect owns nothing until the suspicion ends, so that the next
    /// in rank brings its chunks in.
    fn punish(
        &mut self,
        now_ms: u64,
        index: owners::PeerIndex,
        fault: event::Fault,
        actions: &mut Vec<event::Action>,
    ) {
        let peer = self.peers.get_mut(index);
        peer.retry_at_ms = now_ms + self.limits.busy_backoff_ms;
        if !peer.punish(fault) || !peer.trusted() {
            return;
        }
        peer.suspect(now_ms, self.limits.banned_ms);
        self.owners.remove(index);
        self.duties = choice::Duties::stale();
        // What else is open there would only wait for its own deadline.
        for chunk in self.requests.at(requests::Asked::Peer(index)) {
            self.close_any(chunk);
            let source = self.source(requests::Asked::Peer(index));
            actions.push(event::Action::Cancel { source, chunk });
        }
    }

    fn pause_origin(&mut self, now_ms: u64) {
        let doublings = self.origin_failures.min(self.limits.origin_doublings_max);
        self.origin_failures += 1;
        self.origin_retry_at_ms = now_ms + (self.limits.busy_backoff_ms << doublings);
    }

    fn reward(&mut self, asked: requests::Asked) {
        match asked {
            requests::Asked::Origin => self.origin_failures = 0,
            requests::Asked::Peer(index) => self.peers.get_mut(index).reward(),
        }
    }

    fn close(&mut self, chunk: u32, asked: requests::Asked) -> Option<requests::Request> {
        let request = self.requests.close(chunk, asked)?;
        self.release(&request);
        Some(request)
    }

    fn close_any(&mut self, chunk: u32) -> Option<requests::Request> {
        let request = self.requests.close_any(chunk)?;
        self.release(&request);
        Some(request)
    }

    fn release(&mut self, request: &requests::Request) {
        if let requests::Asked::Peer(index) = request.asked {
            self.peers.get_mut(index).open -= 1;
        }
    }
}
