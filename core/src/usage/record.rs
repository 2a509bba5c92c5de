use {
    super::{UnixTime, WindowId, WindowLength, KEEP_TIME},
    crate::{
        ids::{Fence, WorkspaceId, WriterToken},
        order::Holder,
    },
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Most reports in the record; the store limits the size of a value.
const MAX_REPORTS: usize = 8;

/// The fixed report of one window.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FixedReport {
    /// The window.
    pub window: WindowId,
    /// Requests by workspace.
    pub counts: BTreeMap<WorkspaceId, u64>,
    /// Whether the platform is known to have accepted the report.
    #[serde(default)]
    pub accepted: bool,
}

/// The latest reports, as one value in the store.
///
/// A report is sent only after the record that contains it was written by compare-and-swap. `next`
/// never decreases and the counts of a report never change, so there is one report of each window.
/// Unknown fields are ignored, so that later builds can add some.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Token of the write attempt that produced this value, unique for each attempt.
    pub writer: WriterToken,
    /// Process that wrote this value.
    pub holder: Holder,
    /// Its fencing number.
    pub number: Fence,
    /// First window whose report is not fixed.
    pub next: WindowId,
    /// Latest reports, by window.
    pub reports: Vec<FixedReport>,
}

impl UsageRecord {
    /// Removes reports that a successor does not need: those known to be accepted, and those of
    /// windows that ended [`KEEP_TIME`] ago. Returns the unaccepted ones among them, which are given
    /// up.
    pub fn remove_done(&mut self, length: WindowLength, time: UnixTime) -> Vec<WindowId> {
        self.reports.retain(|report| !report.accepted);
        let excess = self.reports.len().saturating_sub(MAX_REPORTS);
        let old = |r: &&FixedReport| length.end(r.window) + KEEP_TIME <= time;
        let old = self.reports.iter().take_while(old).count();
        let given_up = self.reports.drain(..old.max(excess));
        given_up.map(|report| report.window).collect()
    }
}
