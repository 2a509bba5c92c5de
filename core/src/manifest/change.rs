use {
    super::Manifest,
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::fmt,
};

/// An entry that differs between two manifests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Top-level section of the manifest, such as `callers`.
    pub section: String,
    /// Name of the entry within the section; empty if the section is a single value.
    pub entry: String,
    /// Old value as JSON text; `None` if the entry was added.
    pub old: Option<String>,
    /// New value as JSON text; `None` if the entry was removed.
    pub new: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = match self.entry.as_str() {
            "" => self.section.clone(),
            entry => format!("{}.{entry}", self.section),
        };
        match (&self.old, &self.new) {
            (None, Some(new)) => write!(f, "+ {path} = {new}"),
            (Some(old), None) => write!(f, "- {path} = {old}"),
            (old, new) => write!(
                f,
                "~ {path}: {} -> {}",
                old.as_deref().unwrap_or(""),
                new.as_deref().unwrap_or("")
            ),
        }
    }
}

/// Returns the entries that differ between two manifests, ordered by section and name.
pub fn diff(old: &Manifest, new: &Manifest) -> Vec<Change> {
    let (Ok(Value::Object(old)), Ok(Value::Object(new))) =
        (serde_json::to_value(old), serde_json::to_value(new))
    else {
        return Vec::new();
    };
    let mut changes = Vec::new();
    for (section, after) in &new {
        let before = old.get(section).unwrap_or(&Value::Null);
        diff_section(section, before, after, &mut changes);
    }
    changes
}

fn diff_section(section: &str, old: &Value, new: &Value, changes: &mut Vec<Change>) {
    let text = |v: Option<&Value>| v.map(ToString::to_string);
    let (Value::Object(old), Value::Object(new)) = (old, new) else {
        if old != new {
            let (old, new) = (text(Some(old)), text(Some(new)));
            changes.push(Change { section: section.into(), entry: String::new(), old, new });
        }
        return;
    };
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names {
        let (before, after) = (old.get(name), new.get(name));
        if before != after {
            let (old, new) = (text(before), text(after));
            changes.push(Change { section: section.into(), entry: name.clone(), old, new });
        }
    }
}

/// Applies `changes` to `old` and returns the resulting manifest.
///
/// # Errors
/// Returns a description of the first problem if the changes do not apply to `old`, for example
/// because an entry has another value than the change expects.
pub fn patch(old: &Manifest, changes: &[Change]) -> Result<Manifest, String> {
    let mut doc = serde_json::to_value(old).map_err(|e| e.to_string())?;
    for change in changes {
        apply_change(&mut doc, change)?;
    }
    serde_json::from_value(doc).map_err(|e| e.to_string())
}

fn apply_change(doc: &mut Value, change: &Change) -> Result<(), String> {
    let value = |text: &Option<String>| -> Result<Option<Value>, String> {
        text.as_deref().map(serde_json::from_str).transpose().map_err(|e| e.to_string())
    };
    let (old, new) = (value(&change.old)?, value(&change.new)?);
    let section = doc
        .get_mut(&change.section)
        .ok_or_else(|| format!("section {:?} does not exist", change.section))?;
    if change.entry.is_empty() {
        *section = new.unwrap_or(Value::Null);
        return Ok(());
    }
    let entries = section
        .as_object_mut()
        .ok_or_else(|| format!("section {:?} has no entries", change.section))?;
    if entries.get(&change.entry) != old.as_ref() {
        return Err(format!(
            "entry {:?} of section {:?} does not have the expected old value",
            change.entry, change.section
        ));
    }
    match new {
        Some(new) => entries.insert(change.entry.clone(), new),
        None => entries.remove(&change.entry),
    };
    Ok(())
}
