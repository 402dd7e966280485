//! Tells entries which availability zones are evacuated.

use ragwortdeal_core::document::evacuation;
use ragwortdeal_wire::link as wire;

use super::State;
use crate::{fleet::notice, link};

impl State {
    /// Tells entries of the zones whose state is newer than the one last applied.
    pub(super) fn tell_evacuations_since(&self, previous: &evacuation::Evacuations, now_ms: u64) {
        let news: Vec<_> = self.documents.evacuations.newer_than(previous).cloned().collect();
        if news.is_empty() {
            return;
        }
        news.iter().for_each(|told| notice::log_evacuation("voter", "the log", told, now_ms));
        self.tell_role("entry", &notice::encode(&notice::Notice::Evacuations(news)));
    }

    /// The message on all zones for an entry that subscribes. An entry that was cut off may hold
    /// an evacuation that has ended, so ended ones are contained.
    pub(super) fn evacuations_for(&self, session: link::SessionId) -> Option<wire::Message> {
        let follower = self.followers.get(&session)?;
        let told: Vec<_> = self.documents.evacuations.all().cloned().collect();
        let concerns = follower.session.hello.role == "entry" && !told.is_empty();
        concerns.then(|| notice::encode(&notice::Notice::Evacuations(told)))
    }
}
