use {
    super::{UnixTime, WindowId, WindowLength, WindowUsage, KEEP_TIME},
    crate::{ids::WorkspaceId, order::Holder},
    std::collections::{BTreeMap, HashMap},
};

/// Counts that other instances sent to the holder of the duty.
///
/// The counts of a process only increase, so the greatest one of each workspace counts. Messages may
/// therefore be lost, repeated, split and reordered. Counts of a process that has ended stay, and a
/// process restarted under its name counts from zero beside it.
#[derive(Debug, Default)]
pub struct UsageTally {
    windows: BTreeMap<WindowId, HashMap<Holder, BTreeMap<WorkspaceId, u64>>>,
}

impl UsageTally {
    /// Merges counts of a process; returns by how much they increased.
    pub fn merge(&mut self, from: &Holder, counts: WindowUsage) -> u64 {
        let window = self.windows.entry(counts.window).or_default();
        let known = window.entry(from.clone()).or_default();
        let mut increase = 0;
        for (workspace, count) in counts.counts {
            let latest = known.entry(workspace).or_default();
            increase += count.saturating_sub(*latest);
            *latest = count.max(*latest);
        }
        increase
    }

    /// Adds the counts of a window to `sum`.
    pub fn add_to(&self, window: WindowId, sum: &mut BTreeMap<WorkspaceId, u64>) {
        for counts in self.windows.get(&window).into_iter().flat_map(HashMap::values) {
            for (workspace, count) in counts {
                *sum.entry(workspace.clone()).or_default() += count;
            }
        }
    }

    /// Returns the first window from `from` on that has counts.
    pub fn first_window(&self, from: WindowId) -> Option<WindowId> {
        self.windows.range(from..).next().map(|(w, _)| *w)
    }

    /// Removes the counts of windows that ended [`KEEP_TIME`] ago, and of those as far in the
    /// future, which a wrong clock may bring.
    pub fn remove_old(&mut self, length: WindowLength, time: UnixTime) {
        self.windows
            .retain(|w, _| time < length.end(*w) + KEEP_TIME && length.end(*w) < time + KEEP_TIME);
    }
}
