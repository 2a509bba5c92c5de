use {
    super::Line,
    anyhow::{Context, Result},
    std::{
        fs::File,
        io::{stdin, BufRead, BufReader},
        path::PathBuf,
    },
};

/// Lines of one or more logs.
#[derive(Debug, Default)]
pub struct Logs {
    /// Parsed lines; [`Self::read`] sorts them by time.
    pub lines: Vec<Line>,
    /// Number of lines that the instances dropped, over the rate limit of a log or at a full queue.
    pub left_out: u64,
}

impl Logs {
    /// Reads log files, or standard input if `files` is empty.
    ///
    /// # Errors
    /// If a file cannot be read; the message names it.
    pub fn read(files: &[PathBuf]) -> Result<Self> {
        let mut logs = Self::default();
        if files.is_empty() {
            logs.read_lines(stdin().lock(), "-").context("cannot read standard input")?;
        }
        for file in files {
            let failed = || format!("cannot read log {:?}", file.display());
            let name = file.file_stem().map_or("-".into(), |n| n.to_string_lossy());
            let reader = BufReader::new(File::open(file).with_context(failed)?);
            logs.read_lines(reader, &name).with_context(failed)?;
        }
        logs.lines.sort_by_key(|l| l.at);
        Ok(logs)
    }

    /// Appends the lines of a reader; lines without an instance name are attributed to `name`.
    ///
    /// # Errors
    /// If the reader fails.
    pub fn read_lines(&mut self, mut reader: impl BufRead, name: &str) -> std::io::Result<()> {
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

/// Number of dropped lines in a `log: left_out=` line; zero for other lines.
fn left_out(text: &str) -> u64 {
    let count = text.split_once("log: left_out=").map(|(_, count)| count.trim().parse());
    count.and_then(Result::ok).unwrap_or(0)
}
