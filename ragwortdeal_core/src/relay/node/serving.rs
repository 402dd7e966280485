//! The parent's side: deltas, snapshots in pieces, and heartbeats for its children.

use crate::{
    membership::Stamp,
    name,
    relay::{
        Delta, Message, Position, Revision, State,
        node::{Outgoing, Relay, answer},
        payload,
    },
};

/// Bytes of a snapshot in one message.
const PIECE_BYTES: usize = 16 * 1024;

/// Bytes of deltas in one message.
const DELTAS_MAX_BYTES: usize = 64 * 1024;

impl<S: State> Relay<S> {
    pub(super) fn receive_subscribe(
        &mut self,
        now_ms: u64,
        from: &name::InstanceName,
        stamp: Stamp,
        position: Position,
    ) -> Vec<Outgoing> {
        // No answer while starting: a refusal would redirect the children of all starting parents
        // to the roots, which serve first, and they would stay there.
        if !self.may_serve() {
            return Vec::new();
        }
        if !self.children.heartbeat(now_ms, from, position.revision) {
            return vec![answer(from, Message::Refused)];
        }
        let own = self.state.position();
        let age_ms = self.age_ms(now_ms);
        let status = Message::Status { echo: stamp, position: own, age_ms };
        let mut sends = vec![answer(from, status)];
        if position.revision < own.revision {
            sends.extend(self.catch_up(from, position.revision));
        }
        sends
    }

    /// What a child needs: deltas if they are still kept, else the first piece of a snapshot.
    fn catch_up(&mut self, child: &name::InstanceName, applied: Revision) -> Option<Outgoing> {
        let Some(mut deltas) = self.history.since(applied) else {
            return Some(answer(child, self.snapshot_piece(None, 0)));
        };
        let mut room = DELTAS_MAX_BYTES;
        let fits = |delta: &Delta| {
            let left = room.checked_sub(delta.payload.len());
            room = left.unwrap_or(0);
            left.is_some()
        };
        let count = deltas.iter().map(fits).take_while(|fits| *fits).count().max(1);
        deltas.truncate(count);
        let last = deltas.last()?.to.revision;
        self.children.record_sent(child, last);
        Some(answer(child, Message::Deltas(deltas)))
    }

    pub(super) fn forward(&mut self) -> Vec<Outgoing> {
        if !self.may_serve() {
            return Vec::new();
        }
        let behind = self.children.behind(self.state.position().revision);
        let covered = behind.into_iter().filter(|(_, sent)| self.history.covers(*sent));
        let covered: Vec<_> = covered.collect();
        covered.into_iter().filter_map(|(child, sent)| self.catch_up(&child, sent)).collect()
    }

    /// A piece of the kept snapshot if that is the wanted one, else the first piece of a new one.
    pub(super) fn snapshot_piece(
        &mut self,
        wanted: Option<Position>,
        offset_bytes: u64,
    ) -> Message {
        let usable = |(position, _): &&(Position, payload::Payload)| match wanted {
            Some(wanted) => *position == wanted,
            None => self.history.covers(position.revision),
        };
        let kept = self.kept_snapshot.as_ref().filter(usable).cloned();
        let offset_bytes = if kept.is_some() { offset_bytes } else { 0 };
        let (position, snapshot) =
            kept.unwrap_or_else(|| (self.state.position(), self.state.snapshot()));
        let start = usize::try_from(offset_bytes).unwrap_or(usize::MAX).min(snapshot.len());
        let end = start.saturating_add(PIECE_BYTES).min(snapshot.len());
        let piece = payload::Payload::new(&snapshot[start..end]);
        let total_bytes = snapshot.len() as u64;
        self.kept_snapshot = Some((position, snapshot));
        Message::Snapshot { position, offset_bytes: start as u64, total_bytes, piece }
    }
}
