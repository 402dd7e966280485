//! Handling of received chunks, invalid chunks, refusals and timeouts.

use crate::{
    digest, name,
    spread::{event, manifest, owners, requests},
};

use super::{Download, selection};

impl Download {
    pub(super) fn chunk_received(
        &mut self,
        now_ms: u64,
        source: &event::Source,
        chunk: manifest::VerifiedChunk,
        actions: &mut Vec<event::Action>,
    ) {
        // A chunk of a superseded version is verified as well; counting it here would mix weights.
        if chunk.version() != self.version() {
            return;
        }
        let chunk = chunk.chunk();
        let sender = self.sender(source);
        if let Some(request) = sender.and_then(|sender| self.close(chunk, sender)) {
            self.requests.record_response(now_ms, &request);
            self.record_success(request.sender, now_ms);
            if request.probe {
                // The owner holds more that it never announced here, likely after a takeover.
                self.next_probe_ms = now_ms;
            }
        }
        if !self.held.insert(chunk) {
            return;
        }
        self.announcer.chunk_verified(chunk, *source == event::Source::Origin);
        // The chunk arrived late, and was requested again elsewhere.
        if let Some(other) = self.close_any(chunk) {
            actions.push(event::Action::Cancel { source: self.source(other.sender), chunk });
        }
    }

    pub(super) fn record_holdings(
        &mut self,
        now_ms: u64,
        instance: &name::InstanceName,
        version: digest::Digest,
        chunks: &[u32],
    ) {
        if version != self.version() {
            return;
        }
        if let Some(index) = self.peers.find(instance).filter(|&index| index != owners::SELF) {
            let unheard = |chunk: &u32| {
                let availability = self.peers.availability.get(*chunk as usize);
                availability == Some(&0) && !self.held.contains(*chunk)
            };
            let has_news = chunks.iter().any(unheard);
            self.peers.add_chunks(index, chunks);
            if has_news && self.origin_allowed {
                self.clock.resume(self.frontier_ms(), now_ms);
            }
        }
    }

    pub(super) fn request_refused(
        &mut self,
        now_ms: u64,
        source: &event::Source,
        chunk: u32,
        failure: event::Failure,
        actions: &mut Vec<event::Action>,
    ) {
        match (failure, self.sender(source)) {
            (event::Failure::Timeout, _) => {
                self.request_failed(now_ms, source, chunk, event::Fault::Timeout, actions);
            }
            (event::Failure::Error, _) | (_, Some(requests::Sender::Origin)) => {
                self.request_failed(now_ms, source, chunk, event::Fault::Error, actions);
            }
            (event::Failure::Busy, Some(sender @ requests::Sender::Peer(index))) => {
                if self.close(chunk, sender).is_some() {
                    let retry_at_ms = now_ms + self.limits.busy_backoff_ms;
                    self.peers.get_mut(index).retry_at_ms = retry_at_ms;
                }
            }
            (
                event::Failure::NotYet { held, origin_fails },
                Some(requests::Sender::Peer(index)),
            ) => {
                if origin_fails {
                    self.peers.get_mut(index).reset_stall_timer();
                }
                self.handle_not_yet(now_ms, index, chunk, held, actions);
            }
            (_, None) => (),
        }
    }

    /// Handles a peer without the chunk: a false announcement, or an owner that still waits itself.
    fn handle_not_yet(
        &mut self,
        now_ms: u64,
        index: owners::PeerIndex,
        chunk: u32,
        held: u32,
        actions: &mut Vec<event::Action>,
    ) {
        let Some(request) = self.close(chunk, requests::Sender::Peer(index)) else {
            return;
        };
        let stalled = self.peers.get_mut(index).check_stall(now_ms, held, self.limits.stall_ms);
        if !request.probe {
            self.peers.remove_chunk(index, chunk);
            self.report_fault(
                now_ms,
                request.sender,
                chunk,
                event::Fault::FalseAnnouncement,
                actions,
            );
        } else if stalled {
            self.report_fault(now_ms, request.sender, chunk, event::Fault::Stalled, actions);
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
        let Some(sender) = self.sender(source) else {
            return;
        };
        if self.close(chunk, sender).is_some() {
            self.report_fault(now_ms, sender, chunk, fault, actions);
        }
    }

    pub(super) fn request_timed_out(
        &mut self,
        now_ms: u64,
        chunk: u32,
        actions: &mut Vec<event::Action>,
    ) {
        let Some(request) = self.close_any(chunk) else {
            return;
        };
        self.requests.record_timeout(request.link);
        actions.push(event::Action::Cancel { source: self.source(request.sender), chunk });
        self.report_fault(now_ms, request.sender, chunk, event::Fault::Timeout, actions);
    }

    fn report_fault(
        &mut self,
        now_ms: u64,
        sender: requests::Sender,
        chunk: u32,
        fault: event::Fault,
        actions: &mut Vec<event::Action>,
    ) {
        actions.push(event::Action::ReportFault { source: self.source(sender), chunk, fault });
        match sender {
            requests::Sender::Origin => {
                self.back_off_origin(now_ms);
                if !matches!(fault, event::Fault::BadChunk(_)) {
                    self.clock.hold(self.frontier_ms(), now_ms);
                }
            }
            requests::Sender::Peer(index) => self.penalise(now_ms, index, fault, actions),
        }
    }

    /// Lowers a peer's reputation. A suspected peer owns no chunks until the suspicion ends, so the
    /// next in rank fetches them.
    fn penalise(
        &mut self,
        now_ms: u64,
        index: owners::PeerIndex,
        fault: event::Fault,
        actions: &mut Vec<event::Action>,
    ) {
        let peer = self.peers.get_mut(index);
        peer.retry_at_ms = now_ms + self.limits.busy_backoff_ms;
        if !peer.record_fault(fault) || !peer.is_trusted() {
            return;
        }
        peer.suspect(now_ms, self.limits.ban_ms);
        self.owners.remove(index);
        self.assignments = selection::Assignments::stale();
        // Other open requests to it would only run into their deadlines.
        for chunk in self.requests.open_at(requests::Sender::Peer(index)) {
            self.close_any(chunk);
            let source = self.source(requests::Sender::Peer(index));
            actions.push(event::Action::Cancel { source, chunk });
        }
    }

    fn back_off_origin(&mut self, now_ms: u64) {
        let doublings = self.origin_failures.min(self.limits.origin_backoff_doublings_max);
        self.origin_failures += 1;
        self.origin_retry_at_ms = now_ms + (self.limits.busy_backoff_ms << doublings);
    }

    fn record_success(&mut self, sender: requests::Sender, now_ms: u64) {
        match sender {
            requests::Sender::Origin => {
                self.origin_failures = 0;
                self.clock.resume(self.frontier_ms(), now_ms);
            }
            requests::Sender::Peer(index) => self.peers.get_mut(index).record_success(),
        }
    }

    fn close(&mut self, chunk: u32, sender: requests::Sender) -> Option<requests::Request> {
        let request = self.requests.close(chunk, sender)?;
        self.release(&request);
        Some(request)
    }

    pub(super) fn close_any(&mut self, chunk: u32) -> Option<requests::Request> {
        let request = self.requests.close_any(chunk)?;
        self.release(&request);
        Some(request)
    }

    fn release(&mut self, request: &requests::Request) {
        if let requests::Sender::Peer(index) = request.sender {
            self.peers.get_mut(index).open -= 1;
        }
    }
}
