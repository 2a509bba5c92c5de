use {serde::de::DeserializeOwned, std::fmt};

/// A problem at a path of a JSON document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// JSON path, such as `callers.camera-1.group`.
    pub path: String,
    /// Description of the problem.
    pub text: String,
}

impl Problem {
    /// Creates a problem at `path`.
    pub fn new(path: impl Into<String>, text: impl Into<String>) -> Self {
        Self { path: path.into(), text: text.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// Parses a JSON document and reports a syntax or type error with its JSON path.
///
/// # Errors
/// Returns the first syntax or type error.
pub fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, Problem> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| Problem::new(e.path().to_string(), e.inner().to_string()))?;
    reader.end().map_err(|e| Problem::new(".", e.to_string()))?;
    Ok(value)
}
