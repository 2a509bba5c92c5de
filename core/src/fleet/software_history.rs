use {
    super::{EngineView, RecordedVersion, SoftwareRecord},
    crate::{
        clock::Time,
        ids::{Millis, ModelId, SoftwareVersion},
        stream::ORIGIN_RETENTION,
    },
    smallvec::SmallVec,
    std::time::Duration,
};

/// Time after which all instances that reach the directory know a target's software.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Software versions that may have begun streams which callers resume: those of targets that are
/// gone, and what this instance knows of the store's record of them.
///
/// The record outlasts the loss of all instances. A version is in it before the first stream begins at
/// one of its targets, and stays in it until an instance has seen the service without the version for
/// as long as callers resume streams. That time is measured by the instance that removes it, not by
/// stored times.
#[derive(Debug, Clone, Default)]
pub struct SoftwareHistory {
    gone: Vec<GoneVersion>,
    /// Versions that were found in the record as present while targets here had them.
    recorded: Vec<(ModelId, SoftwareVersion)>,
    /// Departures in the record, each with the time at which it was first seen here.
    departures: Vec<(RecordedVersion, Time)>,
    /// From when on all versions are known that may have begun streams.
    complete: Option<Time>,
    /// When the record was last taken over.
    known: Option<Time>,
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
    fn record_past(
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

    /// Takes over the stored record, as it is now. Versions without a target here count as gone since
    /// their departure was first seen.
    pub fn apply_record(&mut self, record: &SoftwareRecord, targets: &[EngineView], now: Time) {
        self.confirm(record, targets);
        let seen = std::mem::take(&mut self.departures);
        for version in record.versions() {
            let known = seen.iter().find(|(v, _)| v == version).map(|(_, at)| *at);
            let since = known.unwrap_or(now);
            if version.gone.is_some() {
                self.departures.push((version.clone(), since));
            }
            let absent = !targets.iter().any(|t| version.is_of(t));
            let gone =
                self.gone(now).any(|(s, v, _)| *s == version.service && *v == version.software);
            if absent && !gone {
                let (service, software) = (version.service.clone(), version.software.clone());
                self.record_past(service, software, now - since, now);
            }
        }
        self.complete.get_or_insert(now);
        self.known = Some(now);
    }

    /// Returns when the record was last taken over.
    pub fn known(&self) -> Option<Time> {
        self.known
    }

    /// Records that nothing is known of the streams that began before `now`.
    pub fn record_lost_past(&mut self, now: Time) {
        self.complete = Some(now + ORIGIN_RETENTION);
    }

    /// Returns from when on all versions are known that may have begun streams.
    pub fn complete(&self) -> Option<Time> {
        self.complete
    }

    /// Takes over from a record, which may be some seconds old, that versions of present targets are
    /// recorded.
    pub fn confirm(&mut self, record: &SoftwareRecord, targets: &[EngineView]) {
        for version in record.versions().iter().filter(|v| v.gone.is_none()) {
            let present = targets.iter().any(|t| version.is_of(t));
            if present && !self.is_recorded(&version.service, &version.software) {
                self.recorded.push((version.service.clone(), version.software.clone()));
            }
        }
    }

    /// Returns whether the store has the version, so that streams may begin at its targets.
    pub fn is_recorded(&self, service: &ModelId, software: &SoftwareVersion) -> bool {
        self.recorded.iter().any(|(s, v)| s == service && v == software)
    }

    /// Forgets that versions without a target are recorded: others may remove them from the record.
    pub fn forget_absent(&mut self, targets: &[EngineView]) {
        self.recorded.retain(|(service, software)| {
            targets.iter().any(|t| t.model == *service && t.software.as_ref() == Some(software))
        });
    }

    /// Returns the record that is to replace `stored`, if they differ: with the versions of all
    /// targets, and without those whose streams nobody resumes any more. `at` marks departures; if
    /// the directory is not `listed` as it is now, none are recorded and nothing is removed.
    pub fn next_record(
        &self,
        stored: &SoftwareRecord,
        targets: &[EngineView],
        listed: bool,
        at: Millis,
        now: Time,
    ) -> Option<SoftwareRecord> {
        let present = targets.iter().filter_map(|t| {
            let (service, software) = (t.model.clone(), t.software.clone()?);
            Some(RecordedVersion { service, software, gone: None })
        });
        let kept = stored.versions().iter().filter_map(|version| match version.gone {
            None => Some(RecordedVersion { gone: listed.then_some(at), ..version.clone() }),
            Some(_) if listed && self.is_over(version, now) => None,
            Some(_) => Some(version.clone()),
        });
        let next: SoftwareRecord = present.chain(kept).collect();
        (next != *stored).then_some(next)
    }

    /// Returns whether nobody resumes streams of a version that has left.
    fn is_over(&self, version: &RecordedVersion, now: Time) -> bool {
        let since = self.departures.iter().find(|(v, _)| v == version).map(|(_, at)| *at);
        let recent = |(s, v, _): (&ModelId, &SoftwareVersion, Duration)| {
            *s == version.service && *v == version.software
        };
        since.is_some_and(|at| now - at >= ORIGIN_RETENTION) && !self.gone(now).any(recent)
    }

    /// Returns when the next version may be removed from the record.
    pub fn next_removal(&self) -> Option<Time> {
        self.departures.iter().map(|(_, at)| *at + ORIGIN_RETENTION).min()
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
            [version] if self.complete.is_some_and(|at| at <= now) => Some(version),
            _ => None,
        }
    }
}
