//! A small deployment: instances of the program, runners, the store, and what each of them is told.

use {
    crate::{
        http::{call, Message},
        json::quote,
        store::Store,
    },
    std::{
        fs::{self, File},
        io::{self, Write},
        net::{SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        process::{Child, Command, Stdio},
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc, Mutex,
        },
        thread,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Interval at which a runner writes its entry; three of them without a write remove it.
const CHECK_IN: Duration = Duration::from_millis(1_200);
const ZONES: [&str; 3] = ["bergen-hall", "flam-hall", "alesund-hall"];

/// Writes `record.txt`, with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        let file = File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn at(&self, moment: Instant) -> f64 {
        moment.saturating_duration_since(self.start).as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line that is also shown to whoever runs the case.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.seconds());
        self.line(text);
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

static PORTS: AtomicU64 = AtomicU64::new(0);

/// Returns an address with a port that is free for TCP and UDP, and below those that the system gives to
/// outgoing connections.
pub fn free_address() -> SocketAddr {
    loop {
        let next = PORTS.fetch_add(1, Ordering::Relaxed) + u64::from(std::process::id()) * 97;
        let address = SocketAddr::from(([127, 0, 0, 1], (18_000 + next % 12_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

pub struct Instance {
    pub name: String,
    pub machine: usize,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

impl Instance {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log");
        // The command of deploy/system.toml.
        let process = Command::new("target/release/lentilgrade")
            .arg("--settings")
            .arg(&self.settings)
            .env_clear()
            .env("LENTILGRADE_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("target/release/lentilgrade starts");
        self.process = Some(process);
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }

    /// Sends SIGTERM.
    pub fn stop(&self) {
        if let Some(process) = &self.process {
            let command = format!("kill -TERM {}", process.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Waits for the end of a process that was told to stop; ends it after `limit`.
    pub fn wait(&mut self, limit: Duration) {
        let end = Instant::now() + limit;
        while let Some(process) = &mut self.process {
            if !matches!(process.try_wait(), Ok(None)) {
                self.process = None;
            } else if Instant::now() >= end {
                self.kill();
            } else {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    /// Returns whether the process ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.process.as_mut().is_some_and(|p| !matches!(p.try_wait(), Ok(None)))
    }

    /// Returns the memory that the process holds.
    pub fn resident_mb(&self) -> u64 {
        let Some(process) = &self.process else { return 0 };
        let text = fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kb.unwrap_or(0) / 1_024
    }

    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/readyz HTTP/1.1\r\nHost: x\r\n\r\n";
        call(self.ready, request, Duration::from_secs(1)).is_ok_and(|m| m.status() == 200)
    }
}

pub struct Runner {
    pub id: String,
    pub service: String,
    version: &'static str,
    address: SocketAddr,
    zone: &'static str,
    born: u64,
    process: Option<Child>,
    written: Option<Instant>,
    ended: Option<Instant>,
    gone: bool,
    /// Whether a successor was started.
    replaced: bool,
}

impl Runner {
    fn entry(&self) -> String {
        format!(
            "{{\"service\":{},\"address\":\"{}\",\"zone\":\"{}\",\"version\":{},\"slots\":16,\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq_no\":0,\"born\":{}}}",
            quote(&self.service), self.address, self.zone, quote(self.version), self.born
        )
    }
}

pub struct Deployment {
    pub store: Store,
    pub instances: Vec<Instance>,
    pub runners: Arc<Mutex<Vec<Runner>>>,
    folder: PathBuf,
    program: PathBuf,
}

impl Deployment {
    /// Prepares `count` instances without starting them; `hosted` is added to that part of their
    /// settings, by machine.
    pub fn new(count: usize, hosted: impl Fn(usize) -> String) -> Self {
        let store = Store::new();
        let name = format!("lentil-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).expect("a temporary folder");
        let mut instances = Vec::new();
        for machine in 0..count {
            let at = store.listen(machine);
            let (front, ready) = (free_address(), free_address());
            let name = format!("edge-{machine}");
            let zone = ZONES[machine % ZONES.len()];
            let text = format!(
                r#"{{"instance":"{name}","region":"vestland","zone":"{zone}","listen":"{front}",
"mesh":{{"listen":"{}","key":"mesh of the store of this case","beat":500,"relay":"{}"}},
"platform":{{"store":"{at}","list":"{at}"}},
"control":{{"lease":4000,"margin":500,"period":200}},
"hosted":{{"ready":"{ready}","metrics":"{}",
"zones":{{"bergen-hall":"vestland","flam-hall":"vestland","alesund-hall":"vestland"}},
"resends":{{"ratio":0.2,"slack":52,"window":10}},"drain":2000,{}"grace":8}}}}"#,
                free_address(),
                free_address(),
                free_address(),
                hosted(machine),
            );
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, text).expect("settings");
            let log = folder.join(format!("{name}.log"));
            instances.push(Instance { name, machine, front, ready, settings, log, process: None });
        }
        let runners: Arc<Mutex<Vec<Runner>>> = Arc::default();
        let (all, writer) = (runners.clone(), store.clone());
        thread::spawn(move || loop {
            all.lock().unwrap().iter_mut().for_each(|runner| check_in(runner, &writer));
            thread::sleep(Duration::from_millis(50));
        });
        let program = std::env::current_exe().expect("the path of this program");
        Self { store, instances, runners, folder, program }
    }

    /// Starts a runner as a process; it registers itself.
    pub fn start_runner(&self, id: &str, service: &str, work_ms: u64) {
        self.start_version(id, service, "v1", work_ms);
    }

    /// Starts a runner of a version of the service's software.
    pub fn start_version(&self, id: &str, service: &str, version: &'static str, work_ms: u64) {
        let (address, born) = (free_address(), unix_ms());
        let process = Command::new(&self.program)
            .args(["runner", &address.to_string(), id, service])
            .args([born.to_string(), work_ms.to_string()])
            .arg(self.notes())
            .arg(version)
            .stdin(Stdio::null())
            .spawn()
            .expect("a runner starts");
        let mut runners = self.runners.lock().unwrap();
        let zone = ZONES[runners.len() % ZONES.len()];
        runners.push(Runner {
            id: id.to_owned(),
            service: service.to_owned(),
            version,
            address,
            zone,
            born,
            process: Some(process),
            written: None,
            ended: None,
            gone: false,
            replaced: false,
        });
    }

    /// Returns the addresses of all runners.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.runners.lock().unwrap().iter().map(|runner| runner.address).collect()
    }

    fn notes(&self) -> PathBuf {
        self.folder.join("runs")
    }

    /// Returns the runners that ended by themselves, and when, each once after its time in `down`, which
    /// the successors of the first runners take over.
    pub fn take_ended_runners(&self, down: &[Duration]) -> Vec<(String, Instant)> {
        let mut found = Vec::new();
        for runner in self.runners.lock().unwrap().iter_mut() {
            let place = runner.id.split('-').nth(1).and_then(|place| place.parse().ok());
            let down = down[place.unwrap_or(0usize) % down.len()];
            if runner.process.as_mut().is_some_and(|p| !matches!(p.try_wait(), Ok(None))) {
                runner.process = None;
                runner.ended = Some(Instant::now());
            }
            let ended = runner.ended.filter(|at| at.elapsed() >= down && !runner.replaced);
            if let Some(at) = ended {
                runner.replaced = true;
                found.push((runner.id.clone(), at));
            }
        }
        found
    }

    /// Returns when runners began to run the request that crashes them, with their ids and its.
    pub fn runs(&self) -> Vec<(Instant, String, String)> {
        let (now, unix) = (Instant::now(), unix_ms());
        let text = fs::read_to_string(self.notes()).unwrap_or_default();
        let run = |line: &str| {
            let mut fields = line.split(' ');
            let age = unix.saturating_sub(fields.next()?.parse().ok()?);
            let at = now.checked_sub(Duration::from_millis(age))?;
            Some((at, fields.next()?.to_owned(), fields.next()?.to_owned()))
        };
        text.lines().filter_map(run).collect()
    }

    /// Kills runners at the same moment.
    pub fn kill_runners(&self, ids: &[String]) {
        let mut runners = self.runners.lock().unwrap();
        let chosen = |runner: &&mut Runner| ids.contains(&runner.id);
        for process in runners.iter_mut().filter(chosen).filter_map(|r| r.process.as_mut()) {
            let _ = process.kill();
        }
        for runner in runners.iter_mut().filter(chosen) {
            if let Some(mut process) = runner.process.take() {
                let _ = process.wait();
                runner.ended = Some(Instant::now());
            }
        }
    }

    /// Waits until the first `count` instances are ready; `false` if that takes longer than `limit`.
    pub fn wait_ready(&self, count: usize, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        self.instances[..count].iter().all(|instance| {
            while !instance.is_ready() {
                if Instant::now() >= end {
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
            true
        })
    }

    /// Copies the logs of the instances to `folder` if `KEEP_LOGS` is set.
    fn keep_logs(&self) {
        let Ok(folder) = std::env::var("KEEP_LOGS") else { return };
        for instance in &self.instances {
            let name = format!("{}.log", instance.name);
            let _ = fs::copy(&instance.log, PathBuf::from(&folder).join(name));
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.instances.iter_mut().for_each(Instance::kill);
        let ids: Vec<String> = self.runners.lock().unwrap().iter().map(|r| r.id.clone()).collect();
        self.kill_runners(&ids);
        self.keep_logs();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn check_in(runner: &mut Runner, store: &Store) {
    let key = format!("servers/{}", runner.id);
    if let Some(ended) = runner.ended {
        if !runner.gone && ended.elapsed() >= CHECK_IN * 3 {
            runner.gone = true;
            store.remove(&key);
        }
        return;
    }
    if runner.written.is_none_or(|at| at.elapsed() >= CHECK_IN) {
        runner.written = Some(Instant::now());
        store.put(&key, &runner.entry());
    }
}

/// Host of most routes.
const HOST: &str = "ficu95.example";

static REQUESTS: AtomicU64 = AtomicU64::new(1);

/// Returns an id and the head of a request for a channel that is kept.
pub fn request_text(method: &str, path: &str, size: usize, deadline: Duration) -> (String, String) {
    let id = format!("{:016x}", 0x9c41_0000_0000_0000 + REQUESTS.fetch_add(1, Ordering::Relaxed));
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {size}\r\n\r\n",
        deadline.as_millis()
    );
    (id, text)
}

/// Sends one request attempt with an id of its own; returns the id and the answer.
pub fn request(
    at: SocketAddr,
    call: (&str, &str),
    headers: &str,
    deadline: Duration,
) -> (String, io::Result<Message>) {
    request_to(at, HOST, call, headers, deadline)
}

/// The same for a host of its own.
pub fn request_to(
    at: SocketAddr,
    host: &str,
    (method, path): (&str, &str),
    headers: &str,
    deadline: Duration,
) -> (String, io::Result<Message>) {
    let id = format!("{:016x}", 0x9c41_0000_0000_0000 + REQUESTS.fetch_add(1, Ordering::Relaxed));
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n{headers}Content-Length: 0\r\nConnection: close\r\n\r\n",
        deadline.as_millis()
    );
    let answer = call(at, &text, deadline + Duration::from_millis(500));
    (id, answer)
}

/// Returns the configuration of one route and its services, as the operator writes it.
pub fn config(version: u64, route: &str, services: &[&str], rest: &str) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|s| format!("{{\"name\":\"{s}\",\"health_path\":\"/healthz\",\"max_connections\":200,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{route}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}{rest}}}",
        services.join(",")
    )
}

/// Returns a route of idempotent requests.
pub fn route(name: &str, prefix: &str, service: &str, public: bool) -> String {
    route_of(HOST, name, prefix, service, public)
}

/// The same for a host of its own.
pub fn route_of(host: &str, name: &str, prefix: &str, service: &str, public: bool) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"{prefix}\",\"route_type\":\"idempotent\",\"timeout_ms\":2000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2,\"public\":{public}}}"
    )
}
