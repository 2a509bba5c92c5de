use {
    super::usage_cell,
    crate::app::Clock,
    lentil_core::{
        clock::Time,
        ids::{CellId, Fence, WorkspaceId},
        settings::{DutyKind, Settings},
        usage::{
            ClockCheck, ReportTiming, TrueTime, UnixTime, UsageCounter, UsageTally, WindowId,
            WindowLength,
        },
    },
    std::{collections::BTreeMap, time::Duration},
};

/// State of the usage reports of an instance.
pub struct Usage {
    /// Times of the reports.
    pub(super) timing: ReportTiming,
    /// Cell whose holder reports.
    pub(super) cell: CellId,
    /// Estimate of true time.
    pub(super) time: TrueTime,
    /// Own requests.
    pub(super) counter: UsageCounter,
    /// Counts of other instances, while this one is the holder.
    pub(super) tally: UsageTally,
    /// Comparison of the clocks, while this one is the holder.
    pub(super) clocks: ClockCheck,
    /// First window whose report is not fixed, while this instance holds the duty.
    pub(super) next: Option<WindowId>,
    /// First window whose report this instance has not fixed. It outlasts the loss of the stored
    /// record.
    pub(super) fixed_before: WindowId,
    /// Whether the estimate of true time was compared with the other instances' since this one
    /// acquired the duty.
    pub(super) time_compared: bool,
    /// When the holder was last heard.
    pub(super) heard: Option<Time>,
    /// Fencing number of the holder to which all kept counts were sent.
    pub(super) served: Option<Fence>,
    /// When counts were last sent.
    pub(super) sent: Option<Time>,
    /// Whether the wall clock was wrong when it was last read.
    pub(super) wall_wrong: bool,
}

impl Usage {
    /// Creates the state, if the settings name the duty.
    pub fn new(settings: &Settings, clock: &Clock) -> Option<Self> {
        let api = settings.hosted.as_ref()?.api.as_ref()?;
        let (window, deadline) = api.window.zip(api.deadline)?;
        if !api.has(DutyKind::UsageReport) {
            return None;
        }
        let length = WindowLength::from_secs_f64(window);
        let timing = ReportTiming {
            length,
            deadline: Duration::from_secs_f64(deadline),
            spacing: Duration::from_secs_f64(1.0 / api.rate.max(0.1)),
            fenced: api.fenced,
        };
        Some(Self {
            timing,
            cell: usage_cell()?,
            time: TrueTime::new(clock.unix_time(), clock.now()),
            counter: UsageCounter::new(length),
            tally: UsageTally::default(),
            clocks: ClockCheck::default(),
            next: None,
            fixed_before: WindowId::default(),
            time_compared: false,
            heard: None,
            served: None,
            sent: None,
            wall_wrong: false,
        })
    }

    /// Counts a request that begins to run at a target.
    pub fn record_begin(&mut self, workspace: &WorkspaceId, now: Time) {
        let time = self.time.at(now);
        self.counter.record(workspace, time);
    }

    /// Has the next message to a new holder contain the time and all counts from `from` on.
    pub(super) fn serve_holder(&mut self, fence: Fence, from: WindowId) {
        self.served = Some(fence);
        self.sent = None;
        self.counter.send_again(from);
    }

    /// Returns the counts of a window over all instances, as far as they are known here.
    pub(super) fn total(&self, window: WindowId) -> BTreeMap<WorkspaceId, u64> {
        let own = self.counter.counts(window);
        let mut sum: BTreeMap<_, _> = own.map(|(w, n)| (w.clone(), n)).collect();
        self.tally.add_to(window, &mut sum);
        sum
    }

    /// Returns the first window from `from` on that has counts.
    pub(super) fn first_window(&self, from: WindowId) -> Option<WindowId> {
        let firsts = [self.counter.first_window(from), self.tally.first_window(from)];
        firsts.into_iter().flatten().min()
    }

    /// Removes counts that are no longer needed.
    pub(super) fn remove_old(&mut self, time: UnixTime) {
        self.counter.remove_old(time);
        self.tally.remove_old(self.timing.length, time);
    }
}
