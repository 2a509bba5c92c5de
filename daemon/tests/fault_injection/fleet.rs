use {
    crate::platform::{config, Message, Mode, Proxy, Runner, Store, View},
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
    tokio::{task::JoinSet, time::sleep},
};

/// A process of the real program and its proxy to the store.
pub struct Instance {
    pub front: SocketAddr,
    /// Address of the readiness probe.
    probe: SocketAddr,
    pub store_link: Proxy,
    /// Proxies of its own before the targets, in the same order.
    pub target_links: Vec<Proxy>,
    /// Addresses of the targets as it sees them: those of these proxies.
    view: View,
    settings: PathBuf,
    log: PathBuf,
    program: Program,
    child: Option<Child>,
}

/// The program that an instance runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Program {
    /// The build under test.
    Own,
    /// The program at `LENTIL_OTHER`.
    Other,
}

impl Program {
    fn path(self) -> PathBuf {
        match self {
            Self::Own => PathBuf::from(env!("CARGO_BIN_EXE_lentilgrade")),
            Self::Other => other_program().expect("LENTIL_OTHER is set"),
        }
    }
}

/// The program with which instances of the build under test run side by side, if there is one.
pub fn other_program() -> Option<PathBuf> {
    std::env::var_os("LENTIL_OTHER").map(PathBuf::from)
}

/// Instances and the fakes around them.
pub struct Fleet {
    pub store: Store,
    pub targets: Vec<Runner>,
    /// Proxies before the targets, in the same order.
    pub links: Vec<Proxy>,
    pub instances: Vec<Instance>,
    pub config_version: u64,
    /// Holds the settings and logs of the instances.
    folder: PathBuf,
    /// Number in the id of the last target added.
    last_target: u64,
    /// Tasks that restart crashed targets.
    restarts: JoinSet<()>,
}

/// Software versions that the targets have in turn.
pub const SOFTWARE: [&str; 2] = ["v1", "v1.1"];
/// Time between two events of a stream; streams are in progress as faults begin.
const EVENT_INTERVAL: Duration = Duration::from_millis(15);
/// Time that a crashed target is down.
const DOWN_TIME: Duration = Duration::from_millis(1_500);

impl Instance {
    fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).unwrap();
        let mut command = Command::new(self.program.path());
        command.arg("--settings").arg(&self.settings).stdout(log);
        self.child = Some(command.spawn().unwrap());
    }

    pub fn signal(&self, signal: Signal) {
        if let Some(child) = &self.child {
            let _ = kill(Pid::from_raw(child.id() as i32), signal);
        }
    }

    /// Sends the process a signal, waits up to 7 s for its exit, kills it if need be, and starts a
    /// new one.
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

    /// Replaces the process by one of another program, as an upgrade does.
    pub async fn replace(&mut self, program: Program) {
        self.program = program;
        self.restart(Signal::SIGTERM).await;
    }

    /// Cuts the instance off from all targets. With `reset` its open connections end.
    pub fn cut_off(&self, mode: Mode, reset: bool) {
        for link in &self.target_links {
            link.set_mode(mode);
            if reset {
                link.reset_connections();
            }
        }
    }

    /// Ends a cut from the targets.
    pub fn restore_targets(&self) {
        // A connection that lost bytes would wait forever for the rest.
        self.cut_off(Mode::Pass, true);
    }

    async fn is_ready(&self) -> bool {
        let probe = self.probe;
        let request = lentil_node::http::request(hyper::Method::GET, probe, "/readyz", "");
        let response = lentil_node::http::call(probe, request, Duration::from_millis(300)).await;
        response.is_ok_and(|r| r.status == 200)
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
            config_version: 1,
            folder,
            last_target: 1,
            restarts: JoinSet::new(),
        };
        for _ in 0..targets {
            fleet.add_target().await;
        }
        fleet.store.put("op/config", config(1).to_string());
        for i in 0..instances {
            let instance = fleet.start_instance(i).await;
            fleet.instances.push(instance);
        }
        fleet.wait_ready().await;
        fleet
    }

    async fn start_instance(&self, i: usize) -> Instance {
        let [front, probe, metrics, mesh, relay] = std::array::from_fn(|_| free_address());
        let view = View::default();
        let mut target_links = Vec::new();
        for link in &self.links {
            target_links.push(own_link(&view, link).await);
        }
        let store_link = Proxy::start(self.store.start_view(view.clone()).await).await;
        let settings = json!({
            "instance": format!("e-{i}"), "region": "r", "zone": "z", "listen": front,
            "mesh": {"listen": mesh, "key": "0123456789abcdef", "beat": 100, "relay": relay},
            "platform": {"store": store_link.address, "list": store_link.address},
            "hosted": {"ready": probe, "metrics": metrics, "zones": {"z": "r"},
                "resends": {"ratio": 0.2, "slack": 50, "window": 10}, "drain": 2000, "grace": 6},
        });
        let file = self.folder.join(format!("e-{i}.json"));
        fs::write(&file, settings.to_string()).unwrap();
        let log = self.folder.join(format!("e-{i}.log"));
        let program = other_program().map_or(Program::Own, |_| Program::Other);
        let mut instance = Instance {
            front,
            probe,
            store_link,
            target_links,
            view,
            settings: file,
            log,
            program,
            child: None,
        };
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

    /// Starts a target behind a proxy and registers it as ready.
    pub async fn add_target(&mut self) {
        self.last_target += 1;
        let runner = Runner::start(&format!("i-{}", self.last_target)).await;
        runner.set_software(SOFTWARE[self.last_target as usize % SOFTWARE.len()]);
        runner.set_event_interval(EVENT_INTERVAL);
        let link = Proxy::start(runner.address).await;
        self.restarts.spawn(restart_crashed(runner.clone(), link.address, self.store.clone()));
        for instance in &mut self.instances {
            instance.target_links.push(own_link(&instance.view, &link).await);
        }
        self.targets.push(runner);
        self.links.push(link);
        self.register(self.targets.len() - 1, "ready");
    }

    /// Writes the directory entry of a target, with the address of its proxy.
    pub fn register(&self, target: usize, state: &str) {
        let (runner, link) = (&self.targets[target], &self.links[target]);
        register(runner, link.address, state, &self.store);
    }

    /// Writes the same routes under a newer version.
    pub fn rewrite_config(&mut self) {
        self.config_version += 3;
        self.store.put("op/config", config(self.config_version).to_string());
    }

    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|i| i.front).collect()
    }

    /// Ends all faults and starts instances that are not running.
    pub async fn end_faults(&mut self) {
        self.store.set_down(false);
        for link in &self.links {
            link.set_mode(Mode::Pass);
            // A connection that lost bytes would wait forever for the rest.
            link.reset_connections();
        }
        for instance in &mut self.instances {
            instance.store_link.set_mode(Mode::Pass);
            instance.restore_targets();
            instance.signal(Signal::SIGCONT);
            if !matches!(instance.child.as_mut().map(Child::try_wait), Some(Ok(None))) {
                instance.spawn();
            }
        }
    }

    /// Requests that all targets executed.
    pub fn runs(&self) -> Vec<Message> {
        self.targets.iter().flat_map(Runner::runs).collect()
    }

    /// When requests that crash targets reached them, in order.
    pub fn poisonings(&self) -> Vec<Instant> {
        let mut times: Vec<Instant> = self.targets.iter().flat_map(Runner::poisonings).collect();
        times.sort_unstable();
        times
    }

    /// When requests with the part of a prompt that crashes targets reached them, in order.
    pub fn taintings(&self) -> Vec<Instant> {
        let mut times: Vec<Instant> = self.targets.iter().flat_map(Runner::taintings).collect();
        times.sort_unstable();
        times
    }

    /// Kills all instances at once and starts them again. Meanwhile the targets that have the software
    /// `leaving` leave without notice; a target of each software is added before.
    pub async fn kill_all(&mut self, leaving: Option<&str>) {
        for _ in SOFTWARE {
            self.add_target().await;
        }
        self.instances.iter().for_each(|instance| instance.signal(Signal::SIGKILL));
        for runner in self.targets.iter().filter(|r| r.software().as_deref() == leaving) {
            self.store.remove(&format!("servers/{}", runner.id));
        }
        for instance in &mut self.instances {
            instance.restart(Signal::SIGKILL).await;
        }
    }

    /// Folder with the settings and logs of the instances.
    pub fn folder(&self) -> &PathBuf {
        &self.folder
    }

    /// Kills all instances.
    pub fn kill_instances(mut self) {
        self.instances.clear();
    }
}

/// Starts a proxy of one instance before the proxy of a target.
async fn own_link(view: &View, link: &Proxy) -> Proxy {
    let own = Proxy::start(link.address).await;
    view.replace(link.address, own.address);
    own
}

fn register(runner: &Runner, address: SocketAddr, state: &str, store: &Store) {
    let entry = json!({
        "service": "s", "address": address, "zone": "z", "version": runner.software(), "slots": 8,
        "state": state, "cold_remaining_ms": 0, "seq_no": 1, "born": runner.born(),
    });
    store.put(&format!("servers/{}", runner.id), entry.to_string());
}

/// Restarts a target each time that it has crashed; a draining one is then ready again.
async fn restart_crashed(runner: Runner, address: SocketAddr, store: Store) {
    loop {
        if runner.crashes().last().is_some_and(|at| runner.is_down() && at.elapsed() >= DOWN_TIME) {
            runner.restart().await;
            register(&runner, address, "ready", &store);
        }
        sleep(Duration::from_millis(50)).await;
    }
}
