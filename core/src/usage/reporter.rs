use {
    super::{FixedReport, UnixTime, UsageRecord, WindowId, WindowLength, KEEP_TIME},
    crate::{
        clock::Time,
        ids::{Fence, WorkspaceId, WriterToken},
        limit::Backoff,
        order::Holder,
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        time::Duration,
    },
};

/// Time after the end of a window at which its report is fixed. Counts are sent every second, so
/// those of the window's end are sent twice until then.
const SETTLE_TIME: Duration = Duration::from_millis(2_200);
/// Time after the acquisition in which the other instances learn of the new holder and send their
/// counts.
const GATHER_TIME: Duration = Duration::from_millis(2_000);
/// Shortest time after the acquisition in which no call is made, so that calls of three holders are
/// never close together. Together with the lease's margin of a second, a predecessor's last call is
/// four seconds old.
const MIN_QUIET_TIME: Duration = Duration::from_secs(3);
/// Longest such time; it is used as far as the deadline of the reports permits. A platform that does
/// not check fencing numbers may carry out a predecessor's lost call seconds late.
const MAX_QUIET_TIME: Duration = Duration::from_secs(6);
/// Time before a deadline at which a report is sent although more quiet time would be safer.
const DEADLINE_RESERVE: Duration = Duration::from_millis(1_500);
/// First pause after a failed call.
const MIN_BACKOFF: Duration = Duration::from_millis(500);
/// Longest pause after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Times of the reports, by the platform's settings.
#[derive(Debug, Clone, Copy)]
pub struct ReportTiming {
    /// Length of a window.
    pub length: WindowLength,
    /// Time after the end of a window within which its report is due.
    pub deadline: Duration,
    /// Shortest time between two calls.
    pub spacing: Duration,
    /// Whether the platform refuses calls with a lower fencing number than it has seen.
    pub fenced: bool,
}

/// How a call to the platform ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// The platform has accepted the report.
    Accepted,
    /// The platform may still accept it, or has refused it for now.
    Open,
}

/// Decisions of the holder of the duty: which reports are fixed now, and which is sent next.
#[derive(Debug)]
pub struct Reporter {
    timing: ReportTiming,
    number: Fence,
    acquired: Time,
    record: Option<UsageRecord>,
    /// Windows that the platform has accepted since the record was written.
    accepted: BTreeSet<WindowId>,
    /// Calls made for each report.
    calls: HashMap<WindowId, u32>,
    backoff: Backoff,
    next_call: Time,
}

impl Reporter {
    /// Creates the state of a holder that acquires the duty at `now` and has read `record`.
    pub fn new(
        timing: ReportTiming,
        number: Fence,
        record: Option<UsageRecord>,
        now: Time,
    ) -> Self {
        Self {
            timing,
            number,
            acquired: now,
            record,
            accepted: BTreeSet::new(),
            calls: HashMap::new(),
            backoff: Backoff::new(MIN_BACKOFF, MAX_BACKOFF),
            next_call: now,
        }
    }

    /// Returns the fencing number of the holder.
    pub fn number(&self) -> Fence {
        self.number
    }

    /// Returns whether a record is known.
    pub fn has_record(&self) -> bool {
        self.record.is_some()
    }

    /// Returns how many calls this holder has made for a report.
    pub fn calls(&self, window: WindowId) -> u32 {
        self.calls.get(&window).copied().unwrap_or(0)
    }

    /// Returns whether a later holder has written the record.
    pub fn is_superseded(&self) -> bool {
        self.record.as_ref().is_some_and(|r| r.number > self.number)
    }

    /// Replaces the known record: by what was written or read.
    pub fn set_record(&mut self, record: Option<UsageRecord>) {
        let floor = self.record.as_ref().map(|r| r.next);
        // The record's loss must not lead to a second report of a window.
        if record.as_ref().map(|r| r.next) < floor {
            return;
        }
        self.record = record;
        let reports = self.record.iter().flat_map(|r| &r.reports);
        let kept: BTreeSet<WindowId> = reports.map(|r| r.window).collect();
        self.accepted.retain(|w| kept.contains(w));
        self.calls.retain(|w, _| kept.contains(w));
    }

    /// Returns the first window whose report is not fixed. Without a record, that is the first one
    /// with counts, as returned by `first_counted`, among those that could still be reported in time
    /// at the acquisition; without such counts, the window of the acquisition.
    pub fn next_window(
        &self,
        first_counted: impl Fn(WindowId) -> Option<WindowId>,
        (now, time): (Time, UnixTime),
    ) -> WindowId {
        if let Some(record) = &self.record {
            return record.next;
        }
        let acquired = time.earlier(now - self.acquired);
        let began = self.timing.length.window_at(acquired);
        let from = self.timing.length.window_at(acquired.earlier(self.timing.deadline)).next();
        first_counted(from).map_or(began, |w| w.min(began))
    }

    /// Returns the windows from `next` on whose reports are to be fixed now, and the number of
    /// windows before them that are skipped because their counts are no longer kept.
    pub fn due_windows(
        &self,
        next: WindowId,
        (now, time): (Time, UnixTime),
    ) -> (Vec<WindowId>, u64) {
        let length = self.timing.length;
        if now - self.acquired < GATHER_TIME || length.end(next) + SETTLE_TIME > time {
            return (Vec::new(), 0);
        }
        let kept = WindowId(
            length
                .window_at(time)
                .0
                .saturating_sub((KEEP_TIME.as_millis() / length.duration().as_millis()) as u64),
        );
        let first = next.max(kept);
        let due = (first.0..).map(WindowId).take_while(|w| length.end(*w) + SETTLE_TIME <= time);
        (due.collect(), first.0 - next.0)
    }

    /// Returns the record with the reports of further windows, and the windows whose reports are
    /// given up. Nothing of it may be sent before it was written.
    pub fn propose(
        &self,
        windows: impl IntoIterator<Item = (WindowId, BTreeMap<WorkspaceId, u64>)>,
        (holder, writer): (Holder, WriterToken),
        time: UnixTime,
    ) -> (UsageRecord, Vec<WindowId>) {
        let old = self.record.as_ref();
        let mut record = UsageRecord {
            writer,
            holder,
            number: self.number,
            next: old.map_or(WindowId(0), |r| r.next),
            reports: old.map(|r| r.reports.clone()).unwrap_or_default(),
        };
        for report in &mut record.reports {
            report.accepted |= self.accepted.contains(&report.window);
        }
        for (window, counts) in windows {
            // A window that is fixed already keeps its report.
            if window >= record.next {
                record.next = window.next();
                record.reports.push(FixedReport { window, counts, accepted: false });
            }
        }
        let given_up = record.remove_done(self.timing.length, time);
        (record, given_up)
    }

    /// Returns the report to send now: the one sent least often, then the oldest one.
    pub fn next_call(&self, (now, time): (Time, UnixTime)) -> Option<&FixedReport> {
        if now < self.next_call || self.is_superseded() {
            return None;
        }
        let open = self.record.iter().flat_map(|r| &r.reports).filter(|report| {
            let kept = time < self.timing.length.end(report.window) + KEEP_TIME;
            kept && !report.accepted && !self.accepted.contains(&report.window)
        });
        let calls = |r: &&FixedReport| (self.calls.get(&r.window).copied(), r.window);
        let report = open.min_by_key(calls)?;
        self.is_quiet_over(report.window, now, time).then_some(report)
    }

    /// Returns whether calls of a predecessor are certainly over, or the deadline of a report
    /// permits no longer wait.
    fn is_quiet_over(&self, window: WindowId, now: Time, time: UnixTime) -> bool {
        // The first fencing number has no predecessor.
        if self.number <= Fence(1) {
            return true;
        }
        let waited = now - self.acquired;
        let latest = self.timing.length.end(window) + self.timing.deadline;
        let urgent = latest <= time + DEADLINE_RESERVE;
        waited >= MAX_QUIET_TIME || waited >= MIN_QUIET_TIME && (self.timing.fenced || urgent)
    }

    /// Records how a call ended that was made for a window's report. `jitter` is a random number in
    /// 0..1.
    pub fn record_call(&mut self, window: WindowId, end: CallEnd, jitter: f64, now: Time) {
        *self.calls.entry(window).or_default() += 1;
        let pause = match end {
            CallEnd::Accepted => {
                self.accepted.insert(window);
                self.backoff.record_success();
                Duration::ZERO
            }
            CallEnd::Open => self.backoff.record_failure(jitter),
        };
        self.next_call = now + pause.max(self.timing.spacing);
    }
}
