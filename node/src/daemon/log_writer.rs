use std::{
    io::{self, Write},
    sync::mpsc::{sync_channel, Receiver, SyncSender, TrySendError},
    thread,
    time::{Duration, Instant},
};

/// Lines queued for a slow reader; further lines are dropped.
const MAX_QUEUED_LINES: usize = 2_048;
/// Rate limit: three lines per request at the highest request rate an instance is built for.
const MAX_LINES_PER_S: u32 = 600;
/// Longest time that a flush waits for queued lines.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Log writer that never blocks its caller and limits the number of lines per second.
///
/// A background thread writes the lines. Lines over the limit or beyond a full queue are dropped
/// and counted, and the count is logged as `left_out` in a later second, once the queue has room.
pub struct LogWriter {
    sender: SyncSender<Entry>,
    /// Bytes of the current, unfinished line.
    line: Vec<u8>,
    second_start: Instant,
    second_lines: u32,
    dropped: u64,
}

impl LogWriter {
    /// Creates a writer and starts the thread that writes to `out`.
    pub fn new(out: impl Write + Send + 'static) -> Self {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        thread::spawn(move || write_out(receiver, out));
        Self { sender, line: Vec::new(), second_start: Instant::now(), second_lines: 0, dropped: 0 }
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        let now = Instant::now();
        if now.duration_since(self.second_start) >= Duration::from_secs(1) {
            self.second_start = now;
            self.second_lines = 0;
            self.report_dropped();
        }
        self.second_lines += 1;
        if self.second_lines > MAX_LINES_PER_S {
            self.dropped += 1;
            return;
        }
        self.enqueue(line);
    }

    fn report_dropped(&mut self) {
        let dropped = std::mem::take(&mut self.dropped);
        if dropped > 0 && !self.enqueue(format!("log: left_out={dropped}\n").into_bytes()) {
            self.dropped = dropped;
        }
    }

    fn enqueue(&mut self, line: Vec<u8>) -> bool {
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
            // A blocked reader must not delay shutdown.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }
}

fn write_out(receiver: Receiver<Entry>, mut out: impl Write) {
    while let Ok(entry) = receiver.recv() {
        match entry {
            // A write error cannot be reported: this is the log itself.
            Entry::Line(line) => drop(out.write_all(&line)),
            Entry::Flush(done) => {
                let _ = out.flush();
                let _ = done.try_send(());
            }
        }
    }
}
