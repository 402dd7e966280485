//! The processes of a run: settings, starts, signals, logs. Only processes that were started here
//! are ever signalled, by the handle of each.

use std::{fs, io, net, path, process, sync, thread, time};

use ragwortdeal_platform::DIALECT;
use ragwortdeal_standins::fleet::world;
use rustix::process as signals;

use crate::{checks::budget, history::Who};

/// Time between the request to stop and the kill.
const GRACE: time::Duration = time::Duration::from_secs(8);
/// How often an end is looked for.
const LOOK: time::Duration = time::Duration::from_millis(20);
/// Port of links between the processes.
const LINK_PORT: u16 = 7_700;

/// Which processes run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Voters, with the numbers from 1 on.
    pub voters: u8,
    /// Entries, with the numbers from 10 on.
    pub entries: u8,
    /// Agents and their engines, with the numbers from 20 on.
    pub agents: u8,
}

impl Size {
    /// All processes.
    pub fn processes(&self) -> Vec<Who> {
        let voters = (1..=self.voters).map(Who::Voter);
        let entries = (10..10 + self.entries).map(Who::Entry);
        voters.chain(entries).chain((20..20 + self.agents).map(Who::Agent)).collect()
    }
}

/// A process, which runs or not.
#[derive(Debug)]
struct Program {
    who: Who,
    child: sync::Mutex<Option<process::Child>>,
    stopping: sync::atomic::AtomicBool,
    /// Held while it is brought up, so that two starts do not race.
    starting: tokio::sync::Mutex<()>,
}

/// All processes, their addresses and folders.
#[derive(Debug)]
pub struct Fleet {
    /// Addresses.
    pub world: world::World,
    folder: path::PathBuf,
    programs_folder: path::PathBuf,
    programs: Vec<Program>,
    /// Held while a settings file is replaced.
    writing: sync::Mutex<()>,
}

impl Fleet {
    /// Writes the settings of all processes; none runs yet.
    pub fn new(size: Size, folder: &path::Path, programs: &path::Path) -> io::Result<Self> {
        let program = |who| Program {
            who,
            child: sync::Mutex::default(),
            stopping: sync::atomic::AtomicBool::new(false),
            starting: tokio::sync::Mutex::new(()),
        };
        fs::create_dir_all(folder)?;
        let fleet = Self {
            world: world::World::new(&DIALECT, size.voters),
            folder: folder.to_owned(),
            programs_folder: programs.to_owned(),
            programs: size.processes().into_iter().map(program).collect(),
            writing: sync::Mutex::default(),
        };
        for program in &fleet.programs {
            fleet.write_settings(program.who, true, 0)?;
        }
        Ok(fleet)
    }

    /// Address at which an engine is announced; a proxy listens there.
    pub fn announced(&self, number: u8) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.world.address(number), 8_081)
    }

    /// Address at which callers reach an entry; a proxy listens there.
    pub fn callers(&self, number: u8) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.world.address(number), 9_005)
    }

    /// Address at which the operator reaches a voter; a proxy listens there.
    pub fn control(&self, number: u8) -> net::SocketAddrV4 {
        net::SocketAddrV4::new(self.world.address(number), 9_000)
    }

    fn data_dir(&self, voter: u8) -> path::PathBuf {
        self.folder.join(format!("data-{voter}"))
    }

    fn file(&self, who: Who, ending: &str) -> path::PathBuf {
        let (role, number) = role(who);
        self.folder.join(format!("{role}-{number}.{ending}"))
    }

    /// Writes the settings of a process. Its seeds begin with another voter each time.
    pub fn write_settings(&self, who: Who, first_start: bool, turn: usize) -> io::Result<()> {
        let (role, number) = role(who);
        let address = self.world.address(number);
        let mut seeds = self.world.voters.clone();
        let turns = turn % seeds.len();
        seeds.rotate_left(turns);
        let seeds: Vec<_> = seeds.iter().map(|seed| format!("\"{seed}:8000\"")).collect();
        let seeds = seeds[..seeds.len().min(3)].join(", ");
        let zone = number % 3;
        let own = match who {
            Who::Voter(_) => format!(
                "[listen]\ncontrol = \"{}\"\n[disk]\ndata_dir = \"{}\"\n",
                self.world.control(number),
                self.data_dir(number).display()
            ),
            Who::Entry(_) => format!(
                "[listen]\ncallers = \"{}\"\nreadiness = \"{}\"\n",
                self.world.callers(number),
                self.world.readiness(number)
            ),
            _ => String::new(),
        };
        let engine = match who {
            Who::Agent(_) => {
                format!("engine = \"{}\"\nservice = \"models\"\n", self.announced(number))
            }
            _ => String::new(),
        };
        let bounds = format!(
            "[bounds]\nbudget_ratio = {}\nbudget_allowance = {:.1}\nbudget_window_s = {:.1}\n",
            budget::RATIO,
            budget::ALLOWANCE,
            budget::WINDOW_MS as f64 / 1_000.0
        );
        let text = format!(
            "[process]\nname = \"{role}-{number}\"\navailability_zone = \"zone-{zone}\"\n\
             region = \"zone-{zone}\"\n[fleet]\naddress = \"{address}\"\nlink_port = {LINK_PORT}\n\
             seeds = [{seeds}]\nfirst_start = {first_start}\nlosses_borne = 1\n{engine}\
             [fleet.regions]\nzone-0 = \"zone-0\"\nzone-1 = \"zone-1\"\nzone-2 = \"zone-2\"\n\
             [credentials]\ncluster = \"a-secret-for-the-soak\"\n[log]\nlevel = \"info\"\n{bounds}{own}"
        );
        let _alone = self.writing.lock().expect("no panic under lock");
        // The programs read the file at any moment, so it is replaced as a whole.
        let file = self.file(who, "toml");
        let fresh = self.file(who, "toml.new");
        fs::write(&fresh, text)?;
        fs::rename(fresh, file)
    }

    fn program(&self, who: Who) -> io::Result<&Program> {
        let found = self.programs.iter().find(|it| it.who == who);
        found.ok_or_else(|| io::Error::other(format!("{who:?} is no process")))
    }

    /// Starts a process unless it runs. One that was asked to stop is waited for, and killed after
    /// the grace.
    pub async fn start(&self, who: Who) -> io::Result<()> {
        let program = self.program(who)?;
        let _alone = program.starting.lock().await;
        let begun = time::Instant::now();
        while program.runs() {
            if !program.stopping.load(sync::atomic::Ordering::Relaxed) {
                return Ok(());
            }
            if begun.elapsed() > GRACE {
                program.signal(signals::Signal::KILL);
            }
            tokio::time::sleep(LOOK).await;
        }
        let (role, _) = role(who);
        let log = fs::File::options().create(true).append(true).open(self.file(who, "log"))?;
        // A write beyond the limit on the size of files fails only where the signal is ignored.
        let mut child = process::Command::new("/bin/sh")
            .arg("-c")
            .arg("trap '' XFSZ && exec \"$0\" \"$@\" 2>&1")
            .arg(self.programs_folder.join(format!("ragwortdeal-{role}")))
            .arg("--fleet")
            .arg("--config")
            .arg(self.file(who, "toml"))
            .env_clear()
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::piped())
            .stderr(process::Stdio::null())
            .spawn()?;
        if let Some(output) = child.stdout.take() {
            thread::spawn(move || keep_log(output, log));
        }
        program.stopping.store(false, sync::atomic::Ordering::Relaxed);
        *program.child.lock().expect("no panic under lock") = Some(child);
        Ok(())
    }

    /// Sends a signal. Whether the process lives on and is to stay.
    pub fn signal(&self, who: Who, signal: signals::Signal) -> io::Result<bool> {
        let program = self.program(who)?;
        if signal == signals::Signal::TERM || signal == signals::Signal::KILL {
            program.stopping.store(true, sync::atomic::Ordering::Relaxed);
        }
        program.signal(signal);
        Ok(!program.stopping.load(sync::atomic::Ordering::Relaxed))
    }

    /// Makes a voter's disk refuse all writes, or take them again. Sockets and pipes are not
    /// concerned.
    pub fn fill_disk(&self, voter: u8, full: bool) -> io::Result<()> {
        let program = self.program(Who::Voter(voter))?;
        let child = program.child.lock().expect("no panic under lock");
        let Some(child) = child.as_ref() else {
            return Ok(());
        };
        let id = signals::Pid::from_child(child);
        let limit = signals::Rlimit { current: full.then_some(0), maximum: None };
        signals::prlimit(Some(id), signals::Resource::Fsize, limit)?;
        Ok(())
    }

    /// Empties the folder of a voter that is dead.
    pub fn erase(&self, voter: u8) -> io::Result<()> {
        self.dead(voter)?;
        match fs::remove_dir_all(self.data_dir(voter)) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error),
            _ => Ok(()),
        }
    }

    /// Cuts the newest file of a dead voter in half, as a disk does that lies about its syncs.
    pub fn tear(&self, voter: u8) -> io::Result<()> {
        self.dead(voter)?;
        let mut newest = None;
        let mut folders = vec![self.data_dir(voter)];
        while let Some(folder) = folders.pop() {
            for found in fs::read_dir(folder)? {
                let found = found?;
                let about = found.metadata()?;
                if about.is_dir() {
                    folders.push(found.path());
                } else if about.len() > 0 {
                    newest = newest.max(Some((about.modified()?, found.path(), about.len())));
                }
            }
        }
        let Some((_, file, len)) = newest else {
            return Ok(());
        };
        fs::File::options().write(true).open(file)?.set_len(len / 2)
    }

    fn dead(&self, voter: u8) -> io::Result<()> {
        let program = self.program(Who::Voter(voter))?;
        let mut child = program.child.lock().expect("no panic under lock");
        if let Some(child) = child.as_mut() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Memory of each entry that runs, in KiB.
    pub fn entry_memory(&self) -> Vec<(u8, u64)> {
        let entries = self.programs.iter().filter_map(|program| match program.who {
            Who::Entry(number) => Some((number, program.memory_kib()?)),
            _ => None,
        });
        entries.collect()
    }

    /// Whether a process that is to run has ended.
    pub fn ended(&self) -> Vec<Who> {
        let stopping = |it: &Program| it.stopping.load(sync::atomic::Ordering::Relaxed);
        let ended = self.programs.iter().filter(|it| !stopping(it) && !it.runs());
        ended.map(|it| it.who).collect()
    }
}

impl Program {
    fn runs(&self) -> bool {
        let mut child = self.child.lock().expect("no panic under lock");
        child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Resident memory, if it runs.
    fn memory_kib(&self) -> Option<u64> {
        let id = self.child.lock().expect("no panic under lock").as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.split_whitespace().next()?.parse().ok()
    }

    fn signal(&self, signal: signals::Signal) {
        let mut child = self.child.lock().expect("no panic under lock");
        // One that was waited for has given its number back.
        let Some(child) = child.as_mut() else {
            return;
        };
        if matches!(child.try_wait(), Ok(None)) {
            let sent = signals::kill_process(signals::Pid::from_child(child), signal);
            if let Err(error) = sent {
                log::warn!("soak: {:?} got no signal: {error}", self.who);
            }
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        if let Some(child) = self.child.get_mut().ok().and_then(Option::as_mut) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Copies what a process writes into its log, which is not to share the limits of the process.
fn keep_log(mut output: process::ChildStdout, mut log: fs::File) {
    if let Err(error) = io::copy(&mut output, &mut log) {
        log::warn!("soak: a log ends early: {error}");
    }
}

fn role(who: Who) -> (&'static str, u8) {
    match who {
        Who::Voter(number) | Who::Control(number) => ("voter", number),
        Who::Entry(number) | Who::Callers(number) => ("entry", number),
        Who::Agent(number) | Who::Engine(number) => ("agent", number),
        Who::Origin | Who::Machine => ("none", 0),
    }
}
