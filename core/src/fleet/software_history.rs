use {
    super::EngineView,
    crate::{
        clock::Time,
        ids::{ModelId, SoftwareVersion},
        stream::ORIGIN_RETENTION,
    },
    smallvec::SmallVec,
    std::time::Duration,
};

/// Time after which all instances that reach the directory know a target's software.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Software versions of targets that are gone, which may have begun streams that callers resume.
#[derive(Debug, Clone, Default)]
pub struct SoftwareHistory {
    gone: Vec<GoneVersion>,
    /// Whether the versions from before the start of this process are known.
    complete: bool,
}

#[derive(Debug, Clone)]
struct GoneVersion {
    service: ModelId,
    software: SoftwareVersion,
    /// When no caller resumes its streams any more.
    until: Time,
}

impl SoftwareHistory {
    /// Records that a target is gone, or was replaced by another process.
    pub fn record_gone(&mut self, target: &EngineView, now: Time) {
        if let Some(software) = target.software.clone() {
            self.record_past(target.model.clone(), software, Duration::ZERO, now);
        }
    }

    /// Records a version whose last target has been gone for `age`.
    pub fn record_past(
        &mut self,
        service: ModelId,
        software: SoftwareVersion,
        age: Duration,
        now: Time,
    ) {
        self.gone.retain(|v| v.until > now && (v.service != service || v.software != software));
        let until = now + ORIGIN_RETENTION.saturating_sub(age);
        self.gone.push(GoneVersion { service, software, until });
    }

    /// Records that the versions from before the start of this process are known.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Returns the versions whose targets are gone, each with the time since then.
    pub fn gone(&self, now: Time) -> impl Iterator<Item = (&ModelId, &SoftwareVersion, Duration)> {
        let recent = self.gone.iter().filter(move |v| v.until > now);
        let age = move |until: Time| ORIGIN_RETENTION.saturating_sub(until - now);
        recent.map(move |v| (&v.service, &v.software, age(v.until)))
    }

    /// Returns the versions that the targets of a service have, or had recently.
    pub fn versions<'a>(
        &'a self,
        targets: &'a [EngineView],
        service: &ModelId,
        now: Time,
    ) -> SmallVec<[&'a SoftwareVersion; 2]> {
        let present = targets.iter().filter(|t| t.model == *service);
        let gone = self.gone(now).filter(|(s, ..)| *s == service).map(|(_, v, _)| v);
        let mut versions = SmallVec::new();
        for version in present.filter_map(|t| t.software.as_ref()).chain(gone) {
            if !versions.contains(&version) {
                versions.push(version);
            }
        }
        versions
    }

    /// Returns when all instances know the version of a target that is registered at `now`. Until then
    /// one of them may take the earlier versions for the only ones, and resume a stream at them that
    /// the new one has begun.
    pub fn settles_at(
        &self,
        targets: &[EngineView],
        service: &ModelId,
        software: &SoftwareVersion,
        now: Time,
    ) -> Time {
        let versions = self.versions(targets, service, now);
        if !versions.is_empty() && !versions.contains(&software) {
            return now + SETTLE_TIME;
        }
        let same = |t: &&EngineView| t.model == *service && t.software.as_ref() == Some(software);
        targets.iter().filter(same).map(|t| t.settled).max().unwrap_or(now)
    }

    /// Returns the only version that the service has recently had; `None` if there were several, or
    /// the past is not known.
    pub fn sole<'a>(
        &'a self,
        targets: &'a [EngineView],
        service: &ModelId,
        now: Time,
    ) -> Option<&'a SoftwareVersion> {
        match self.versions(targets, service, now).as_slice() {
            [version] if self.complete => Some(version),
            _ => None,
        }
    }
}
