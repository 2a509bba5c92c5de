use {
    super::{listed, Site},
    lentil_core::settings::Settings,
    lentil_node::ports::ListKind,
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    std::{
        fs,
        net::{SocketAddr, TcpListener, UdpSocket},
        path::PathBuf,
        process::{Child, Command},
        sync::{
            atomic::{AtomicU32, Ordering},
            Mutex, MutexGuard, PoisonError,
        },
        time::{Duration, Instant},
    },
    tokio::time::sleep,
};

/// An entry instance that runs as a process of its own.
pub struct Process {
    /// Its settings.
    pub settings: Settings,
    child: Mutex<Child>,
    file: PathBuf,
}

/// Ports that are handed out: below those that the kernel gives to outgoing connections, which
/// could take a port between its choice and its use.
const PORTS: std::ops::Range<u32> = 12_000..32_000;
/// Ports between the first ones of two processes with neighbouring ids.
const APART: u32 = 97;

/// An address on loopback that nothing listens on; each call gives another one.
///
/// # Panics
/// If all ports are taken.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = PORTS.end - PORTS.start;
    for _ in PORTS {
        let number = std::process::id() * APART + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = (PORTS.start + number % count) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if free {
            return address;
        }
    }
    panic!("no port on loopback is free");
}

impl Site {
    /// Starts entry instance `i` as a process and lists it. `command` gives the program for a
    /// settings file.
    ///
    /// # Panics
    /// If it can't be started.
    pub fn process(&self, i: usize, command: impl Fn(&PathBuf) -> Command) -> Process {
        let mut settings = self.settings(i);
        settings.listen = free_address();
        settings.mesh.listen = free_address();
        let name = format!("lentil-{}-{}.json", settings.instance, settings.listen.port());
        let file = std::env::temp_dir().join(name);
        let text = serde_json::to_string_pretty(&settings).expect("settings can be written");
        fs::write(&file, text).expect("the folder for temporary files can be written");
        let child = command(&file).spawn().expect("the program can be started");
        let id = settings.instance.to_string();
        self.list.put(listed(&id, ListKind::Entry, settings.mesh.listen));
        Process { settings, child: Mutex::new(child), file }
    }
}

impl Process {
    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where callers reach it.
    pub fn address(&self) -> SocketAddr {
        self.settings.listen
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        // A process that has ended needs none.
        let _ = kill(Pid::from_raw(self.child().id() as i32), signal);
    }

    /// Whether the balancer's probe finds it ready.
    pub async fn is_ready(&self) -> bool {
        let at = self.address();
        let request = lentil_node::http::request(hyper::Method::GET, at, "/readyz", "");
        let answer = lentil_node::http::call(at, request, Duration::from_millis(300)).await;
        answer.is_ok_and(|a| a.status == 200)
    }

    /// Waits until it is ready.
    ///
    /// # Panics
    /// After a minute.
    pub async fn ready(&self) {
        let end = Instant::now() + Duration::from_secs(60);
        while !self.is_ready().await {
            let ended = self.child().try_wait().ok().flatten();
            assert!(ended.is_none(), "an instance ended before it was ready: {ended:?}");
            assert!(Instant::now() < end, "an instance is not ready within a minute");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until it has ended by itself; its exit code.
    ///
    /// # Panics
    /// After a minute.
    pub async fn ended(&self) -> Option<i32> {
        let end = Instant::now() + Duration::from_secs(60);
        loop {
            if let Ok(Some(status)) = self.child().try_wait() {
                return status.code();
            }
            assert!(Instant::now() < end, "an instance has not ended within a minute");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let mut child = self.child();
        let _ = child.kill();
        let _ = child.wait();
        let _ = fs::remove_file(&self.file);
    }
}
