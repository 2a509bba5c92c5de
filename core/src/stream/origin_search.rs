use {
    super::StreamOrigin,
    crate::ids::{ModelId, SoftwareVersion},
    serde::{Deserialize, Serialize},
};

/// What one instance knows about the origin of a stream that is to be resumed.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginAnswer {
    /// The origin, if the instance keeps it.
    pub origin: Option<StreamOrigin>,
    /// The only software version that the service has recently had, as far as the instance knows.
    pub sole: Option<SoftwareVersion>,
}

/// Search for the origin of a stream of one service, over the answers of several instances.
#[derive(Debug, Clone)]
pub struct OriginSearch {
    service: ModelId,
    origin: Option<StreamOrigin>,
    /// The version that all answers call the only one.
    sole: Option<SoftwareVersion>,
}

impl OriginSearch {
    /// Begins a search with what this instance knows.
    pub fn new(service: ModelId, own: OriginAnswer) -> Self {
        Self { service, origin: own.origin, sole: own.sole }
    }

    /// Adds the answer of another instance.
    pub fn add(&mut self, answer: OriginAnswer) {
        self.origin = self.origin.take().or(answer.origin);
        self.sole = self.sole.take().filter(|sole| answer.sole.as_ref() == Some(sole));
    }

    /// Returns whether an instance knows the origin.
    pub fn found(&self) -> bool {
        self.origin.is_some()
    }

    /// Returns where the stream may go on: at its origin if `allows` its service, or else at the
    /// service's only version. `None` if several versions may have begun it.
    ///
    /// ```
    /// use lentil_core::stream::{OriginAnswer, OriginSearch};
    ///
    /// let sole = |version: &str| OriginAnswer { origin: None, sole: version.parse().ok() };
    /// let mut search = OriginSearch::new("s".parse().unwrap(), sole("v1"));
    /// assert_eq!(search.resume_at(|_| true).unwrap().software.as_str(), "v1");
    /// search.add(sole("v2"));
    /// assert_eq!(search.resume_at(|_| true), None);
    /// ```
    pub fn resume_at(&self, allows: impl Fn(&ModelId) -> bool) -> Option<StreamOrigin> {
        let origin = self.origin.clone().filter(|origin| allows(&origin.service));
        let sole =
            || Some(StreamOrigin { service: self.service.clone(), software: self.sole.clone()? });
        origin.or_else(sole)
    }
}
