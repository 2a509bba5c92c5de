use {
    super::Route,
    crate::{
        error::{ErrorKind, Fault},
        ids::{Rank, WorkspaceId},
        manifest::KeyHash,
        settings::KeySettings,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
        time::Duration,
    },
    thiserror::Error,
};

/// Length of the longest valid key.
pub const MAX_KEY_BYTES: usize = 256;

/// A workspace to which callers' keys belong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub id: WorkspaceId,
    /// Rank of its requests; `None` if that of the route applies.
    pub rank: Option<Rank>,
}

/// The key that a request carries.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum CallerKey<'a> {
    /// None.
    Absent,
    /// Several keys, or one that is empty, too long or not visible ASCII.
    Invalid,
    /// One key of valid form.
    Valid(&'a str),
}

impl<'a> CallerKey<'a> {
    /// Checks the form of a key.
    ///
    /// ```
    /// use lentil_core::routes::CallerKey;
    ///
    /// assert!(CallerKey::parse(b"k-1") == CallerKey::Valid("k-1"));
    /// assert!(CallerKey::parse(b"") == CallerKey::Invalid);
    /// ```
    pub fn parse(bytes: &'a [u8]) -> Self {
        let visible = bytes.iter().all(u8::is_ascii_graphic);
        match std::str::from_utf8(bytes) {
            Ok(key) if visible && (1..=MAX_KEY_BYTES).contains(&key.len()) => Self::Valid(key),
            _ => Self::Invalid,
        }
    }
}

/// Error of a key that two workspaces have.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("key {key} belongs to workspaces {first:?} and {second:?}")]
pub struct DuplicateKey {
    /// Position of the key among those of the second workspace, from 0.
    pub key: usize,
    /// Workspace that has the key too.
    pub first: WorkspaceId,
    /// Workspace that was added later.
    pub second: WorkspaceId,
}

/// Workspaces by their keys, and the routes that need no key.
#[derive(Debug, Clone, Default)]
pub struct WorkspaceTable {
    keys: HashMap<KeyHash, Arc<Workspace>>,
    names: HashSet<WorkspaceId>,
    /// Path prefixes of public routes by host.
    public: HashMap<String, HashSet<String>>,
}

impl WorkspaceTable {
    /// Adds a workspace with its keys, of which only the hashes are kept. Keys of invalid form are
    /// skipped, since no request can present them; returns their number.
    ///
    /// # Errors
    /// [`DuplicateKey`] if a key belongs to another workspace already.
    pub fn insert<'a>(
        &mut self,
        workspace: Workspace,
        keys: impl IntoIterator<Item = &'a str>,
    ) -> Result<usize, DuplicateKey> {
        let workspace = Arc::new(workspace);
        self.names.insert(workspace.id.clone());
        let mut skipped = 0;
        for (i, key) in keys.into_iter().enumerate() {
            if !matches!(CallerKey::parse(key.as_bytes()), CallerKey::Valid(_)) {
                skipped += 1;
                continue;
            }
            let other = self.keys.insert(KeyHash::of(key), workspace.clone());
            if let Some(other) = other.filter(|o| o.id != workspace.id) {
                let (first, second) = (other.id.clone(), workspace.id.clone());
                return Err(DuplicateKey { key: i, first, second });
            }
        }
        Ok(skipped)
    }

    /// Marks the route of a host and prefix as one that needs no key.
    pub fn insert_public(&mut self, host: &str, prefix: &str) {
        self.public.entry(host.to_owned()).or_default().insert(prefix.to_owned());
    }

    /// Returns whether requests on a route need no key.
    pub fn is_public(&self, route: &Route) -> bool {
        self.public.get(&route.host).is_some_and(|prefixes| prefixes.contains(&route.prefix))
    }

    /// Returns the number of workspaces.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Returns whether there are no workspaces.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Identifies the workspace of a request on `route` by its key; `None` on a public route without
    /// a known key. `age` is the time since this table was known to be the current one.
    ///
    /// # Errors
    /// [`ErrorKind::NoCaller`] if the route needs a key and there is no known one.
    /// [`ErrorKind::NotReady`] instead if the table is so old that the key may have been added since,
    /// or that a known key may have been removed for too long.
    pub fn identify(
        &self,
        route: &Route,
        key: CallerKey,
        age: Duration,
        settings: &KeySettings,
    ) -> Result<Option<&Arc<Workspace>>, Fault> {
        let expired = settings.strict && age > settings.revoke.duration();
        let found = match key {
            CallerKey::Valid(key) => self.keys.get(&KeyHash::of(key)).filter(|_| !expired),
            CallerKey::Absent | CallerKey::Invalid => None,
        };
        if found.is_some() || self.is_public(route) {
            return Ok(found);
        }
        let refused = |text: &str| Err(Fault::new(ErrorKind::NoCaller, text));
        match key {
            CallerKey::Absent => refused("the request has no key"),
            CallerKey::Invalid => refused("the request has several keys or an invalid one"),
            CallerKey::Valid(_) if expired || age > settings.apply.duration() => {
                let text = format!("the keys were last read {} ms ago", age.as_millis());
                Err(Fault::new(ErrorKind::NotReady, text))
            }
            CallerKey::Valid(_) => refused("the key is unknown"),
        }
    }
}
