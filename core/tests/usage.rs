//! Model check of the usage reports, with the decision functions that the daemon runs.
//!
//! The check explores every interleaving of two processes that take turns to hold the duty, with
//! pauses, expired leases, lost answers of the store and of the platform, and writes and
//! calls that are carried out late. It fails if the platform gets two different reports of a window,
//! one number from two processes, or, where it does not check numbers itself, a lower number after a
//! higher one. A process that has died is one that does nothing any more.

use {
    lentil_core::{
        clock::Time,
        ids::{Fence, Incarnation, InstanceId, WorkspaceId},
        mesh::{
            seal_extensions, Extension, ExtensionEnvelope, UsageCounts, VersionRange, WindowCounts,
            WorkspaceCount, MAX_DATAGRAM_BYTES,
        },
        order::Holder,
        usage::{
            CallEnd, ReportTiming, Reporter, UnixTime, UsageMessage, UsageRecord, WindowId,
            WindowLength, WindowUsage,
        },
    },
    pathfinding::prelude::bfs_reach,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Most writes, and most calls, in flight at the same time.
const MAX_IN_FLIGHT: usize = 2;

/// Bounds of the explored paths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Bounds {
    /// Greatest fencing number, which limits the changes of the holder.
    number: u64,
    /// Windows that are reported.
    windows: u64,
}

/// Which rule is switched off, to show that the check notices it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Without {
    Nothing,
    /// Reports are sent before the record was written.
    Record,
    /// A successor does not wait for its predecessor's calls.
    Quiet,
    /// The lease is not checked before a call.
    Authority,
}

/// Counts of a window, as its number of requests.
type Counts = u64;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    /// Holds the duty by this number and has not read the record.
    Acquired(u64),
    /// Holds the duty and knows the record that had this version.
    Held {
        number: u64,
        record: Option<UsageRecord>,
        version: u64,
    },
    /// Waits for the answer to a write.
    Writing {
        number: u64,
        old: Option<UsageRecord>,
        record: UsageRecord,
        version: u64,
    },
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Process {
    phase: Phase,
    /// Whether the process considers its lease valid.
    valid: bool,
    /// Windows whose reports it knows to be accepted.
    accepted: BTreeSet<WindowId>,
}

/// A write that the store may carry out at any time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Write {
    from: usize,
    base: u64,
    record: UsageRecord,
}

/// A call that the platform may carry out at any time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Call {
    number: u64,
    from: usize,
    window: u64,
    counts: Counts,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct State {
    /// Process that has the lease in the store.
    holder: Option<usize>,
    /// Number assigned last.
    number: u64,
    /// The stored record and its version.
    record: Option<UsageRecord>,
    version: u64,
    processes: [Process; 2],
    writes: Vec<Write>,
    calls: BTreeSet<Call>,
    fenced: bool,
    without: Without,
    bounds: Bounds,
    /// Greatest number that the platform has seen.
    seen: u64,
    /// Report and process by window and by number, as the platform has them.
    reports: BTreeMap<u64, Counts>,
    senders: BTreeMap<u64, usize>,
    violation: Option<&'static str>,
}

fn holder(p: usize) -> Holder {
    Holder { instance: ["a", "b"][p].parse().unwrap(), start: Incarnation(1) }
}

fn workspace() -> WorkspaceId {
    "w".parse().unwrap()
}

fn timing(fenced: bool) -> ReportTiming {
    ReportTiming {
        length: WindowLength::from_secs_f64(5.0),
        deadline: Duration::from_secs(10),
        spacing: Duration::ZERO,
        fenced,
    }
}

/// A moment at which all windows of the model are due and none is old, and the time that is over
/// since the acquisition then.
fn moment() -> (Time, UnixTime) {
    (Time::from_millis(30_000), UnixTime(2 * 5_000 + 3_000))
}

impl State {
    fn start(fenced: bool, without: Without, bounds: Bounds) -> Self {
        let process = Process { phase: Phase::Idle, valid: false, accepted: BTreeSet::new() };
        Self {
            holder: None,
            number: 0,
            record: None,
            version: 0,
            processes: [process.clone(), process],
            writes: Vec::new(),
            calls: BTreeSet::new(),
            fenced,
            without,
            bounds,
            seen: 0,
            reports: BTreeMap::new(),
            senders: BTreeMap::new(),
            violation: None,
        }
    }

    fn changed(&self, change: impl FnOnce(&mut State)) -> State {
        let mut state = self.clone();
        change(&mut state);
        state
    }

    /// The decisions of process `p`, which holds the duty and knows `record`.
    fn reporter(&self, p: usize, number: u64, record: Option<&UsageRecord>) -> Reporter {
        let mut reporter =
            Reporter::new(timing(self.fenced), Fence(number), None, Time::from_millis(1_000));
        reporter.set_record(record.cloned());
        for window in &self.processes[p].accepted {
            reporter.record_call(*window, CallEnd::Accepted, 0.0, Time::from_millis(1_000));
        }
        reporter
    }

    /// All possible successor states.
    fn next(&self) -> Vec<State> {
        if self.violation.is_some() {
            return Vec::new();
        }
        let mut states = Vec::new();
        for p in 0..2 {
            self.process_steps(p, &mut states);
            self.faults(p, &mut states);
        }
        for i in 0..self.writes.len() {
            states.push(self.changed(|s| s.carry_out_write(i)));
        }
        for call in &self.calls {
            states.push(self.changed(|s| {
                s.calls.remove(call);
                s.carry_out_call(call);
            }));
        }
        states
    }

    fn process_steps(&self, p: usize, states: &mut Vec<State>) {
        let me = &self.processes[p];
        match &me.phase {
            Phase::Idle if self.holder.is_none() && self.number < self.bounds.number => {
                states.push(self.changed(|s| {
                    s.holder = Some(p);
                    s.number += 1;
                    s.processes[p].valid = true;
                    s.processes[p].phase = Phase::Acquired(s.number);
                }));
            }
            Phase::Idle => {}
            Phase::Acquired(number) => states.push(self.changed(|s| {
                let (record, version) = (s.record.clone(), s.version);
                s.processes[p].phase = Phase::Held { number: *number, record, version };
            })),
            Phase::Held { number, record, version } => {
                self.fix(p, *number, record.as_ref(), *version, states);
                self.call(p, *number, record.as_ref(), states);
            }
            // Without an answer, the same value is written again, or the record is read.
            Phase::Writing { number, old, record, version } if me.valid => {
                let write = Write { from: p, base: *version, record: record.clone() };
                if !self.writes.contains(&write) && self.writes.len() < MAX_IN_FLIGHT {
                    states.push(self.changed(|s| s.writes.push(write)));
                }
                let own = self.record.as_ref() == Some(record);
                if self.version != *version {
                    states.push(self.changed(|s| {
                        let (stored, version) = (s.record.clone(), s.version);
                        let record = if own { Some(record.clone()) } else { stored };
                        let record = record.or(old.clone());
                        s.processes[p].phase = Phase::Held { number: *number, record, version };
                    }));
                }
            }
            Phase::Writing { .. } => {}
        }
    }

    /// Process `p` writes the record with the report of the next window.
    fn fix(
        &self,
        p: usize,
        number: u64,
        record: Option<&UsageRecord>,
        version: u64,
        states: &mut Vec<State>,
    ) {
        let reporter = self.reporter(p, number, record);
        let next = reporter.next_window(|_| Some(WindowId(0)), moment());
        let (windows, _) = reporter.due_windows(next, moment());
        let valid = self.processes[p].valid;
        let Some(window) = windows.first().filter(|w| valid && w.0 < self.bounds.windows) else {
            return;
        };
        if reporter.is_superseded() || self.writes.len() >= MAX_IN_FLIGHT {
            return;
        }
        // Each holder has got other counts.
        let counts = BTreeMap::from([(workspace(), number)]);
        let writer = format!("{p}-{number}-{}", window.0);
        let writer = (holder(p), writer.parse().unwrap());
        let (new, _) = reporter.propose([(*window, counts)], writer, moment().1);
        if self.without == Without::Record {
            let call = Call { number, from: p, window: window.0, counts: number };
            states.push(self.changed(|s| {
                s.calls.insert(call);
            }));
        }
        states.push(self.changed(|s| {
            s.writes.push(Write { from: p, base: version, record: new.clone() });
            let old = record.cloned();
            s.processes[p].phase = Phase::Writing { number, old, record: new, version };
        }));
    }

    /// Process `p` sends the report that is next.
    fn call(&self, p: usize, number: u64, record: Option<&UsageRecord>, states: &mut Vec<State>) {
        let reporter = self.reporter(p, number, record);
        let Some(report) = reporter.next_call(moment()) else { return };
        let authority = self.processes[p].valid || self.without == Without::Authority;
        // The lease's margin and the quiet time are over once no earlier call is in flight.
        let quiet = self.fenced
            || self.without == Without::Quiet
            || self.calls.iter().all(|c| c.number >= number);
        if !authority || !quiet || self.calls.len() >= MAX_IN_FLIGHT {
            return;
        }
        let counts = report.counts[&workspace()];
        let call = Call { number, from: p, window: report.window.0, counts };
        let window = report.window;
        // With an answer, and without one.
        if !self.fenced || number >= self.seen {
            states.push(self.changed(|s| {
                s.carry_out_call(&call);
                s.processes[p].accepted.insert(window);
            }));
        }
        states.push(self.changed(|s| {
            s.calls.insert(call);
        }));
    }

    fn faults(&self, p: usize, states: &mut Vec<State>) {
        let me = &self.processes[p];
        if me.valid {
            // The process notices the end of its lease first, by the margin.
            states.push(self.changed(|s| s.processes[p].valid = false));
        } else if self.holder == Some(p) {
            states.push(self.changed(|s| s.holder = None));
        } else if me.phase != Phase::Idle {
            states.push(self.changed(|s| {
                s.processes[p].phase = Phase::Idle;
                s.processes[p].accepted.clear();
            }));
        }
    }

    fn carry_out_write(&mut self, i: usize) {
        let write = self.writes.remove(i);
        if write.base == self.version {
            self.version += 1;
            self.record = Some(write.record);
        }
    }

    fn carry_out_call(&mut self, call: &Call) {
        if self.fenced && call.number < self.seen {
            return;
        }
        if call.number < self.seen {
            self.violation = Some("a lower number after a higher one");
        }
        self.seen = self.seen.max(call.number);
        if *self.reports.entry(call.window).or_insert(call.counts) != call.counts {
            self.violation = Some("two reports of a window");
        }
        if *self.senders.entry(call.number).or_insert(call.from) != call.from {
            self.violation = Some("one number of two processes");
        }
    }
}

/// Returns the number of states and the first violation.
fn explore(fenced: bool, without: Without, bounds: Bounds) -> (usize, Option<&'static str>) {
    let mut count = 0;
    for state in bfs_reach(State::start(fenced, without, bounds), State::next) {
        count += 1;
        if state.violation.is_some() {
            return (count, state.violation);
        }
    }
    (count, None)
}

#[test]
fn reports_are_unique_and_numbers_rise_in_every_interleaving() {
    let cases = [Bounds { number: 3, windows: 1 }, Bounds { number: 2, windows: 2 }];
    for (bounds, fenced) in cases.into_iter().flat_map(|b| [(b, false), (b, true)]) {
        let (states, violation) = explore(fenced, Without::Nothing, bounds);
        println!("{bounds:?} fenced={fenced}: {states} states");
        assert_eq!(violation, None);
        assert!(states > 1_000, "{states} states");
    }
}

/// Guards against a check that would notice nothing.
#[test]
fn check_notices_the_lack_of_each_rule() {
    let cases = [
        (false, Without::Record, "two reports of a window"),
        (true, Without::Record, "two reports of a window"),
        (false, Without::Quiet, "a lower number after a higher one"),
        (false, Without::Authority, "a lower number after a higher one"),
    ];
    for (fenced, without, expected) in cases {
        let (states, violation) = explore(fenced, without, Bounds { number: 3, windows: 2 });
        println!("fenced={fenced} {without:?}: {states} states");
        assert_eq!(violation, Some(expected), "{without:?}");
    }
}

/// Returns the bytes of the frames that carry the counts of a window.
fn frame_bytes(workspaces: usize, name_bytes: usize, count: u64, instance: &str) -> Vec<usize> {
    let name = |i| format!("{i:0name_bytes$}").parse::<WorkspaceId>().unwrap();
    let counts = (0..workspaces).map(|i| (name(i), count)).collect();
    let windows = vec![WindowUsage { window: WindowId(353_445_120), counts }];
    let [from, to] = [1, 2].map(|i| format!("{instance}{i}").parse::<InstanceId>().unwrap());
    let messages = UsageMessage::messages(UnixTime(1_767_225_600_000), windows, [&from, &to]);
    let frame = |message: UsageMessage| {
        let count =
            |(workspace, count)| WorkspaceCount { workspace: String::from(workspace), count };
        let window = |w: WindowUsage| WindowCounts {
            window: w.window.0,
            counts: w.counts.into_iter().map(count).collect(),
        };
        let message = UsageCounts {
            sent_ms: message.time.unwrap().0,
            windows: message.windows.into_iter().map(window).collect(),
            ..UsageCounts::default()
        };
        let envelope = ExtensionEnvelope {
            from: Holder { instance: from.clone(), start: Incarnation(1 << 41) },
            to: Some(to.clone()),
            number: 1 << 40,
            versions: VersionRange::OWN,
            messages: vec![Extension::UsageCounts(message)],
            unknown: 0,
        };
        seal_extensions(envelope, b"0123456789abcdef", MAX_DATAGRAM_BYTES).unwrap().len()
    };
    messages.into_iter().map(frame).collect()
}

/// Guards against counts that are never sent since their frame exceeds a datagram.
#[test]
fn messages_fit_datagrams() {
    const INSTANCE: &str = "edge-alesund-hall-";
    for (workspaces, name, count) in [(0, 1, 0), (40, 8, 3), (69, 8, 3), (80, 8, 200)] {
        let bytes = frame_bytes(workspaces, name, count, INSTANCE);
        println!("{workspaces} workspaces: {bytes:?} bytes");
        assert_eq!(bytes.len(), 1, "the usual message is one datagram");
    }
    // Names of the greatest length, and counts beyond what a window can have; sealing fails if a
    // frame is too large.
    let long = "n".repeat(127);
    for (workspaces, name, count) in [(6_200, 8, 1 << 20), (500, 128, u64::MAX), (6_200, 4, 1)] {
        for instance in ["i", &long] {
            let bytes = frame_bytes(workspaces, name, count, instance);
            println!("{workspaces} workspaces: {} frames, {:?}", bytes.len(), bytes.iter().max());
        }
    }
}
