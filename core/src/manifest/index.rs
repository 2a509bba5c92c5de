use {
    super::{CallerSpec, ClassName, ClassSpec, KeyHash, Manifest, ServiceSpec},
    crate::{
        error::{ErrorKind, Fault},
        ids::{AdapterId, Alias, CallerId, ModelId, Revision, ServiceId},
    },
    std::{collections::HashMap, sync::Arc},
};

/// An active manifest, indexed for the look-ups that each request needs.
#[derive(Debug, Clone)]
pub struct ManifestIndex {
    /// Revision of the manifest in the key-value service.
    pub revision: Revision,
    /// The indexed manifest.
    pub manifest: Arc<Manifest>,
    /// Ids of the callers, by the hash of their bearer key.
    caller_ids: HashMap<KeyHash, CallerId>,
}

/// The model and adapter to which a requested name resolves.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ResolvedModel {
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
}

impl ManifestIndex {
    /// Builds an index of `manifest`, which must have passed [`Manifest::check`].
    pub fn new(revision: Revision, manifest: impl Into<Arc<Manifest>>) -> Self {
        let manifest = manifest.into();
        let caller_ids = manifest.callers.iter().map(|(id, c)| (c.key, id.clone())).collect();
        Self { revision, manifest, caller_ids }
    }

    /// Finds the caller that a bearer key belongs to.
    ///
    /// # Errors
    /// Returns [`ErrorKind::NoCaller`] if the key is missing or unknown.
    pub fn caller(&self, key: Option<&str>) -> Result<(&CallerId, &CallerSpec), Fault> {
        let Some(key) = key else {
            return Err(Fault::new(ErrorKind::NoCaller, "the request has no bearer key"));
        };
        self.caller_ids
            .get(&KeyHash::of(key))
            .and_then(|id| self.manifest.callers.get_key_value(id))
            .ok_or_else(|| Fault::new(ErrorKind::NoCaller, "the bearer key is unknown"))
    }

    /// Resolves a requested model name for `caller`: first as an alias of the caller's group, then
    /// as `model` or `model+adapter`.
    ///
    /// # Errors
    /// Returns [`ErrorKind::UnknownModel`] if the name does not resolve, and
    /// [`ErrorKind::Forbidden`] if the caller is not allowed to use the model.
    pub fn resolve(&self, caller: &CallerSpec, name: &str) -> Result<ResolvedModel, Fault> {
        let resolved =
            self.resolve_alias(caller, name).or_else(|| self.parse_model(name)).ok_or_else(
                || Fault::new(ErrorKind::UnknownModel, format!("model {name:?} does not exist")),
            )?;
        if !caller.models.contains(&resolved.model) {
            let text = format!("this caller is not allowed to use model {name:?}");
            return Err(Fault::new(ErrorKind::Forbidden, text));
        }
        Ok(resolved)
    }

    fn resolve_alias(&self, caller: &CallerSpec, name: &str) -> Option<ResolvedModel> {
        let alias: Alias = name.parse().ok()?;
        let group = self.manifest.groups.get(caller.group.as_ref()?)?;
        let included = group.includes.iter().filter_map(|id| self.manifest.groups.get(id));
        let spec = std::iter::once(group).chain(included).find_map(|g| g.aliases.get(&alias))?;
        Some(ResolvedModel { model: spec.model.clone(), adapter: spec.adapter.clone() })
    }

    fn parse_model(&self, name: &str) -> Option<ResolvedModel> {
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

    /// Returns the sorted names, aliases included, by which a caller can request models.
    pub fn model_names(&self, caller: &CallerSpec) -> Vec<String> {
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

    /// Finds the plain service called `name`, if the caller is allowed to use it.
    ///
    /// # Errors
    /// Returns [`ErrorKind::UnknownService`] if there is no such service, and
    /// [`ErrorKind::Forbidden`] if the caller is not allowed to use it.
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
            let text = format!("this caller is not allowed to use service {name:?}");
            return Err(Fault::new(ErrorKind::Forbidden, text));
        }
        Ok((id.clone(), spec))
    }

    /// Finds the class that a request names, or the caller's default class.
    ///
    /// # Errors
    /// Returns [`ErrorKind::BadRequest`] if the class does not exist.
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
