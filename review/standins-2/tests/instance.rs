//! Processes of the system, started with the command and the settings of the deploy file.

use crate::http::call;
use std::{
    fs::File,
    net::{SocketAddr, TcpListener, UdpSocket},
    path::Path,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

const PROGRAM: &str = "target/release/lentilgrade";

/// A running process of the system; it is killed when this is dropped.
pub struct Instance {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    child: Child,
}

fn free_port() -> u16 {
    loop {
        let tcp = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = tcp.local_addr().expect("an address").port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

impl Instance {
    /// Starts a process whose settings and log lie in `folder`.
    pub fn start(folder: &Path, name: &str, zone: &str, store: SocketAddr, memory: u32) -> Self {
        let ports: Vec<u16> = (0..5).map(|_| free_port()).collect();
        let at = |i: usize| format!("127.0.0.1:{}", ports[i]);
        let settings = format!(
            r#"{{"instance": "{name}", "region": "vestland", "zone": "{zone}", "listen": "{}",
"mesh": {{"listen": "{}", "key": "mesh of the store at {store}", "beat": 500, "relay": "{}"}},
"platform": {{"store": "{store}", "list": "{store}"}},
"limits": {{"memory": {memory}, "descriptors": 4100, "drain": 60000}},
"control": {{"lease": 4000, "margin": 500, "period": 200}},
"hosted": {{"ready": "{}", "metrics": "{}",
"zones": {{"bergen-hall": "vestland", "flam-hall": "vestland", "alesund-hall": "vestland"}},
"resends": {{"ratio": 0.2, "slack": 52, "window": 10}}, "drain": 2000, "grace": 8}}}}
"#,
            at(0),
            at(1),
            at(2),
            at(3),
            at(4)
        );
        let path = folder.join(format!("{name}.json"));
        std::fs::write(&path, settings).expect("the settings can be written");
        let log = folder.join(format!("{name}.log"));
        let child = launch(&path, &log);
        let parse = |i: usize| at(i).parse().expect("an address");
        Self { name: name.into(), callers: parse(0), ready: parse(3), child }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Asks the process to stop, with SIGTERM.
    pub fn terminate(&self) {
        // Fails if the process has ended already.
        let _ = Command::new("kill").arg("-TERM").arg(self.pid().to_string()).status();
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        // Fails if it has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub fn is_ready(&self) -> bool {
        let answer = call(
            self.ready,
            "GET /v1/readyz",
            &[("Host", "probe".into())],
            b"",
            Duration::from_secs(1),
        );
        answer.is_ok_and(|a| a.status() == 200)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn launch(settings: &Path, log: &Path) -> Child {
    let log = File::options().create(true).append(true).open(log).expect("the log can be written");
    Command::new(PROGRAM)
        .arg("--settings")
        .arg(settings)
        .env_clear()
        .env("PATH", "/usr/bin:/bin")
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("the log"))
        .stderr(log)
        .spawn()
        .expect("the program starts")
}

/// Waits until all instances are ready; returns whether they are within 15 s.
pub fn await_ready(instances: &[Instance]) -> bool {
    let end = Instant::now() + Duration::from_secs(15);
    while !instances.iter().all(Instance::is_ready) {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(Duration::from_millis(100));
    }
    true
}
