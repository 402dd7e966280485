//! What the scripts of the cases share: processes, settings, HTTP by hand, a record. Only the
//! standard library is used, so that `rustc` alone builds it.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Read, Write},
    net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream},
    os::unix::process::CommandExt as _,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const LINK_PORT: u16 = 7_700;
pub const METRICS_PORT: u16 = 7_715;
pub const CONTROL_PORT: u16 = 8_000;
pub const READINESS_PORT: u16 = 8_002;
pub const CALLERS_PORT: u16 = 8_005;
pub const APP_PORT: u16 = 8_080;

pub const KILL: i32 = 9;
pub const TERM: i32 = 15;
pub const CONT: i32 = 18;
pub const STOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PARENT_DEATH_SIGNAL: i32 = 1;

/// Longest run. One that takes longer shows nothing.
const LONGEST: Duration = Duration::from_secs(115);

/// The record of a run: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = fs::File::create(path).expect("the record can be written");
        let record = Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) };
        let watched = record.clone();
        thread::spawn(move || {
            thread::sleep(LONGEST);
            cannot_run(&watched, "it takes too long");
        });
        record
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn say(&self, line: &str) {
        let line = format!("{:>7} ms  {line}", self.now_ms());
        println!("{line}");
        let _ = writeln!(self.file.lock().unwrap(), "{line}");
    }
}

/// Ends with 2: the case could not run.
pub fn cannot_run(record: &Record, why: &str) -> ! {
    record.say(&format!("the case could not run: {why}"));
    std::process::exit(2);
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A block of loopback addresses, free at the ports used, and a folder.
pub struct World {
    block: [u8; 2],
    pub folder: PathBuf,
    programs: PathBuf,
}

impl World {
    pub fn new(record: &Record) -> Self {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("ragwortdeal-review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        for attempt in 0..200 {
            let seed = pid.wrapping_mul(61).wrapping_add(attempt * 977);
            let block = [(64 + seed % 128) as u8, (seed / 128 % 250 + 1) as u8];
            let free = (1..=40).all(|number| {
                let address = Ipv4Addr::new(127, block[0], block[1], number);
                let ports = [LINK_PORT, CONTROL_PORT, CALLERS_PORT, READINESS_PORT, APP_PORT];
                ports.iter().all(|port| TcpListener::bind((address, *port)).is_ok())
            });
            if free {
                return Self { block, folder, programs: PathBuf::from("target/release") };
            }
        }
        cannot_run(record, "no free loopback addresses")
    }

    pub fn address(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.block[0], self.block[1], number)
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(number), port)
    }

    pub fn control(&self, number: u8) -> SocketAddrV4 {
        self.at(number, CONTROL_PORT)
    }

    /// Settings as `platform/settings` makes them of the small installation hr-timebank.
    pub fn settings(&self, role: &str, number: u8, first_start: bool) -> PathBuf {
        let zones = ["amman", "irbid", "aqaba"];
        let zone = zones[usize::from(number) % 3];
        let address = self.address(number);
        let seeds: Vec<String> =
            (1..=3).map(|voter| format!("\"{}\"", self.control(voter))).collect();
        let seeds = seeds.join(", ");
        let own = match role {
            "voter" => format!(
                "control = \"{}\"\n\n[disk]\ndata_dir = \"{}\"\n",
                self.control(number),
                self.folder.join(format!("disk-{number}")).display()
            ),
            "entry" => format!(
                "callers = \"{}\"\nreadiness = \"{}\"\n",
                self.at(number, CALLERS_PORT),
                self.at(number, READINESS_PORT)
            ),
            _ => String::new(),
        };
        let beside = match role {
            "agent" => format!(
                "engine = \"{}\"\nservice = \"llm-pool\"\nlink_mbps = 9.4\n",
                self.at(number, APP_PORT)
            ),
            _ => String::new(),
        };
        let memory = if role == "entry" { "memory_mb = 390\n" } else { "" };
        let text = format!(
            "[process]\nname = \"{role}-{zone}-a-{number}\"\navailability_zone = \"{zone}-a\"\n\
             region = \"{zone}\"\n\n[fleet]\naddress = \"{address}\"\nlink_port = {LINK_PORT}\n\
             seeds = [{seeds}]\nfirst_start = {first_start}\nlosses_borne = 1\n{beside}\n[fleet.regions]\n\
             \"amman-a\" = \"amman\"\n\"irbid-a\" = \"irbid\"\n\"aqaba-a\" = \"aqaba\"\n\n[bounds]\n\
             drain_ms = 2000\ngrace_s = 8\nconfiguration_ms = 2000\nweights_ms = 8000\n\
             budget_ratio = 0.2\nbudget_window_s = 10\nbudget_allowance = 102\nheartbeat_ms = 1200\n\
             {memory}\n[credentials]\ncluster = \"ragwortdeal-fleet-secret\"\n\n[log]\n\
             level = \"info\"\n\n[listen]\nmetrics = \"{address}:{METRICS_PORT}\"\n{own}"
        );
        let path = self.folder.join(format!("{role}-{number}.toml"));
        fs::write(&path, text).expect("settings can be written");
        path
    }

    /// Starts a program as the deploy file does.
    pub fn start(&self, record: &Record, role: &str, number: u8, first_start: bool) -> Program {
        let settings = self.settings(role, number, first_start);
        let path = self.folder.join(format!("{role}-{number}.log"));
        let log = fs::File::options().create(true).append(true).open(&path).expect("a log");
        let mut command = Command::new(self.programs.join(format!("ragwortdeal-{role}")));
        command
            .arg("--fleet")
            .env("RAGWORTDEAL_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log);
        // It ends with this script, however that ends.
        let child = unsafe {
            command.pre_exec(|| {
                prctl(PARENT_DEATH_SIGNAL, KILL as u64);
                Ok(())
            })
        };
        let child = child.spawn();
        match child {
            Ok(child) => {
                record.say(&format!("started {role} {number}"));
                Program { name: format!("{role} {number}"), child }
            }
            Err(error) => cannot_run(record, &format!("{role} does not start: {error}")),
        }
    }

    /// The log of a program.
    pub fn log(&self, role: &str, number: u8) -> String {
        let path = self.folder.join(format!("{role}-{number}.log"));
        String::from_utf8_lossy(&fs::read(path).unwrap_or_default()).into_owned()
    }
}

impl Drop for World {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A process that this script started.
pub struct Program {
    pub name: String,
    child: Child,
}

impl Program {
    pub fn signal(&self, record: &Record, signal: i32) {
        let what = match signal {
            KILL => "SIGKILL",
            TERM => "SIGTERM",
            CONT => "SIGCONT",
            STOP => "SIGSTOP",
            _ => "a signal",
        };
        record.say(&format!("{what} to {}", self.name));
        unsafe { kill(self.child.id() as i32, signal) };
    }

    pub fn kill(&mut self, record: &Record) {
        self.signal(record, KILL);
        let _ = self.child.wait();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        unsafe {
            kill(self.child.id() as i32, CONT);
            kill(self.child.id() as i32, KILL);
        }
        let _ = self.child.wait();
    }
}

/// An HTTP answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).trim().to_owned()
    }
}

/// Sends one request on a channel of its own, and reads the whole answer.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &[u8],
    patience: Duration,
) -> io::Result<Answer> {
    let until = Instant::now() + patience;
    let mut stream = TcpStream::connect_timeout(&to.into(), patience)?;
    stream.set_nodelay(true)?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n", body.len());
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        head += &format!("Host: {to}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += "Connection: close\r\n\r\n";
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let mut reader = HttpReader::new(stream);
    reader.answer(until)
}

/// Reads HTTP messages from a channel.
pub struct HttpReader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl HttpReader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn more(&mut self, until: Instant) -> io::Result<usize> {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::from(io::ErrorKind::TimedOut));
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut piece = [0; 65_536];
        let read = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..read]);
        Ok(read)
    }

    /// The first line and the headers of the next message. None at the end of the channel.
    pub fn head(
        &mut self,
        until: Instant,
    ) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|window| window == b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some((first, headers.collect())));
            }
            if self.more(until)? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::Error::from(io::ErrorKind::UnexpectedEof)),
                };
            }
        }
    }

    pub fn exactly(&mut self, bytes: usize, until: Instant) -> io::Result<Vec<u8>> {
        while self.buffer.len() < bytes {
            if self.more(until)? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
        }
        Ok(self.buffer.drain(..bytes).collect())
    }

    fn line(&mut self, until: Instant) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|window| window == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if self.more(until)? == 0 {
                return Err(io::Error::from(io::ErrorKind::UnexpectedEof));
            }
        }
    }

    pub fn body(
        &mut self,
        headers: &BTreeMap<String, String>,
        to_end: bool,
        until: Instant,
    ) -> io::Result<Vec<u8>> {
        if headers.get("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
            let mut body = Vec::new();
            loop {
                let size = self.line(until)?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                body.extend(self.exactly(size, until)?);
                self.line(until)?;
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        if let Some(length) = headers.get("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            return self.exactly(length, until);
        }
        if !to_end {
            return Ok(Vec::new());
        }
        while self.more(until)? > 0 {}
        Ok(std::mem::take(&mut self.buffer))
    }

    pub fn answer(&mut self, until: Instant) -> io::Result<Answer> {
        let head = self.head(until)?;
        let (first, headers) = head.ok_or(io::Error::from(io::ErrorKind::UnexpectedEof))?;
        let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
        let status = status.ok_or(io::Error::from(io::ErrorKind::InvalidData))?;
        let body = self.body(&headers, true, until)?;
        Ok(Answer { status, headers, body })
    }
}

pub fn pause(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// The integer behind `"version":` at the beginning of a desired state.
pub fn version_of(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body);
    let rest = text.split_once("\"version\":")?.1.trim_start();
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

/// Puts a desired state to one voter, as the operator does: a second without a response is none.
pub fn put_once(record: &Record, world: &World, voter: u8, body: &str) -> Option<u16> {
    let version = version_of(body.as_bytes()).unwrap_or(0);
    record.say(&format!("operator: PUT /configuration version {version} to voter {voter}"));
    let headers = [("Content-Type", "application/json".to_owned())];
    let patience = Duration::from_secs(1);
    let path = "/configuration";
    match call(world.control(voter), "PUT", path, &headers, body.as_bytes(), patience) {
        Ok(answer) => {
            let (status, text) = (answer.status, answer.text());
            record.say(&format!("operator: version {version} at voter {voter}: {status} {text:?}"));
            Some(status)
        }
        Err(error) => {
            record.say(&format!(
                "operator: version {version} at voter {voter}: no response ({error})"
            ));
            None
        }
    }
}

/// Puts a desired state until it is acknowledged, moving on from voter to voter.
pub fn put_until_acknowledged(record: &Record, world: &World, voters: &[u8], body: &str) -> u8 {
    let mut back_off_ms = 100;
    for round in 0..60 {
        let voter = voters[round % voters.len()];
        if put_once(record, world, voter, body) == Some(200) {
            return voter;
        }
        pause(back_off_ms);
        back_off_ms = (back_off_ms * 3 / 2).min(1_000);
    }
    cannot_run(record, "a desired state is not acknowledged")
}
