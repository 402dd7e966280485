//! A program of the system as a process with lowered limits, and what it takes.

use std::{fmt::Write as _, fs, net, path, process, sync, thread, time};

use ragwortdeal_standins::fleet::world::World;

/// How often memory and descriptors are looked at.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(25);

/// Limits of a process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Memory in MiB.
    pub memory_mb: u64,
    /// Descriptors that it may hold.
    pub descriptors: u64,
}

/// What a process took at most.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    /// Resident memory and bytes that its listener's connections have not read, in KiB.
    pub memory_kib: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// A process, which is killed when this is dropped.
pub struct Program {
    child: process::Child,
    listener: net::SocketAddrV4,
}

impl Program {
    /// Starts a program with settings of its own, whose listener is sampled.
    pub fn start(
        role: &str,
        settings: &path::Path,
        in_fleet: bool,
        limits: Limits,
        listener: net::SocketAddrV4,
    ) -> Self {
        let program = super::programs().join(format!("ragwortdeal-{role}"));
        let log = fs::File::create(settings.with_extension("log")).expect("a log");
        let mut command = process::Command::new("sh");
        command
            .arg("-c")
            .arg(format!("ulimit -n {} && exec \"$0\" \"$@\"", limits.descriptors))
            .arg(program)
            .args(in_fleet.then_some("--fleet"))
            .arg("--config")
            .arg(settings)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        Self { child: command.spawn().expect("a process"), listener }
    }

    /// Whether the process has not ended.
    pub fn lives(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Samples the process until the returned value is finished.
    pub fn sample(&self) -> Sampler {
        let (id, listener) = (self.child.id(), self.listener);
        let (stopper, stopped) = sync::mpsc::channel::<()>();
        let thread = thread::spawn(move || {
            let mut peak = Peak::default();
            while stopped.recv_timeout(SAMPLE_INTERVAL)
                == Err(sync::mpsc::RecvTimeoutError::Timeout)
            {
                let resident_kib = status_kib(id, "VmRSS:");
                peak.memory_kib = peak.memory_kib.max(resident_kib + unread_kib(listener));
                peak.descriptors = peak.descriptors.max(descriptors(id));
            }
            peak.memory_kib = peak.memory_kib.max(status_kib(id, "VmHWM:"));
            peak
        });
        Sampler { stopper, thread }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Samples a process.
pub struct Sampler {
    stopper: sync::mpsc::Sender<()>,
    thread: thread::JoinHandle<Peak>,
}

impl Sampler {
    /// Ends the sampling.
    pub fn finish(self) -> Peak {
        drop(self.stopper);
        self.thread.join().expect("the sampler does not panic")
    }
}

fn status_kib(id: u32, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix(name));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

fn descriptors(id: u32) -> u64 {
    fs::read_dir(format!("/proc/{id}/fd")).map_or(0, |entries| entries.count() as u64)
}

/// Bytes that have arrived on a listener's connections and were not read.
fn unread_kib(listener: net::SocketAddrV4) -> u64 {
    const ESTABLISHED_OR_CLOSED_BY_PEER: [&str; 2] = ["01", "08"];
    let mut local = String::new();
    let address = u32::from_le_bytes(listener.ip().octets());
    write!(local, "{address:08X}:{:04X}", listener.port()).expect("a text takes it");
    let sockets = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread_bytes: u64 = sockets
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|fields| fields.get(1) == Some(&local.as_str()))
        .filter(|fields| ESTABLISHED_OR_CLOSED_BY_PEER.contains(&fields[3]))
        .filter_map(|fields| u64::from_str_radix(fields[4].split_once(':')?.1, 16).ok())
        .sum();
    unread_bytes >> 10
}

/// Writes the settings of a process of a fleet, and says where.
pub fn fleet_settings(
    world: &World,
    folder: &path::Path,
    role: &str,
    number: u8,
    limits: Limits,
) -> path::PathBuf {
    let seeds: Vec<_> = world.voters.iter().map(|it| format!("\"{it}:8000\"")).collect();
    let own = match role {
        "voter" => format!(
            "[listen]\ncontrol = \"{}\"\n[disk]\ndata_dir = \"{}\"\n",
            world.control(number),
            world.data_dir(number).display()
        ),
        "entry" => format!(
            "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\n",
            world.callers(number),
            world.readiness(number)
        ),
        _ => String::new(),
    };
    let engine = match role {
        "agent" => format!("engine = \"{}\"\nservice = \"models\"\n", world.upstream(number)),
        _ => String::new(),
    };
    let (address, memory_mb) = (world.address(number), limits.memory_mb);
    let text = format!(
        "[process]\nname = \"{role}-{number}\"\navailability_zone = \"zone-0\"\n\
         region = \"zone-0\"\n[fleet]\naddress = \"{address}\"\nlink_port = {LINK_PORT}\n\
         seeds = [{}]\nfirst_start = true\nlosses_borne = 1\n{engine}\
         [fleet.regions]\nzone-0 = \"zone-0\"\nzone-1 = \"zone-1\"\nzone-2 = \"zone-2\"\n\
         [credentials]\ncluster = \"{CREDENTIAL}\"\n[bounds]\nmemory_mb = {memory_mb}\n{own}",
        seeds.join(", ")
    );
    let file = folder.join(format!("{role}-{number}.toml"));
    fs::write(&file, text).expect("a folder takes settings");
    file
}

/// Secret between the processes.
pub const CREDENTIAL: &str = "a-secret-for-the-fleet";

/// Port of links, and of an agent's listener.
pub const LINK_PORT: u16 = 7_700;

/// Writes the settings of an entry that is no part of a fleet, and says where.
pub fn entry_settings(world: &World, folder: &path::Path, number: u8) -> path::PathBuf {
    let address = world.address(number);
    let text = format!(
        "[process]\nname = \"entry-{number}\"\navailability_zone = \"zone-0\"\n\
         region = \"zone-0\"\n[listen]\ncallers = \"{}\"\noperators = \"{address}:7101\"\n\
         links = \"{address}:7102\"\n[voters]\naddresses = [\"{address}:7200\"]\n\
         [[accounts]]\nname = \"branches\"\ntoken = \"an-account-secret-for-tests\"\n\
         [[operators]]\nname = \"rana\"\ntoken = \"an-operator-secret-for-tests\"\n\
         [credentials]\ncluster = \"{CREDENTIAL}\"\n",
        world.callers(number),
    );
    let file = folder.join(format!("entry-{number}.toml"));
    fs::write(&file, text).expect("a folder takes settings");
    file
}
