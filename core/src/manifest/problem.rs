use {serde::de::DeserializeOwned, std::fmt};

/// A fault in a JSON document, named by its path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Where, as in `callers.camera-1.group`.
    pub path: String,
    /// What is wrong.
    pub text: String,
}

impl Problem {
    /// A fault at `path`.
    pub fn new(path: impl Into<String>, text: impl Into<String>) -> Self {
        Self { path: path.into(), text: text.into() }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.text)
    }
}

/// Reads a JSON document whose faults of form are named by their path.
///
/// # Errors
/// The first fault of form.
pub fn parse_json<T: DeserializeOwned>(text: &str) -> Result<T, Problem> {
    let mut reader = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut reader)
        .map_err(|e| Problem::new(e.path().to_string(), e.inner().to_string()))?;
    reader.end().map_err(|e| Problem::new(".", e.to_string()))?;
    Ok(value)
}
