//! Brings steps of the document store through the log, and reads what a quorum confirms.

use std::time;

use ragwortdeal_core::{command, document::store};
use tokio::sync::{mpsc, oneshot};

use crate::voter::{Answer, Event};

/// How long the group is waited for. Operators give up after a second or a little
/// more and ask another voter; what is decided later is decided all the same.
const DECIDE: time::Duration = time::Duration::from_millis(2_500);

/// How long a read may take.
const READ: time::Duration = time::Duration::from_millis(900);

/// Brings a step through the log. An error says nothing of whether it will be decided later.
pub(super) async fn decide(events: &mpsc::Sender<Event>, step: store::Step) -> Result<(), String> {
    let mut payload = Vec::new();
    let command = command::Command::Document(step);
    ciborium::into_writer(&command, &mut payload).expect("own types encode into memory");
    let (answer, answered) = oneshot::channel();
    let event = Event::Propose { payload, answer };
    if events.send(event).await.is_err() {
        return Err("the voter is stopping".to_owned());
    }
    match tokio::time::timeout(DECIDE, answered).await {
        Ok(Ok(Answer::Decided(_))) => Ok(()),
        Ok(Ok(Answer::Refused { reason, .. })) => Err(reason),
        Ok(Err(_)) => Err("nobody knows what became of it".to_owned()),
        Err(_) => Err("the group did not decide in time".to_owned()),
    }
}

/// Reads the store as a quorum of the voters confirms it.
pub(super) async fn read(events: &mpsc::Sender<Event>) -> Result<store::Store, String> {
    let (answer, answered) = oneshot::channel();
    if events.send(Event::Read { answer }).await.is_err() {
        return Err("the voter is stopping".to_owned());
    }
    match tokio::time::timeout(READ, answered).await {
        Ok(Ok(Some(store))) => Ok(store),
        _ => {
            log::warn!("voter: read refused, no quorum confirmed it");
            Err("no quorum of the voters confirmed it".to_owned())
        }
    }
}
