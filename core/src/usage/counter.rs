use {
    super::{UnixTime, WindowId, WindowLength, WindowUsage},
    crate::ids::WorkspaceId,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Time for which counts are kept after the end of their window.
pub const KEEP_TIME: Duration = Duration::from_secs(60);
/// Time after the end of a window in which its counts are sent again although they did not change,
/// since a message may be lost.
const REPEAT_TIME: Duration = Duration::from_millis(2_500);

/// Requests that this instance had begun at targets, by window and workspace.
#[derive(Debug)]
pub struct UsageCounter {
    length: WindowLength,
    windows: BTreeMap<WindowId, BTreeMap<WorkspaceId, u64>>,
    /// Windows with counts that were not sent yet.
    changed: BTreeSet<WindowId>,
}

impl UsageCounter {
    /// Creates a counter without counts.
    pub fn new(length: WindowLength) -> Self {
        Self { length, windows: BTreeMap::new(), changed: BTreeSet::new() }
    }

    /// Counts a request that begins to run at `time`.
    pub fn record(&mut self, workspace: &WorkspaceId, time: UnixTime) {
        let window = self.length.window_at(time);
        *self.windows.entry(window).or_default().entry(workspace.clone()).or_default() += 1;
        self.changed.insert(window);
    }

    /// Removes the counts of windows that ended [`KEEP_TIME`] ago. Those of an earlier wrong
    /// estimate that lie as far in the future are removed too.
    pub fn remove_old(&mut self, time: UnixTime) {
        let length = self.length;
        let kept =
            |w: &WindowId| time < length.end(*w) + KEEP_TIME && length.end(*w) < time + KEEP_TIME;
        self.windows.retain(|w, _| kept(w));
        self.changed.retain(kept);
    }

    /// Marks the counts of all windows from `from` on to be sent, to a new holder.
    pub fn send_again(&mut self, from: WindowId) {
        self.changed = self.windows.range(from..).map(|(w, _)| *w).collect();
    }

    /// Returns the counts to be sent now: of windows that changed since the last call, and of those
    /// that ended not long ago. Without `open`, the counts of the window in progress are kept back.
    pub fn take_changes(&mut self, time: UnixTime, open: bool) -> Vec<WindowUsage> {
        let length = self.length;
        let ended = |w: &WindowId| length.end(*w) <= time;
        let repeated = |w: &WindowId| ended(w) && time < length.end(*w) + REPEAT_TIME;
        let changed = std::mem::take(&mut self.changed);
        let (sent, kept_back) = changed.into_iter().partition(|w| open || ended(w));
        self.changed = kept_back;
        let sent: BTreeSet<WindowId> = sent;
        let due = self.windows.iter().filter(|(w, _)| sent.contains(w) || repeated(w));
        due.map(|(window, counts)| WindowUsage {
            window: *window,
            counts: counts.iter().map(|(w, n)| (w.clone(), *n)).collect(),
        })
        .collect()
    }

    /// Returns the counts of a window.
    pub fn counts(&self, window: WindowId) -> impl Iterator<Item = (&WorkspaceId, u64)> {
        self.windows.get(&window).into_iter().flatten().map(|(w, n)| (w, *n))
    }

    /// Returns the first window from `from` on that has counts.
    pub fn first_window(&self, from: WindowId) -> Option<WindowId> {
        self.windows.range(from..).next().map(|(w, _)| *w)
    }
}
