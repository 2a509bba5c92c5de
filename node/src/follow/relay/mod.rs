use {
    crate::{app::App, mesh::send_datagram},
    lentil_core::{fleet::TargetBatch, ids::Revision, mesh::Message},
    std::{collections::VecDeque, time::Duration},
};

/// Number of recent batches in each datagram, so that the next ones make up for a lost datagram.
const MAX_BATCHES: usize = 4;
/// Most changes in one message, so that it fits a datagram. An instance that misses some reads the
/// directory itself.
const MAX_CHANGES: usize = 10;
/// Longest wait of the region watcher's watch. Each result is relayed, which shows the others that
/// the store is reachable.
pub(super) const WATCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Delay between two watches of the region watcher.
pub(super) const WATCH_DELAY: Duration = Duration::from_millis(250);
/// Time after a relayed message within which an instance does not read the directory itself. Even
/// if two messages are lost, a leaving target is known within its bound.
pub(super) const RELAY_VALIDITY: Duration = Duration::from_millis(1_000);

/// Returns whether one instance watches the directory for others here.
pub(super) fn is_crowded(app: &App) -> bool {
    let Some(hosted) = &app.settings.hosted else { return false };
    let region = &app.settings.region;
    let others = app.member_view().live().filter(|m| m.info.region == *region).count();
    others + 1 >= hosted.crowd
}

/// Returns whether this instance watches the directory for its region, or for its availability zone
/// if the view can't hold the region.
///
/// Instances whose member views differ may both do so; that only costs additional reads.
pub(super) fn is_region_watcher(app: &App) -> bool {
    is_crowded(app) && app.member_view().shared_rank("targets") == 0
}

/// The latest changes that this instance read, to be sent to the others of its region.
#[derive(Default)]
pub(super) struct ChangeRelay {
    recent: VecDeque<TargetBatch>,
}

impl ChangeRelay {
    /// Adds a batch; drops older ones that it does not continue, or that exceed a datagram.
    pub(super) fn record(&mut self, batch: TargetBatch) {
        if self.recent.back().is_some_and(|b| b.to != batch.from) {
            self.recent.clear();
        }
        self.recent.push_back(batch);
        let changes = |recent: &VecDeque<TargetBatch>| -> usize {
            recent.iter().map(|b| b.changes.len()).sum()
        };
        while self.recent.len() > MAX_BATCHES || changes(&self.recent) > MAX_CHANGES {
            self.recent.pop_front();
        }
    }

    /// Sends the recorded batches to the other instances of the region.
    pub(super) async fn send(&self, app: &App) {
        if self.recent.is_empty() {
            return;
        }
        let region = &app.settings.region;
        let peers: Vec<_> = {
            let view = app.member_view();
            let here = view.live().filter(|m| m.info.region == *region);
            here.map(|m| (m.info.address, m.info.id.clone())).collect()
        };
        let batches: Vec<TargetBatch> = self.recent.iter().cloned().collect();
        for (address, id) in peers {
            send_datagram(app, address, Some(id), Message::Targets(batches.clone())).await;
        }
    }
}

/// Returns the batches that are new after revision `at`; `None` if changes in between are missing.
pub(super) fn batches_after(batches: &[TargetBatch], at: Revision) -> Option<&[TargetBatch]> {
    let next = batches.iter().position(|b| b.to > at).unwrap_or(batches.len());
    let recent = batches.last().is_some_and(|b| b.to >= at);
    let contiguous = batches.get(next).is_none_or(|b| b.from <= at);
    (recent && contiguous).then(|| &batches[next..])
}

#[cfg(test)]
mod tests;
