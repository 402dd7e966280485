//! A program of the system on a runtime of its own, to be stopped, killed or frozen.

use std::{io, net, thread, time};

use ragwortdeal_node::stop;
use tokio::{runtime, task};

/// A running program.
#[derive(Debug)]
pub struct Process {
    runtime: Option<runtime::Runtime>,
    stopper: stop::Stopper,
    main: Option<task::JoinHandle<()>>,
}

impl Process {
    /// Starts a program.
    pub fn start<F, R>(name: &str, main: F) -> io::Result<Self>
    where
        F: FnOnce(stop::Stop) -> R + Send + 'static,
        R: Future<Output = ()> + Send + 'static,
    {
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .max_blocking_threads(4)
            .thread_name(name)
            .enable_all()
            .build()?;
        let (stopper, stop) = stop::pair();
        let main = runtime.spawn(async move { main(stop).await });
        Ok(Self { runtime: Some(runtime), stopper, main: Some(main) })
    }

    /// Asks for a planned stop and waits until the program ended.
    pub async fn stop(mut self) {
        self.stopper.stop();
        if let Some(main) = self.main.take() {
            let _ = main.await;
        }
    }

    /// Asks for a planned stop without waiting.
    pub fn begin_stop(&self) {
        self.stopper.stop();
    }

    /// Ends the program at once, as SIGKILL does: its sockets close, nothing is tidied up.
    pub fn kill(self) {
        drop(self);
    }

    /// Holds the program still, as SIGSTOP does, and lets it go on after that time.
    pub fn freeze(&self, duration: time::Duration) {
        if let Some(runtime) = &self.runtime {
            // The runtime's only worker sleeps, so neither timers nor sockets are looked at.
            runtime.spawn(async move { thread::sleep(duration) });
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Binds a loopback port that the settings can name before the program runs.
pub fn bind() -> io::Result<(net::TcpListener, net::SocketAddr)> {
    let listener = net::TcpListener::bind(("127.0.0.1", 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}
