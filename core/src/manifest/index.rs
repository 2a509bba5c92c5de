use {
    super::{CallerSpec, ClassName, ClassSpec, KeyHash, Manifest, ServiceSpec},
    crate::{
        error::{ErrorKind, Fault},
        ids::{AdapterId, Alias, CallerId, ModelId, Revision, ServiceId},
    },
    std::{collections::HashMap, sync::Arc},
};

/// A manifest in force, with the look-ups that each request needs.
#[derive(Debug, Clone)]
pub struct ManifestIndex {
    /// Store revision of the manifest.
    pub revision: Revision,
    /// The manifest.
    pub manifest: Arc<Manifest>,
    callers: HashMap<KeyHash, CallerId>,
}

/// A model name resolved for a caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ResolvedModel {
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
}

impl ManifestIndex {
    /// An index of `manifest`, which must have passed its check.
    pub fn new(revision: Revision, manifest: impl Into<Arc<Manifest>>) -> Self {
        let manifest = manifest.into();
        let callers = manifest.callers.iter().map(|(id, c)| (c.key, id.clone())).collect();
        Self { revision, manifest, callers }
    }

    /// The caller with a bearer key.
    ///
    /// # Errors
    /// [`ErrorKind::NoCaller`] if there is none.
    pub fn caller(&self, key: Option<&str>) -> Result<(&CallerId, &CallerSpec), Fault> {
        let Some(key) = key else {
            return Err(Fault::new(ErrorKind::NoCaller, "the request has no bearer key"));
        };
        self.callers
            .get(&KeyHash::of(key))
            .and_then(|id| self.manifest.callers.get_key_value(id))
            .ok_or_else(|| Fault::new(ErrorKind::NoCaller, "the bearer key is not known"))
    }

    /// The model that `name` stands for when `caller` says it.
    ///
    /// # Errors
    /// [`ErrorKind::UnknownModel`] or [`ErrorKind::Forbidden`].
    pub fn resolve(&self, caller: &CallerSpec, name: &str) -> Result<ResolvedModel, Fault> {
        let resolved = self.alias(caller, name).or_else(|| self.model(name)).ok_or_else(|| {
            Fault::new(ErrorKind::UnknownModel, format!("model {name:?} does not exist"))
        })?;
        if !caller.models.contains(&resolved.model) {
            let text = format!("model {name:?} may not be reached by this caller");
            return Err(Fault::new(ErrorKind::Forbidden, text));
        }
        Ok(resolved)
    }

    fn alias(&self, caller: &CallerSpec, name: &str) -> Option<ResolvedModel> {
        let alias: Alias = name.parse().ok()?;
        let group = self.manifest.groups.get(caller.group.as_ref()?)?;
        let included = group.includes.iter().filter_map(|id| self.manifest.groups.get(id));
        let spec = std::iter::once(group).chain(included).find_map(|g| g.aliases.get(&alias))?;
        Some(ResolvedModel { model: spec.model.clone(), adapter: spec.adapter.clone() })
    }

    fn model(&self, name: &str) -> Option<ResolvedModel> {
        let (model, adapter) = match name.split_once('+') {
            Some((model, adapter)) => (model, Some(adapter)),
            None => (name, None),
        };
        let model: ModelId = model.parse().ok()?;
        let spec = self.manifest.models.get(&model)?;
        let adapter = match adapter {
            None => None,
            Some(text) => Some(spec.adapters.get_key_value(&text.parse::<AdapterId>().ok()?)?.0),
        };
        Some(ResolvedModel { model, adapter: adapter.cloned() })
    }

    /// Names under which a caller can ask for models.
    pub fn names(&self, caller: &CallerSpec) -> Vec<String> {
        let mut names: Vec<String> = caller.models.iter().map(ToString::to_string).collect();
        let group = caller.group.as_ref().and_then(|id| self.manifest.groups.get(id));
        for group in group.iter().copied() {
            let included = group.includes.iter().filter_map(|id| self.manifest.groups.get(id));
            for (alias, spec) in std::iter::once(group).chain(included).flat_map(|g| &g.aliases) {
                if caller.models.contains(&spec.model) {
                    names.push(alias.to_string());
                }
            }
        }
        names.sort();
        names.dedup();
        names
    }

    /// The service called `name`, if the caller may reach it.
    ///
    /// # Errors
    /// [`ErrorKind::UnknownService`] or [`ErrorKind::Forbidden`].
    pub fn service(
        &self,
        caller: &CallerSpec,
        name: &str,
    ) -> Result<(ServiceId, &ServiceSpec), Fault> {
        let id: Option<ServiceId> = name.parse().ok();
        let known = id.and_then(|id| self.manifest.services.get_key_value(&id));
        let Some((id, spec)) = known else {
            let text = format!("service {name:?} does not exist");
            return Err(Fault::new(ErrorKind::UnknownService, text));
        };
        if !caller.services.contains(id) {
            let text = format!("service {name:?} may not be reached by this caller");
            return Err(Fault::new(ErrorKind::Forbidden, text));
        }
        Ok((id.clone(), spec))
    }

    /// The class that a request names, or its caller's.
    ///
    /// # Errors
    /// [`ErrorKind::BadRequest`] if the class does not exist.
    pub fn class(
        &self,
        caller: &CallerSpec,
        name: Option<&str>,
    ) -> Result<(ClassName, ClassSpec), Fault> {
        let class = match name {
            None => Some(caller.class.clone()),
            Some(text) => text.parse().ok(),
        };
        class
            .and_then(|c| self.manifest.classes.get_key_value(&c))
            .map(|(name, spec)| (name.clone(), spec.clone()))
            .ok_or_else(|| {
                let text = format!("class {:?} does not exist", name.unwrap_or_default());
                Fault::new(ErrorKind::BadRequest, text)
            })
    }
}
