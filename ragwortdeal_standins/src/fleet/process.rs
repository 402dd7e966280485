//! A process of a fleet: started, stopped, killed, suspended.

use std::{net, sync::mpsc};

use ragwortdeal_node::stop;
use tokio::{runtime, sync::oneshot, task};

/// A running process of a fleet.
#[derive(Debug)]
pub struct Process {
    /// Its address.
    pub address: net::Ipv4Addr,
    stopper: Option<stop::Stopper>,
    task: task::JoinHandle<()>,
    /// A runtime of its own, so that none of its tasks and sockets outlive a kill.
    runtime: Option<runtime::Runtime>,
}

/// Keeps a process suspended until it is dropped.
#[derive(Debug)]
#[must_use]
pub struct Suspended {
    _resume: mpsc::Sender<()>,
}

impl Drop for Process {
    fn drop(&mut self) {
        self.runtime.take().into_iter().for_each(runtime::Runtime::shutdown_background);
    }
}

impl Process {
    /// Runs a process at an address.
    ///
    /// # Panics
    ///
    /// Panics where the machine gives no thread for it.
    pub fn start<F, R>(address: net::Ipv4Addr, run: F) -> Self
    where
        F: FnOnce(stop::Stop) -> R,
        R: Future<Output = ()> + Send + 'static,
    {
        let (stopper, stop) = stop::pair();
        // All tasks share one thread, so that one of them can suspend the others.
        let runtime = runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("a runtime for the process");
        let task = runtime.spawn(run(stop));
        Self { address, stopper: Some(stopper), task, runtime: Some(runtime) }
    }

    /// Asks it to stop and waits until it has.
    pub async fn stop(mut self) {
        self.stopper.take();
        let _ = (&mut self.task).await;
    }

    /// Ends it at once. Files stay as they are.
    pub async fn kill(mut self) {
        self.runtime.take().into_iter().for_each(runtime::Runtime::shutdown_background);
        let _ = (&mut self.task).await;
    }

    /// Suspends it, as a machine that stands still does. Its sockets stay open, and the kernel
    /// takes what is sent to them.
    ///
    /// # Panics
    ///
    /// Panics where the process has ended.
    pub async fn suspend(&self) -> Suspended {
        let (resume, resumed) = mpsc::channel();
        let (began, begun) = oneshot::channel();
        let runtime = self.runtime.as_ref().expect("a running process");
        runtime.spawn(async move {
            let _ = began.send(());
            // Blocks the only thread of the runtime. An error says that the sender was dropped.
            let _ = resumed.recv();
        });
        begun.await.expect("a running process");
        Suspended { _resume: resume }
    }
}
