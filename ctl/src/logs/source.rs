use {
    super::Line,
    anyhow::{Context, Result},
    std::{
        fs::File,
        io::{stdin, BufRead, BufReader},
        path::PathBuf,
    },
};

/// What was read from the logs.
#[derive(Debug, Default)]
pub struct Logs {
    /// The lines, in time order.
    pub lines: Vec<Line>,
    /// Lines that the instances left out to bound their logs.
    pub left_out: u64,
}

impl Logs {
    /// Reads files, or standard input if there are none.
    ///
    /// # Errors
    /// Which file could not be read.
    pub fn read(files: &[PathBuf]) -> Result<Self> {
        let mut logs = Self::default();
        if files.is_empty() {
            logs.take(stdin().lock(), "-").context("standard input can't be read")?;
        }
        for file in files {
            let named = || format!("log {:?} can't be read", file.display());
            let name = file.file_stem().map_or("-".into(), |n| n.to_string_lossy());
            let reader = BufReader::new(File::open(file).with_context(named)?);
            logs.take(reader, &name).with_context(named)?;
        }
        logs.lines.sort_by_key(|l| l.at);
        Ok(logs)
    }

    /// Takes in lines of a reader whose instance is `name` unless they say otherwise.
    ///
    /// # Errors
    /// If the reader fails.
    pub fn take(&mut self, mut reader: impl BufRead, name: &str) -> std::io::Result<()> {
        let mut bytes = Vec::new();
        while reader.read_until(b'\n', &mut bytes)? > 0 {
            let text = String::from_utf8_lossy(&bytes);
            let text = text.trim_end();
            match Line::parse(text, name) {
                Some(line) => self.lines.push(line),
                None => self.left_out += left_out(text),
            }
            bytes.clear();
        }
        Ok(())
    }
}

fn left_out(text: &str) -> u64 {
    let count = text.split_once("log: left_out=").map(|(_, count)| count.trim().parse());
    count.and_then(Result::ok).unwrap_or(0)
}
