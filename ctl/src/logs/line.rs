use {
    std::time::Duration,
    time::{format_description::well_known::Rfc3339, OffsetDateTime},
};

/// One line of an instance's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time of the line by the instance's clock.
    pub at: OffsetDateTime,
    /// Name of the instance that a log collector put before the line, or else of the file.
    pub instance: String,
    /// Message without time and level.
    pub message: String,
}

impl Line {
    /// Parses a line; `None` if it has no time, such as the count of lines left out.
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
            // A number is the collector's own timestamp, not an instance.
            if word.parse::<f64>().is_err() && !word.is_empty() {
                instance = word;
            }
            rest = after.trim_start();
        }
    }

    /// Returns the part of the program that wrote the line, such as `run`.
    pub fn part(&self) -> &str {
        self.message.split(':').next().unwrap_or("")
    }

    /// Returns whether the message contains a word.
    pub fn has_word(&self, word: &str) -> bool {
        self.message.split(' ').any(|w| w == word)
    }

    /// Returns the value of a `key=value` field, without quotes.
    pub fn field(&self, name: &str) -> Option<&str> {
        let mut rest = self.message.as_str();
        loop {
            let at = rest.find(name)?;
            let value = rest[at + name.len()..].strip_prefix('=');
            let is_key = at == 0 || rest[..at].ends_with(' ');
            match value.filter(|_| is_key) {
                Some(value) => return Some(unquoted(value)),
                None => rest = &rest[at + name.len()..],
            }
        }
    }

    /// Returns the value of a field as a number; `None` if it is absent or not a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns the time from `other` to this line; zero if this line is earlier.
    pub fn since(&self, other: OffsetDateTime) -> Duration {
        (self.at - other).try_into().unwrap_or_default()
    }
}

fn unquoted(value: &str) -> &str {
    match value.strip_prefix('"') {
        None => value.split(' ').next().unwrap_or(value),
        Some(text) => {
            let is_escaped = |at: usize| text[..at].ends_with('\\');
            let end = text.match_indices('"').map(|(i, _)| i).find(|i| !is_escaped(*i));
            &text[..end.unwrap_or(text.len())]
        }
    }
}
