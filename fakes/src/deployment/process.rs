use {
    super::{live_entry, Deployment},
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

/// An entry instance that runs as a process of its own; it is killed on drop.
pub struct InstanceProcess {
    /// Settings of the instance.
    pub settings: Settings,
    child: Mutex<Child>,
    settings_file: PathBuf,
}

/// Range of the ports that [`free_address`] returns. It lies below the kernel's ephemeral ports, since
/// an outgoing connection could take one of those before the caller binds it.
const PORT_RANGE: std::ops::Range<u32> = 12_000..32_000;
/// Distance between the first ports of two processes with consecutive process ids.
const PORT_STRIDE: u32 = 97;

/// Returns an unused address on loopback, free for TCP and UDP; each call returns another one.
///
/// # Panics
/// If all ports of the range are in use.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let count = PORT_RANGE.end - PORT_RANGE.start;
    for _ in PORT_RANGE {
        let number = std::process::id() * PORT_STRIDE + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = (PORT_RANGE.start + number % count) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if free {
            return address;
        }
    }
    panic!("no port on loopback is free");
}

impl Deployment {
    /// Starts entry instance `i` as a process, and registers it in the instance list. `command`
    /// builds the command line for a settings file.
    ///
    /// # Panics
    /// If the process can't be started.
    pub fn start_process(
        &self,
        i: usize,
        command: impl Fn(&PathBuf) -> Command,
    ) -> InstanceProcess {
        let mut settings = self.settings(i);
        settings.listen = free_address();
        settings.mesh.listen = free_address();
        let name = format!("lentil-{}-{}.json", settings.instance, settings.listen.port());
        let settings_file = std::env::temp_dir().join(name);
        let text = serde_json::to_string_pretty(&settings).expect("settings can be serialized");
        fs::write(&settings_file, text).expect("the temporary directory is writable");
        let child = command(&settings_file).spawn().expect("the program can be started");
        let id = settings.instance.to_string();
        self.list.put(live_entry(&id, ListKind::Entry, settings.mesh.listen));
        InstanceProcess { settings, child: Mutex::new(child), settings_file }
    }
}

impl InstanceProcess {
    fn child(&self) -> MutexGuard<'_, Child> {
        self.child.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Address on which the instance serves callers.
    pub fn address(&self) -> SocketAddr {
        self.settings.listen
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        // Fails only if the process has exited, which is fine.
        let _ = kill(Pid::from_raw(self.child().id() as i32), signal);
    }

    /// Whether the readiness probe of the load balancer succeeds.
    pub async fn is_ready(&self) -> bool {
        let at = self.address();
        let request = lentil_node::http::request(hyper::Method::GET, at, "/readyz", "");
        let response = lentil_node::http::call(at, request, Duration::from_millis(300)).await;
        response.is_ok_and(|r| r.status == 200)
    }

    /// Waits until the readiness probe succeeds.
    ///
    /// # Panics
    /// If that takes more than a minute, or the process exits before.
    pub async fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(60);
        while !self.is_ready().await {
            let exited = self.child().try_wait().ok().flatten();
            assert!(exited.is_none(), "an instance exited before it was ready: {exited:?}");
            assert!(Instant::now() < end, "an instance is not ready within a minute");
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until the process has exited, and returns its exit code.
    ///
    /// # Panics
    /// If that takes more than a minute.
    pub async fn wait_exit(&self) -> Option<i32> {
        let end = Instant::now() + Duration::from_secs(60);
        loop {
            if let Ok(Some(status)) = self.child().try_wait() {
                return status.code();
            }
            assert!(Instant::now() < end, "an instance has not exited within a minute");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Drop for InstanceProcess {
    fn drop(&mut self) {
        let mut child = self.child();
        let _ = child.kill();
        let _ = child.wait();
        let _ = fs::remove_file(&self.settings_file);
    }
}
