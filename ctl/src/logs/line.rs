use {
    std::time::Duration,
    time::{format_description::well_known::Rfc3339, OffsetDateTime},
};

/// One line of an instance's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// When it was written, by the instance's clock.
    pub at: OffsetDateTime,
    /// The instance, as a collector put it before the line, or the file's name.
    pub instance: String,
    /// The message, after time and level.
    pub message: String,
}

impl Line {
    /// Reads a line; `None` if it has no time, such as the count of lines left out.
    ///
    /// ```
    /// use lentilctl::logs::Line;
    ///
    /// let text = "edge-1 2026-12-03T20:30:27.85Z [INFO] run: id=a1 failed at=e error=\"no way\"";
    /// let line = Line::parse(text, "file").unwrap();
    /// assert_eq!((line.instance.as_str(), line.part()), ("edge-1", "run"));
    /// assert_eq!(line.field("id"), Some("a1"));
    /// assert_eq!(line.field("error"), Some("no way"));
    /// assert_eq!(Line::parse("log: left_out=3", "file"), None);
    /// ```
    pub fn parse(text: &str, file: &str) -> Option<Self> {
        let mut rest = text.trim_start();
        let mut instance = file;
        loop {
            let (word, after) = rest.split_once(' ')?;
            if let Ok(at) = OffsetDateTime::parse(word, &Rfc3339) {
                let message = after.trim_start();
                let message = match message.strip_prefix('[') {
                    Some(level) => level.split_once("] ")?.1,
                    None => message,
                };
                return Some(Self { at, instance: instance.into(), message: message.into() });
            }
            // A collector's own time is no name.
            if word.parse::<f64>().is_err() && !word.is_empty() {
                instance = word;
            }
            rest = after.trim_start();
        }
    }

    /// The part of the program that wrote it.
    pub fn part(&self) -> &str {
        self.message.split(':').next().unwrap_or("")
    }

    /// Whether a word stands in the message.
    pub fn says(&self, word: &str) -> bool {
        self.message.split(' ').any(|w| w == word)
    }

    /// The value of a field, without its quotes.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut rest = self.message.as_str();
        loop {
            let at = rest.find(name)?;
            let value = rest[at + name.len()..].strip_prefix('=');
            let begins = at == 0 || rest[..at].ends_with(' ');
            match value.filter(|_| begins) {
                Some(value) => return Some(unquoted(value)),
                None => rest = &rest[at + name.len()..],
            }
        }
    }

    /// The value of a field as a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Time from another line to this one; zero if this one is earlier.
    pub fn since(&self, other: OffsetDateTime) -> Duration {
        (self.at - other).try_into().unwrap_or_default()
    }
}

fn unquoted(value: &str) -> &str {
    match value.strip_prefix('"') {
        None => value.split(' ').next().unwrap_or(value),
        Some(text) => {
            let escaped = |at: usize| text[..at].ends_with('\\');
            let end = text.match_indices('"').map(|(i, _)| i).find(|i| !escaped(*i));
            &text[..end.unwrap_or(text.len())]
        }
    }
}
