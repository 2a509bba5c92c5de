use {
    super::proxy::{Mode, Proxy},
    crate::platform::{config, Message, Runner, Store},
    lentil_fakes::deployment::free_address,
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    serde_json::json,
    std::{
        fs::{self, File},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command},
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// One real process with its proxy to the store.
pub struct Instance {
    pub front: SocketAddr,
    ready: SocketAddr,
    pub store: Proxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

/// Processes and the stand-ins around them.
pub struct Fleet {
    pub store: Store,
    pub targets: Vec<Runner>,
    pub links: Vec<Proxy>,
    pub instances: Vec<Instance>,
    pub version: u64,
    folder: PathBuf,
    born: u64,
}

impl Instance {
    fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilgrade"));
        command.arg("--settings").arg(&self.settings).stdout(log);
        self.child = Some(command.spawn().unwrap());
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Ends the process with a signal, waits until it is gone, and starts it anew.
    pub async fn restart(&mut self, signal: Signal) {
        self.signal(signal);
        let end = Instant::now() + Duration::from_secs(7);
        while let Some(child) = &mut self.child {
            if matches!(child.try_wait(), Ok(Some(_))) {
                break;
            }
            if Instant::now() > end {
                let _ = child.kill();
                let _ = child.wait();
                break;
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.spawn();
    }

    async fn is_ready(&self) -> bool {
        let at = self.ready;
        let request = lentil_node::http::request(hyper::Method::GET, at, "/readyz", "");
        let answer = lentil_node::http::call(at, request, Duration::from_millis(300)).await;
        answer.is_ok_and(|a| a.status == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Fleet {
    pub async fn start(seed: u64, instances: usize, targets: usize) -> Self {
        let folder =
            std::env::temp_dir().join(format!("lentil-soak-{}-{seed}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let store = Store::start().await;
        let mut fleet = Self {
            store,
            targets: Vec::new(),
            links: Vec::new(),
            instances: Vec::new(),
            version: 1,
            folder,
            born: 1,
        };
        for _ in 0..targets {
            fleet.add_target().await;
        }
        fleet.store.put("op/config", config(1).to_string());
        for i in 0..instances {
            let instance = fleet.instance(i).await;
            fleet.instances.push(instance);
        }
        fleet.wait_ready().await;
        fleet
    }

    async fn instance(&self, i: usize) -> Instance {
        let [front, ready, metrics, mesh] = std::array::from_fn(|_| free_address());
        let store = Proxy::start(self.store.address).await;
        let settings = json!({
            "instance": format!("e-{i}"), "region": "r", "zone": "z", "listen": front,
            "mesh": {"listen": mesh, "key": "0123456789abcdef", "beat": 100},
            "platform": {"store": store.address, "list": store.address},
            "hosted": {"ready": ready, "metrics": metrics, "zones": {"z": "r"},
                "resends": {"ratio": 0.2, "slack": 50, "window": 10}, "drain": 2000, "grace": 6},
        });
        let file = self.folder.join(format!("e-{i}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        let log = self.folder.join(format!("e-{i}.log"));
        let mut instance = Instance { front, ready, store, settings: file, log, child: None };
        instance.spawn();
        instance
    }

    async fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(20);
        for instance in &self.instances {
            while !instance.is_ready().await {
                assert!(Instant::now() < end, "an instance is not ready within 20 s");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }

    /// Adds a target behind a proxy and enters it.
    pub async fn add_target(&mut self) {
        self.born += 1;
        let runner = Runner::start(&format!("i-{}", self.born)).await;
        let link = Proxy::start(runner.address).await;
        self.targets.push(runner);
        self.links.push(link);
        self.enter(self.targets.len() - 1, "ready");
    }

    pub fn enter(&self, target: usize, state: &str) {
        let (runner, link) = (&self.targets[target], &self.links[target]);
        let entry = json!({
            "service": "s", "address": link.address, "zone": "z", "version": "v1", "slots": 8,
            "state": state, "cold_remaining_ms": 0, "seq_no": 1, "born": 1,
        });
        self.store.put(&format!("servers/{}", runner.id), entry.to_string());
    }

    /// Changes the configuration without changing what it means.
    pub fn configure(&mut self) {
        self.version += 3;
        self.store.put("op/config", config(self.version).to_string());
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.front).collect()
    }

    /// Ends all faults.
    pub async fn heal(&mut self) {
        self.store.down(false);
        for link in &self.links {
            link.set(Mode::Pass);
            // What was lost on the way leaves connections that wait for ever.
            link.reset();
        }
        for instance in &mut self.instances {
            instance.store.set(Mode::Pass);
            instance.signal(Signal::SIGCONT);
            if !matches!(instance.child.as_mut().map(Child::try_wait), Some(Ok(None))) {
                instance.spawn();
            }
        }
    }

    /// What each target ran.
    pub fn runs(&self) -> Vec<Message> {
        self.targets.iter().flat_map(Runner::runs).collect()
    }

    pub fn logs(&self) -> &PathBuf {
        &self.folder
    }

    /// Ends the processes.
    pub fn end(mut self) {
        self.instances.clear();
    }
}
