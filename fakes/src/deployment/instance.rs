use {
    super::{live_entry, Deployment},
    lentil_core::{
        ids::Millis,
        settings::{
            ClaimSettings, ControlSettings, LimitSettings, MeshSettings, PlatformSettings, Settings,
        },
    },
    lentil_node::{
        app::App,
        daemon::{build_ports, run_instance, Sockets},
        ports::{ListKind, ListedInstance},
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, task::JoinHandle, time::sleep},
};

/// Availability zones, assigned to the instances in turn.
const ZONES: [&str; 4] = ["ams-a", "ams-b", "ams-c", "ams-d"];

impl Deployment {
    /// Settings of entry instance `i`, which listens on ports chosen by the kernel.
    ///
    /// # Panics
    /// Never: all names are valid.
    pub fn settings(&self, i: usize) -> Settings {
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let control = ControlSettings {
            lease: Millis(3_000),
            margin: Millis(500),
            period: Millis(200),
            order: Millis(2_000),
        };
        Settings {
            instance: format!("a{i}").parse().expect("the name is valid"),
            region: "nl".parse().expect("the name is valid"),
            zone: ZONES[i % ZONES.len()].parse().expect("the name is valid"),
            listen: any_port,
            mesh: MeshSettings {
                listen: any_port,
                key: "0123456789abcdef".to_owned(),
                beat: Millis(100),
                relay: None,
            },
            platform: PlatformSettings {
                store: self.kv_server.address,
                list: self.list_server.address,
                weights: Some(self.weights_server.address),
                timeout: Millis(1_000),
            },
            limits: LimitSettings::default(),
            control,
            claims: ClaimSettings::default(),
            hosted: None,
            log: "warn".to_owned(),
        }
    }

    /// Starts entry instance `i` in this process, and registers it in the instance list.
    ///
    /// # Panics
    /// If its sockets can't be bound.
    pub async fn start_instance(&self, i: usize) -> Instance {
        self.start_instance_with(self.settings(i)).await
    }

    /// Starts an entry instance with the given settings in this process, and registers it in the
    /// instance list.
    ///
    /// # Panics
    /// If its sockets can't be bound.
    pub async fn start_instance_with(&self, mut settings: Settings) -> Instance {
        let sockets = Sockets::bind(&mut settings).await.expect("free ports can be bound");
        let ports = build_ports(&settings);
        let id = settings.instance.to_string();
        let entry = live_entry(&id, ListKind::Entry, settings.mesh.listen);
        let app = Arc::new(App::new(settings, ports));
        let announced = Some(app.announcement());
        self.list.put(ListedInstance { announced, ..entry });
        let (stop, stopped) = oneshot::channel();
        let stopped = async move {
            let _ = stopped.await;
        };
        let task = tokio::spawn(run_instance(app.clone(), sockets, stopped));
        Instance { app, stop: Some(stop), task }
    }

    /// Starts `count` entry instances in this process and waits until all are ready.
    pub async fn start_instances(&self, count: usize) -> Vec<Instance> {
        let mut instances = Vec::new();
        for i in 0..count {
            instances.push(self.start_instance(i).await);
        }
        for instance in &instances {
            instance.wait_ready().await;
        }
        instances
    }
}

/// An entry instance that runs in this process.
pub struct Instance {
    /// Shared state of the instance.
    pub app: Arc<App>,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Instance {
    /// Address on which the instance serves callers.
    pub fn address(&self) -> SocketAddr {
        self.app.settings.listen
    }

    /// Waits until the instance is ready and has seen a report of an engine.
    ///
    /// # Panics
    /// If that takes more than a minute.
    pub async fn wait_ready(&self) {
        let app = self.app.clone();
        eventually("an instance is ready", move || {
            let known = |e: &lentil_core::fleet::EngineView| e.boot.0 > 0;
            app.ready() && app.fleet().engines.iter().any(known)
        })
        .await;
    }

    /// Starts a planned stop.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Waits for the end of a planned stop.
    pub async fn wait_stopped(self) {
        let _ = self.task.await;
    }
}

/// Polls a condition until it holds.
///
/// # Panics
/// If it does not hold within a minute; the message names it by `what`.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !holds() {
        assert!(Instant::now() < end, "not within a minute: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
