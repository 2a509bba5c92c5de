//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

/// Writes lines with the seconds since the start; clones write to the same file.
#[derive(Clone)]
pub struct Record(Arc<Mutex<(File, Instant)>>);

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self(Arc::new(Mutex::new((file, Instant::now()))))
    }

    pub fn line(&self, text: &str) {
        let mut inner = self.0.lock().expect("the record");
        let at = inner.1.elapsed().as_secs_f64();
        // A record that can't be written shows as an incomplete one.
        let _ = writeln!(inner.0, "{at:8.3} {text}");
    }
}
