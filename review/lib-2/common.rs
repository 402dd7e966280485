//! What the cases of the second review share: processes started with the commands of the deploy
//! file, settings rendered from the project's templates, HTTP, an operator, and the record.
//! Standard library only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    os::unix::process::CommandExt as _,
    path::{Path, PathBuf},
    process::{self, Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, a: u64, b: u64, c: u64, d: u64) -> i32;
    fn signal(signal: i32, handler: usize) -> usize;
    fn prlimit(pid: i32, resource: i32, new: *const Limit, old: *mut Limit) -> i32;
}

const SIGXFSZ: i32 = 25;
const SIG_IGN: usize = 1;
const RLIMIT_FSIZE: i32 = 1;

#[repr(C)]
#[derive(Clone, Copy, Default)]
struct Limit {
    soft: u64,
    hard: u64,
}

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// What was sent, answered and run, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<fs::File>)>);

impl Record {
    pub fn new(folder: &Path) -> io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(fs::File::create(folder.join("record.txt"))?)))))
    }

    pub fn seconds(&self) -> f64 {
        self.0.0.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.seconds(), text.as_ref());
        print!("{line}");
        let _ = self.0.1.lock().unwrap().write_all(line.as_bytes());
    }
}

/// A zone of the small deployment.
pub const ZONES: [&str; 3] = ["amman-a", "irbid-a", "aqaba-a"];
const REGIONS: [&str; 3] = ["amman", "irbid", "aqaba"];

/// The deployment: addresses, ports, folders.
pub struct World {
    pub folder: PathBuf,
    pub repository: PathBuf,
    net: (u8, u8),
    pub control_port: u16,
    pub front_port: u16,
    pub ready_port: u16,
    link_port: u16,
    metrics_port: u16,
    pub seeds: Vec<Ipv4Addr>,
}

impl World {
    /// Takes free ports on loopback addresses of its own, and a temporary folder.
    pub fn new() -> io::Result<Self> {
        let pid = process::id();
        let net = (100 + (pid % 97) as u8, 1 + (pid / 97 % 199) as u8);
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        fs::create_dir_all(&folder)?;
        let first = 20_000 + (pid % 20_000) as u16;
        let base = (0..500u16)
            .map(|step| first + step * 8)
            .find(|base| {
                (0..5).all(|it| {
                    (1..=20).all(|host| {
                        TcpListener::bind((Ipv4Addr::new(127, net.0, net.1, host), base + it)).is_ok()
                    })
                })
            })
            .ok_or_else(|| io::Error::other("no free ports"))?;
        let seeds = (1..=3).map(|host| Ipv4Addr::new(127, net.0, net.1, host)).collect();
        Ok(Self {
            folder,
            repository: std::env::current_dir()?,
            net,
            control_port: base,
            front_port: base + 1,
            ready_port: base + 2,
            link_port: base + 3,
            metrics_port: base + 4,
            seeds,
        })
    }

    pub fn address(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    pub fn control(&self, host: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(host), self.control_port)
    }

    pub fn front(&self, host: u8) -> SocketAddrV4 {
        SocketAddrV4::new(self.address(host), self.front_port)
    }

    pub fn data_folder(&self, host: u8) -> PathBuf {
        self.folder.join(format!("data-{host}"))
    }

    /// Renders the project's template for a role, as the provider does, and returns the file.
    pub fn settings(&self, role: &str, host: u8, zone: usize, first_start: bool) -> io::Result<PathBuf> {
        let template = self.repository.join(format!("platform/settings/{role}.toml"));
        let mut text = fs::read_to_string(template)?;
        let regions: String = ZONES.iter().zip(REGIONS).fold(String::new(), |mut all, (zone, region)| {
            let _ = writeln!(all, "\"{zone}\" = \"{region}\"");
            all
        });
        replace_section(&mut text, "{{#zones}}", "{{/zones}}", &regions);
        while let Some(start) = text.find("{{#") {
            let name = text[start + 3..].split("}}").next().unwrap_or_default().to_owned();
            replace_section(&mut text, &format!("{{{{#{name}}}}}"), &format!("{{{{/{name}}}}}"), "");
        }
        let seeds: Vec<_> = self.seeds.iter().map(|it| format!("\"{it}:{}\"", self.control_port)).collect();
        let address = self.address(host);
        // The sheet of hr-timebank.
        let values = [
            ("node-name", format!("{role}-{host}")),
            ("zone", ZONES[zone].to_owned()),
            ("region", REGIONS[zone].to_owned()),
            ("ip-address", address.to_string()),
            ("internal-ports.0", self.link_port.to_string()),
            ("internal-ports.1", self.metrics_port.to_string()),
            ("seeds|json", format!("[{}]", seeds.join(", "))),
            ("bootstrap", first_start.to_string()),
            ("fault-tolerance.machines", "1".to_owned()),
            ("bounds.drain-ms", "2000".to_owned()),
            ("bounds.grace-s", "8.0".to_owned()),
            ("bounds.configuration-ms", "2000".to_owned()),
            ("bounds.version_ms", "8000".to_owned()),
            ("bounds.budget-ratio", "0.2".to_owned()),
            ("bounds.budget-window-s", "10".to_owned()),
            ("bounds.budget-extra-retries", "102.0".to_owned()),
            ("heartbeat-ms", "1200".to_owned()),
            ("limits.memory-mb", if role == "entry" { "390" } else { "256" }.to_owned()),
            ("limits.file-descriptors", "4096".to_owned()),
            ("limits.link-mbps", "9.4".to_owned()),
            ("listen-addresses.control", format!("{address}:{}", self.control_port)),
            ("listen-addresses.front", format!("{address}:{}", self.front_port)),
            ("listen-addresses.readiness", format!("{address}:{}", self.ready_port)),
            ("data-directory", self.data_folder(host).display().to_string()),
        ];
        for (name, value) in values {
            text = text.replace(&format!("{{{{{name}}}}}"), &value);
        }
        if let Some(start) = text.find("{{") {
            return Err(io::Error::other(format!("not filled in: {}", &text[start..])));
        }
        let file = self.folder.join(format!("{role}-{host}.toml"));
        fs::write(&file, text)?;
        Ok(file)
    }

    /// Starts a process with the command of the deploy file.
    pub fn start(&self, role: &str, host: u8, zone: usize, first_start: bool) -> io::Result<Program> {
        let settings = self.settings(role, host, zone, first_start)?;
        if role == "voter" {
            fs::create_dir_all(self.data_folder(host))?;
        }
        let deploy = fs::read_to_string(self.repository.join("deploy/system.toml"))?;
        let section = format!("[roles.ragwortdeal-{role}]");
        let run = deploy
            .split(&section)
            .nth(1)
            .and_then(|rest| rest.lines().find_map(|line| line.strip_prefix("run = \"")))
            .and_then(|rest| rest.strip_suffix('"'))
            .ok_or_else(|| io::Error::other("the deploy file has no such role"))?;
        let mut words = run.split(' ');
        let mut log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{role}-{host}.log")))?;
        let mut command = Command::new(self.repository.join(words.next().unwrap_or_default()));
        command
            .args(words)
            .current_dir(&self.repository)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("RAGWORTDEAL_SETTINGS", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log.try_clone()?);
        // It ends with the case where that is killed. A write that its limit refuses is an error and
        // does not end it.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                signal(SIGXFSZ, SIG_IGN);
                Ok(())
            });
        }
        let mut child = command.spawn()?;
        if let Some(mut output) = child.stdout.take() {
            thread::spawn(move || io::copy(&mut output, &mut log));
        }
        Ok(Program { name: format!("{role}-{host}"), child: Some(child) })
    }

    /// Removes the folder, unless it is to be kept.
    pub fn clean(&self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn replace_section(text: &mut String, open: &str, close: &str, with: &str) {
    if let (Some(start), Some(end)) = (text.find(open), text.find(close)) {
        text.replace_range(start..end + close.len(), with);
    }
}

/// A process that the case started.
pub struct Program {
    pub name: String,
    child: Option<Child>,
}

impl Program {
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Lets its disk refuse every write, or none: the size that files may reach, for this process
    /// alone. Sockets and pipes are not concerned.
    pub fn set_disk_full(&self, full: bool) -> io::Result<()> {
        set_disk_full(self.pid().ok_or_else(|| io::Error::other("it does not run"))?, full)
    }

    /// Whether it has ended; its code where it exited.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten().map(|status| status.to_string())
    }

    pub fn wait(&mut self, longest: Duration) -> Option<String> {
        let begun = Instant::now();
        while begun.elapsed() < longest {
            if let Some(ended) = self.ended() {
                return Some(ended);
            }
            sleep_ms(10);
        }
        None
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Lets the disk of a process refuse every write, or none.
pub fn set_disk_full(pid: u32, full: bool) -> io::Result<()> {
    let pid = pid as i32;
    let mut held = Limit::default();
    let read = unsafe { prlimit(pid, RLIMIT_FSIZE, std::ptr::null(), &mut held) };
    let new = Limit { soft: if full { 0 } else { held.hard }, hard: held.hard };
    let set = unsafe { prlimit(pid, RLIMIT_FSIZE, &new, std::ptr::null_mut()) };
    if read == 0 && set == 0 { Ok(()) } else { Err(io::Error::last_os_error()) }
    }

/// An answer of HTTP.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

/// Sends one call on a connection of its own.
pub fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&SocketAddr::V4(to), timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        let _ = write!(head, "Host: {to}\r\n");
    }
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\nConnection: close\r\n\r\n", body.len());
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    read_answer(&mut BufReader::new(stream))
}

pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "closed without an answer"));
    }
    let status = line.split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| io::Error::other(format!("no status in {line:?}")))?;
    let headers = read_headers(reader)?;
    let mut body = Vec::new();
    if headers.get("transfer-encoding").is_some_and(|it| it.contains("chunked")) {
        loop {
            let mut size = String::new();
            reader.read_line(&mut size)?;
            let size = usize::from_str_radix(size.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            body.extend_from_slice(&chunk[..size]);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = headers.get("content-length").and_then(|it| it.parse().ok()) {
        body.resize(length, 0);
        reader.read_exact(&mut body)?;
    } else {
        reader.read_to_end(&mut body)?;
    }
    Ok(Answer { status, headers, body })
}

pub fn read_headers(reader: &mut impl BufRead) -> io::Result<BTreeMap<String, String>> {
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
        }
    }
}

/// The operator: sends a call to any daemon that serves control until one answers it, as the pages
/// say: it follows a 307 twice, and moves on after a failure, a 5xx, a 408 or 429, or a second.
pub struct Operator<'r> {
    pub record: &'r Record,
    /// The list of daemons that serve control.
    pub daemons: Vec<SocketAddrV4>,
    pub next: usize,
    /// The last result at each daemon, of which only changes are recorded.
    pub last: BTreeMap<SocketAddrV4, String>,
}

impl<'r> Operator<'r> {
    pub fn new(record: &'r Record, daemons: Vec<SocketAddrV4>) -> Self {
        Self { record, daemons, next: 0, last: BTreeMap::new() }
    }

    /// One try at one daemon.
    pub fn try_at(&self, daemon: SocketAddrV4, method: &str, path: &str, body: &[u8]) -> io::Result<(SocketAddrV4, Answer)> {
        let json = [("Content-Type", "application/json")];
        let (mut to, mut path) = (daemon, path.to_owned());
        for _ in 0..3 {
            let answer = call(to, method, &path, &json, body, Duration::from_secs(1))?;
            let location = answer.headers.get("location").and_then(|it| it.strip_prefix("http://"));
            match (answer.status, location.and_then(|it| it.split_once('/'))) {
                (307, Some((host, rest))) => {
                    to = host.parse().map_err(io::Error::other)?;
                    path = format!("/{rest}");
                }
                _ => return Ok((to, answer)),
            }
        }
        Err(io::Error::other("sent on too often"))
    }

    /// Sends the same call again and again, to one daemon after the other, until it is
    /// acknowledged, refused, or the time is over. Returns who answered.
    pub fn send(&mut self, what: &str, method: &str, path: &str, body: &[u8], longest: Duration) -> Option<(SocketAddrV4, Answer)> {
        let begun = Instant::now();
        let mut pause = 50;
        let mut tries = 0;
        while begun.elapsed() < longest {
            let daemon = self.daemons[self.next % self.daemons.len()];
            self.next += 1;
            let result = match self.try_at(daemon, method, path, body) {
                Ok((by, answer)) if answer.status < 500 && !matches!(answer.status, 408 | 429) => {
                    self.record.line(format!("operator: {what}: {} from {by}", answer.status));
                    return Some((by, answer));
                }
                Ok((by, answer)) => {
                    let text = String::from_utf8_lossy(&answer.body).trim().to_owned();
                    format!("{} from {by}: {text}", answer.status)
                }
                Err(error) => format!("{daemon}: {error}"),
            };
            tries += 1;
            let result = format!("{what}: {result}");
            if self.last.get(&daemon) != Some(&result) {
                self.record.line(format!("operator: {result}"));
                self.last.insert(daemon, result);
            }
            sleep_ms(pause);
            pause = (pause * 2).min(500);
        }
        self.record.line(format!("operator: {what}: no clear answer in {:.1} s, {tries} tries", longest.as_secs_f64()));
        None
    }
}

/// A desired state of a small installation: a ledger with one route for transfers and one for reads,
/// and as many idle routes as the version says, so that each version has other content.
pub fn desired_state(version: u64) -> String {
    let idle: String = (0..version).fold(String::new(), |mut all, number| {
        let _ = write!(
            all,
            ",{{\"name\":\"idle-{number}\",\"host\":\"idle.example\",\"path-prefix\":\"/idle-{number}/\",\
             \"kind\":\"safe\",\"timeout-ms\":1200,\"target-latency-ms\":150,\"priority\":2,\
             \"service\":\"ledger-api\",\"max-attempts\":2,\"public\":false,\"session-affinity\":false,\
             \"resumable\":false}}"
        );
        all
    });
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"transfer\",\"host\":\"ledger.example\",\"path-prefix\":\"/transfer/\",\"kind\":\"unsafe\",\
         \"timeout-ms\":1200,\"target-latency-ms\":150,\"priority\":2,\"service\":\"ledger-api\",\
         \"max-attempts\":1,\"public\":false,\"session-affinity\":false,\"resumable\":false}},\
         {{\"name\":\"balance\",\"host\":\"ledger.example\",\"path-prefix\":\"/balance/\",\"kind\":\"safe\",\
         \"timeout-ms\":1200,\"target-latency-ms\":150,\"priority\":2,\"service\":\"ledger-api\",\
         \"max-attempts\":2,\"public\":false,\"session-affinity\":false,\"resumable\":false}}{idle}],\
         \"services\":[{{\"name\":\"ledger-api\",\"health-path\":\"/health\",\"connection-limit\":100,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\
         \"idle-timeout-ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-a\",\"api-keys\":[\"key-of-tenant-a\"],\"priority\":1}}]}}"
    )
}

/// The version in a desired state that was read back.
pub fn version_of(body: &[u8]) -> Option<u64> {
    let text = String::from_utf8_lossy(body).into_owned();
    let rest = text.split("\"version\":").nth(1)?;
    rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse().ok()
}

/// Whether the case is played without its disruption.
pub fn without_trouble() -> bool {
    std::env::var("TROUBLE").is_ok_and(|it| it == "0")
}

/// Ends the case: a code for the shell, and the reason in the record.
pub fn finish(record: &Record, world: &World, code: i32, reason: &str) -> ! {
    let what = match code {
        HELD => "the rule held",
        BROKEN => "THE RULE WAS BROKEN",
        _ => "the case could not run",
    };
    record.line(format!("end: {what}: {reason}"));
    world.clean();
    process::exit(code);
}
