//! The request to stop, as every task of a process sees it.

use tokio::sync::watch;

/// Asks all holders of its [`Stop`] to stop. Dropping it asks as well.
#[derive(Debug)]
pub struct Stopper {
    sender: watch::Sender<bool>,
}

/// Tells a task that its process stops.
#[derive(Clone, Debug)]
pub struct Stop {
    receiver: watch::Receiver<bool>,
}

/// Makes a connected pair.
pub fn pair() -> (Stopper, Stop) {
    let (sender, receiver) = watch::channel(false);
    (Stopper { sender }, Stop { receiver })
}

impl Stopper {
    /// Asks for the stop. A second call changes nothing.
    pub fn stop(&self) {
        self.sender.send_replace(true);
    }
}

impl Stop {
    /// Whether the stop was asked for.
    pub fn requested(&self) -> bool {
        *self.receiver.borrow()
    }

    /// Waits until the stop is asked for.
    pub async fn wait(&self) {
        let mut receiver = self.receiver.clone();
        // An error means that the stopper is gone, which asks for the stop too.
        let _ = receiver.wait_for(|stopping| *stopping).await;
    }
}

/// Waits for SIGTERM or SIGINT, then asks for the stop.
pub async fn on_signal(stopper: Stopper) -> std::io::Result<()> {
    use tokio::signal::unix;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => (),
        _ = interrupt.recv() => (),
    }
    stopper.stop();
    Ok(())
}
