use {
    super::{listed, Site},
    lentil_core::settings::Settings,
    lentilgrade::ports::ListKind,
    nix::{
        sys::signal::{kill, Signal},
        unistd::Pid,
    },
    std::{
        fs,
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process::{Child, Command},
        sync::{Mutex, MutexGuard, PoisonError},
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

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    listener.local_addr().expect("a bound socket has an address")
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
        let request = lentilgrade::http::request(hyper::Method::GET, at, "/readyz", "");
        let answer = lentilgrade::http::call(at, request, Duration::from_millis(300)).await;
        answer.is_ok_and(|a| a.status == 200)
    }

    /// Waits until it is ready.
    ///
    /// # Panics
    /// After a minute.
    pub async fn ready(&self) {
        let end = Instant::now() + Duration::from_secs(60);
        while !self.is_ready().await {
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
