use {
    super::{listed, Site},
    lentil_core::{
        ids::Millis,
        settings::{
            ClaimSettings, ControlSettings, LimitSettings, MeshSettings, PlatformSettings, Settings,
        },
    },
    lentil_node::{
        app::App,
        daemon::{build_ports, run_instance, Sockets},
        ports::ListKind,
    },
    std::{
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, task::JoinHandle, time::sleep},
};

const ZONES: [&str; 4] = ["ams-a", "ams-b", "ams-c", "ams-d"];

impl Site {
    /// Settings of entry instance `i`, with free ports.
    ///
    /// # Panics
    /// Never: the names are good.
    pub fn settings(&self, i: usize) -> Settings {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let control = ControlSettings {
            lease: Millis(3_000),
            margin: Millis(500),
            period: Millis(200),
            order: Millis(2_000),
        };
        Settings {
            instance: format!("a{i}").parse().expect("the name is good"),
            region: "nl".parse().expect("the name is good"),
            zone: ZONES[i % ZONES.len()].parse().expect("the name is good"),
            listen: any,
            mesh: MeshSettings {
                listen: any,
                key: "0123456789abcdef".to_owned(),
                beat: Millis(100),
            },
            platform: PlatformSettings {
                store: self.kv_host.address,
                list: self.list_host.address,
                weights: Some(self.weights_host.address),
                timeout: Millis(1_000),
            },
            limits: LimitSettings::default(),
            control,
            claims: ClaimSettings::default(),
            hosted: None,
            log: "warn".to_owned(),
        }
    }

    /// Starts entry instance `i` in this process and lists it.
    ///
    /// # Panics
    /// If its sockets can't be bound.
    pub async fn instance(&self, i: usize) -> Instance {
        self.instance_with(self.settings(i)).await
    }

    /// Starts an entry instance with given settings in this process and lists it.
    ///
    /// # Panics
    /// If its sockets can't be bound.
    pub async fn instance_with(&self, mut settings: Settings) -> Instance {
        let sockets = Sockets::bind(&mut settings).await.expect("free ports can be bound");
        let ports = build_ports(&settings);
        let id = settings.instance.to_string();
        self.list.put(listed(&id, ListKind::Entry, settings.mesh.listen));
        let app = Arc::new(App::new(settings, ports));
        let (stop, stopped) = oneshot::channel();
        let stopped = async move {
            let _ = stopped.await;
        };
        let task = tokio::spawn(run_instance(app.clone(), sockets, stopped));
        Instance { app, stop: Some(stop), task }
    }

    /// Starts `count` entry instances in this process and waits until all are ready.
    pub async fn instances(&self, count: usize) -> Vec<Instance> {
        let mut instances = Vec::new();
        for i in 0..count {
            instances.push(self.instance(i).await);
        }
        for instance in &instances {
            instance.ready().await;
        }
        instances
    }
}

/// An entry instance that runs in this process.
pub struct Instance {
    /// Its tables.
    pub app: Arc<App>,
    stop: Option<oneshot::Sender<()>>,
    task: JoinHandle<()>,
}

impl Instance {
    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.app.settings.listen
    }

    /// Waits until it is ready and knows the state of its engines.
    ///
    /// # Panics
    /// After a minute.
    pub async fn ready(&self) {
        let app = self.app.clone();
        eventually("an instance gets ready", move || {
            let known = |e: &lentil_core::fleet::EngineView| e.boot.0 > 0;
            app.ready() && app.fleet().engines.iter().any(known)
        })
        .await;
    }

    /// Begins a planned stop.
    pub fn stop(&mut self) {
        if let Some(stop) = self.stop.take() {
            let _ = stop.send(());
        }
    }

    /// Waits for the end of a planned stop.
    pub async fn stopped(self) {
        let _ = self.task.await;
    }
}

/// Waits until something holds.
///
/// # Panics
/// If it does not hold within a minute.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(60);
    while !holds() {
        assert!(Instant::now() < end, "not within a minute: {what}");
        sleep(Duration::from_millis(20)).await;
    }
}
