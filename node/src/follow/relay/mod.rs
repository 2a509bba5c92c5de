use {
    crate::{app::App, mesh::send_datagram},
    lentil_core::{fleet::TargetBatch, ids::Revision, mesh::Message},
    std::{collections::VecDeque, time::Duration},
};

/// Batches in each note: one that was lost comes again with the next ones.
const MAX_BATCHES: usize = 4;
/// Changes in one note at most, so that it fits a datagram; who misses some looks itself.
const MAX_CHANGES: usize = 10;
/// Longest wait of a look for all: each that ends is told, and shows that the store is there.
pub(super) const WATCH_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause between two looks for all.
pub(super) const WATCH_PAUSE: Duration = Duration::from_millis(250);
/// Time after a note within which an instance does not look itself: two notes may be lost, and a
/// leaving target is still known within its bound.
pub(super) const RELAY_VALIDITY: Duration = Duration::from_millis(1_000);

/// Whether this instance looks at the directory for its region.
///
/// Instances whose views differ may both do so; that only costs looks.
pub(super) fn is_region_watcher(app: &App) -> bool {
    let Some(hosted) = &app.settings.hosted else { return false };
    let region = &app.settings.region;
    let view = app.view();
    let others = view.live().filter(|m| m.info.region == *region).count();
    others + 1 >= hosted.crowd && view.rank_for("targets", region) == 0
}

/// The latest changes that this instance read, to be told.
#[derive(Default)]
pub(super) struct ChangeRelay {
    recent: VecDeque<TargetBatch>,
}

impl ChangeRelay {
    /// Notes what a look has found.
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

    /// Tells the other instances of the region.
    pub(super) async fn send(&self, app: &App) {
        if self.recent.is_empty() {
            return;
        }
        let region = &app.settings.region;
        let peers: Vec<_> = {
            let view = app.view();
            let here = view.live().filter(|m| m.info.region == *region);
            here.map(|m| (m.info.address, m.info.id.clone())).collect()
        };
        let batches: Vec<TargetBatch> = self.recent.iter().cloned().collect();
        for (address, id) in peers {
            send_datagram(app, address, Some(id), Message::Targets(batches.clone())).await;
        }
    }
}

/// The batches that lead on from a revision; `None` if some between are missing.
pub(super) fn batches_after(batches: &[TargetBatch], at: Revision) -> Option<&[TargetBatch]> {
    let next = batches.iter().position(|b| b.to > at).unwrap_or(batches.len());
    let reaches = batches.last().is_some_and(|b| b.to >= at);
    let joins = batches.get(next).is_none_or(|b| b.from <= at);
    (reaches && joins).then(|| &batches[next..])
}

#[cfg(test)]
mod tests;
