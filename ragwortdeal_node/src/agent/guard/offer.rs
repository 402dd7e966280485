//! Offers answers that nobody recorded to the entries of the availability zone.

use std::{sync, time};

use ragwortdeal_core::claims::state;
use ragwortdeal_wire::link as wire;

use super::{Agent, Attempts};
use crate::{attempt, link};

/// How often answers are looked for that nobody has recorded.
const PERIOD: time::Duration = time::Duration::from_millis(500);

/// How long the entry that waited for an answer has to record it itself.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

/// Longest time an entry may take to have an answer recorded.
const RECORD_MS: u64 = 5_000;

/// Most answers offered in one round, so that many of them do not crowd out the announcements.
const OFFERS_MAX: usize = 16;

/// Offers late answers on one link for as long as the process runs.
///
/// The entry that sent an attempt may be gone when the answer comes, or cut off from the voters. If
/// nobody else recorded it, the caller's resend would be told "unknown" although the answer is here.
pub(in crate::agent) async fn offer(agent: sync::Arc<Agent>, link: link::Link) {
    let mut ticks = tokio::time::interval(PERIOD);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if !link.is_up() {
            continue;
        }
        for late in agent.attempts.late_answers() {
            record(&agent.attempts, &link, late).await;
        }
    }
}

async fn record(attempts: &Attempts, link: &link::Link, late: attempt::LateAnswer) {
    let payload = attempt::encode(&late).into();
    let message = wire::Message::AttemptState(wire::AttemptState { payload });
    match link.request("offer answer", message, RECORD_MS).await {
        Ok(wire::Message::Proposed(proposed)) => {
            let outcome = attempt::decode::<state::Outcome>(&proposed.payload);
            if outcome.is_some_and(|outcome| is_settled(&outcome)) {
                log::info!("guard: a late answer to attempt {} is recorded", late.attempt);
                attempts.acknowledge(&late.attempt);
            }
        }
        Ok(_) => (),
        Err(error) => log::debug!("guard: {error}"),
    }
}

/// Whether the voters will not come to another end by hearing the answer again.
fn is_settled(outcome: &state::Outcome) -> bool {
    matches!(
        outcome,
        state::Outcome::Done
            | state::Outcome::NotClaimed
            | state::Outcome::Superseded(_)
            | state::Outcome::Conflict(_)
    )
}

impl Attempts {
    fn late_answers(&self) -> Vec<attempt::LateAnswer> {
        let guard = self.guard.lock().expect("no panic under lock");
        let finished = self.finished.lock().expect("no panic under lock");
        let late = guard.unrecorded().filter_map(|(id, answer)| {
            let (operation, at) = finished.get(id)?;
            let late = attempt::LateAnswer {
                operation: *operation,
                attempt: id.clone(),
                answer: answer.clone(),
            };
            (at.elapsed() >= PATIENCE).then_some(late)
        });
        late.take(OFFERS_MAX).collect()
    }
}
