//! The log writer never blocks its caller and limits the number of lines.

use {
    lentil_node::daemon::LogWriter,
    std::{
        io::{self, Write},
        sync::{mpsc, Arc, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl SharedBuffer {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output that blocks on the first write.
struct BlockedOutput(mpsc::Receiver<()>);

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn write_keeps_lines_whole_and_in_order() {
    let buffer = SharedBuffer::default();
    let mut writer = LogWriter::new(buffer.clone());
    write!(writer, "a={}", 1).unwrap();
    writeln!(writer, " b={}", 2).unwrap();
    writeln!(writer, "c=3").unwrap();
    writer.flush().unwrap();
    assert_eq!(buffer.text(), "a=1 b=2\nc=3\n");
}

#[test]
fn write_to_a_blocked_output_does_not_block() {
    let (_never, receiver) = mpsc::channel();
    let mut writer = LogWriter::new(BlockedOutput(receiver));
    let start = Instant::now();
    for i in 0..100_000 {
        writeln!(writer, "line={i}").unwrap();
    }
    writer.flush().unwrap();
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
}

#[test]
fn lines_over_the_rate_limit_are_counted_and_reported_later() {
    let buffer = SharedBuffer::default();
    let mut writer = LogWriter::new(buffer.clone());
    for i in 0..1_000 {
        writeln!(writer, "line={i}").unwrap();
    }
    std::thread::sleep(Duration::from_millis(1_100));
    writeln!(writer, "later").unwrap();
    writer.flush().unwrap();
    let text = buffer.text();
    let written = text.lines().filter(|l| l.starts_with("line=")).count() as u64;
    let left_out = text.lines().find_map(|l| l.strip_prefix("log: left_out=")).unwrap();
    assert!(written < 1_000);
    assert_eq!(written + left_out.parse::<u64>().unwrap(), 1_000);
    assert!(text.ends_with("later\n"));
}
