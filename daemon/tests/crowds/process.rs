use {
    crate::platform::{config, Caller, Deployment},
    lentil_fakes::deployment::free_address,
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    serde_json::{json, Value},
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command},
        sync::{
            atomic::{AtomicU64, Ordering},
            Arc,
        },
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
};

/// Memory of the smallest machine, in bytes.
pub const MAX_MEMORY: u64 = 120_000_000;
/// Largest request body that the configuration allows.
pub const MAX_BODY: usize = 4 << 20;
/// File descriptors of a process whose descriptors are not what its test exhausts.
pub const MANY_DESCRIPTORS: u64 = 8_192;
/// How often the memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// How long an ordinary caller tries again at most.
const PATIENCE: Duration = Duration::from_secs(30);

/// An instance that runs as a process with a limited number of file descriptors.
pub struct Process {
    pub front: SocketAddr,
    pub probe: SocketAddr,
    pub metrics: SocketAddr,
    pub relay: SocketAddr,
    child: Child,
    folder: PathBuf,
    peak: Arc<AtomicU64>,
    sampler: JoinHandle<()>,
}

/// Configuration that allows bodies of [`MAX_BODY`].
pub fn crowd_config() -> Value {
    let mut config = config(3);
    config["limits"]["max_body_bytes"] = json!(MAX_BODY);
    config
}

/// Starts an instance of the real program for `deployment` and waits until it is ready.
pub async fn start_instance(deployment: &Deployment, descriptors: u64) -> Process {
    let [front, probe, metrics, mesh, relay] = std::array::from_fn(|_| free_address());
    let store = deployment.store.address;
    let settings = json!({
        "instance": format!("e-{}", front.port()), "region": "r", "zone": "z", "listen": front,
        "mesh": {"listen": mesh, "key": "0123456789abcdef", "beat": 100, "relay": relay},
        "platform": {"store": store, "list": store},
        "hosted": {"ready": probe, "metrics": metrics, "zones": {"z": "r"},
            "resends": {"ratio": 0.2, "slack": 50, "window": 10}, "drain": 2000, "grace": 6},
    });
    let process = Process::start(&settings, [front, probe, metrics, relay], descriptors);
    process.wait_ready("GET /v1/readyz HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n").await;
    process
}

fn status_field(pid: u32, name: &str) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|l| l.strip_prefix(name));
    let kilobytes = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}

/// Bytes that the sockets at these local ports have received and that nobody has read.
fn unread_bytes(ports: &[u16]) -> u64 {
    let text = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let unread = |line: &str| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let port = u16::from_str_radix(fields.get(1)?.split_once(':')?.1, 16).ok()?;
        // The queue of a listening socket counts connections.
        let listens = fields.get(3) == Some(&"0A");
        let queue = u64::from_str_radix(fields.get(4)?.split_once(':')?.1, 16).ok()?;
        (ports.contains(&port) && !listens).then_some(queue)
    };
    text.lines().skip(1).filter_map(unread).sum()
}

impl Process {
    /// Starts the program with `settings`; the addresses are those for callers, probes, metrics and
    /// relayed requests.
    pub fn start(settings: &Value, addresses: [SocketAddr; 4], descriptors: u64) -> Self {
        let [front, probe, metrics, relay] = addresses;
        let name = format!("lentil-crowd-{}-{}", std::process::id(), front.port());
        let folder = std::env::temp_dir().join(name);
        fs::create_dir_all(&folder).unwrap();
        let file = folder.join("settings.json");
        fs::write(&file, settings.to_string()).unwrap();
        let log = fs::File::create(folder.join("log")).unwrap();
        let limited = format!("ulimit -n {descriptors}; exec \"$0\" --settings \"$1\"");
        let child = Command::new("sh")
            .args(["-c", &limited, env!("CARGO_BIN_EXE_lentilgrade")])
            .arg(&file)
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let (peak, pid) = (Arc::new(AtomicU64::new(0)), child.id());
        let ports = addresses.map(|a| a.port());
        let highest = peak.clone();
        let sampler = tokio::spawn(async move {
            loop {
                let held = status_field(pid, "VmRSS:") + unread_bytes(&ports);
                highest.fetch_max(held, Ordering::Relaxed);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self { front, probe, metrics, relay, child, folder, peak, sampler }
    }

    /// Waits until this request gets a 200 at the address for probes.
    pub async fn wait_ready(&self, probe: &str) {
        let end = Instant::now() + PATIENCE;
        loop {
            if let Ok(stream) = tokio::net::TcpStream::connect(self.probe).await {
                let response = Caller::from(stream).call(probe).await;
                if response.is_some_and(|r| r.status() == 200) {
                    return;
                }
            }
            assert!(Instant::now() < end, "the instance is not ready");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Number of open file descriptors.
    pub fn descriptors(&self) -> usize {
        fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Checks that the process runs and never held more than [`MAX_MEMORY`], bytes that it has not
    /// read from its sockets included.
    pub fn check(&mut self) {
        let ended = self.child.try_wait().unwrap();
        let resident = status_field(self.child.id(), "VmHWM:");
        let peak = self.peak.load(Ordering::Relaxed).max(resident);
        println!("peak {} MB, {} descriptors", peak / 1_000_000, self.descriptors());
        assert!(ended.is_none(), "the process ended: {ended:?}");
        assert!(peak <= MAX_MEMORY, "the process held {} MB", peak / 1_000_000);
    }

    /// Stops the process and waits until it has ended; returns its log.
    pub async fn stop(&mut self) -> String {
        kill(Pid::from_raw(self.child.id() as i32), Signal::SIGTERM).unwrap();
        let end = Instant::now() + PATIENCE;
        while self.child.try_wait().unwrap().is_none() {
            assert!(Instant::now() < end, "the process does not end");
            sleep(Duration::from_millis(50)).await;
        }
        fs::read_to_string(self.folder.join("log")).unwrap()
    }

    /// Sends one request on new connections until it is served.
    pub async fn serve_ordinary(&self, request: &str) {
        let end = Instant::now() + PATIENCE;
        let mut last = None;
        while Instant::now() < end {
            if let Ok(stream) = tokio::net::TcpStream::connect(self.front).await {
                let response = super::exchange(stream, request.as_bytes()).await;
                last = response.map(|r| r.status());
                if last == Some(200) {
                    return;
                }
            }
            sleep(Duration::from_millis(100)).await;
        }
        panic!("an ordinary request is not served: last status {last:?}");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.sampler.abort();
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
