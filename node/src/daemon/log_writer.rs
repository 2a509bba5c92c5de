use std::{
    io::{self, Write},
    sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError},
    thread,
    time::{Duration, Instant},
};

/// Lines that wait for a slow reader; more are left out.
const WAITING: usize = 2_048;
/// Lines written in a second: three for each of the most requests that an instance is built for.
const LINES: u32 = 600;
/// Longest wait for waiting lines at a stop.
const FLUSH: Duration = Duration::from_millis(200);

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Writer of log lines that never blocks its caller and bounds the volume.
///
/// What is left out is counted, and the count is written once there is room again.
pub struct LogWriter {
    sender: SyncSender<Entry>,
    line: Vec<u8>,
    second: Instant,
    lines: u32,
    dropped: u64,
}

impl LogWriter {
    /// A sink that writes to `out` from a thread of its own.
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(WAITING);
        thread::spawn(move || write_out(receiver, out));
        Self { sender, line: Vec::new(), second: Instant::now(), lines: 0, dropped: 0 }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let now = Instant::now();
        if now.duration_since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.lines = 0;
            self.tell_dropped();
        }
        self.lines += 1;
        if self.lines > LINES {
            self.dropped += 1;
            return;
        }
        self.pass(line);
    }

    fn tell_dropped(&mut self) {
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 && !self.pass(format!("log: left_out={dropped}\n").into_bytes()) {
            self.dropped = dropped;
        }
    }

    fn pass(&mut self, line: Vec<u8>) -> bool {
        match self.sender.try_send(Entry::Line(line)) {
            Ok(()) => true,
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped += 1;
                false
            }
        }
    }
}

impl Write for LogWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        if self.line.ends_with(b"\n") {
            self.end_line();
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let (done, written) = sync_channel(1);
        if self.sender.try_send(Entry::Flush(done)).is_ok() {
            // A reader that has stopped must not hold up the stop.
            let _ = written.recv_timeout(FLUSH);
        }
        Ok(())
    }
}

fn write_out(receiver: Receiver<Entry>, mut out: impl Write) {
    while let Ok(entry) = receiver.recv() {
        match entry {
            // Nobody is left to be told that the output is closed.
            Entry::Line(line) => drop(out.write_all(&line)),
            Entry::Flush(done) => {
                let _ = out.flush();
                let _ = done.try_send(());
            }
        }
    }
}
