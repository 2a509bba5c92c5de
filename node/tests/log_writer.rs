//! Log lines never block serving, and their volume is bounded.

use {
    lentil_node::daemon::LogWriter,
    std::{
        io::{self, Write},
        sync::{mpsc, Arc, Mutex},
        time::{Duration, Instant},
    },
};

#[derive(Clone, Default)]
struct Kept(Arc<Mutex<Vec<u8>>>);

impl Kept {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

impl Write for Kept {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A reader that has stopped reading.
struct Stuck(mpsc::Receiver<()>);

impl Write for Stuck {
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
    let kept = Kept::default();
    let mut writer = LogWriter::new(kept.clone());
    write!(writer, "a={}", 1).unwrap();
    writeln!(writer, " b={}", 2).unwrap();
    writeln!(writer, "c=3").unwrap();
    writer.flush().unwrap();
    assert_eq!(kept.text(), "a=1 b=2\nc=3\n");
}

#[test]
fn write_to_a_stuck_reader_does_not_block() {
    let (_never, receiver) = mpsc::channel();
    let mut writer = LogWriter::new(Stuck(receiver));
    let begun = Instant::now();
    for i in 0..100_000 {
        writeln!(writer, "line={i}").unwrap();
    }
    writer.flush().unwrap();
    assert!(begun.elapsed() < Duration::from_secs(5), "{:?}", begun.elapsed());
}

#[test]
fn write_over_the_rate_is_counted_once_there_is_room() {
    let kept = Kept::default();
    let mut writer = LogWriter::new(kept.clone());
    for i in 0..1_000 {
        writeln!(writer, "line={i}").unwrap();
    }
    std::thread::sleep(Duration::from_millis(1_100));
    writeln!(writer, "later").unwrap();
    writer.flush().unwrap();
    let text = kept.text();
    let written = text.lines().filter(|l| l.starts_with("line=")).count() as u64;
    let told = text.lines().find_map(|l| l.strip_prefix("log: left_out=")).unwrap();
    assert!(written < 1_000);
    assert_eq!(written + told.parse::<u64>().unwrap(), 1_000);
    assert!(text.ends_with("later\n"));
}
