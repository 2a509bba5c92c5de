use {
    crate::{
        args::Burn,
        logs::{Line, Logs},
    },
    anyhow::{ensure, Result},
    std::{collections::BTreeMap, fmt::Write as _, fs},
    time::OffsetDateTime,
};

/// How a request ended with respect to its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestEnd {
    /// Complete and in time.
    Good,
    /// Complete, but later than its objective.
    Late,
    /// Rejected before it ran.
    Refused,
    /// Failed, or the stream was cut.
    Failed,
    /// Abandoned by its caller.
    Left,
}

impl RequestEnd {
    /// All ends, in the order of the report's columns.
    pub const ALL: [Self; 5] = [Self::Good, Self::Late, Self::Refused, Self::Failed, Self::Left];

    /// Reads the end from a log line; `None` if the line does not end a request, or ends one that is
    /// served for another instance, which has a line of its own.
    fn from_line(line: &Line) -> Option<Self> {
        if line.part() != "run" || line.field("for").is_some() {
            return None;
        }
        if line.has_word("left") {
            return Some(Self::Left);
        }
        if line.has_word("cut") {
            return Some(Self::Failed);
        }
        if line.has_word("given_up") {
            let sent = line.number("sends").unwrap_or(0) > 0;
            return Some(if sent { Self::Failed } else { Self::Refused });
        }
        let status = line.number("status")?;
        match line.field("late") {
            _ if status >= 400 => Some(Self::Failed),
            Some("yes") => Some(Self::Late),
            _ => Some(Self::Good),
        }
    }
}

/// Number of requests of one route in one window, by their end.
#[derive(Debug, Clone, Copy, Default)]
pub struct EndCounts([u64; 5]);

impl EndCounts {
    /// Returns the number of requests that ended in this way.
    pub fn count(&self, end: RequestEnd) -> u64 {
        self.0[end as usize]
    }

    /// Returns the number of requests that count towards the objective. Those abandoned by their
    /// callers do not: the service did not cause their end.
    pub fn total(&self) -> u64 {
        self.0.iter().sum::<u64>() - self.count(RequestEnd::Left)
    }

    /// Returns the share of counted requests that did not meet the objective.
    pub fn bad_share(&self) -> f64 {
        let total = self.total();
        (total - self.count(RequestEnd::Good)) as f64 / total.max(1) as f64
    }
}

/// Burn report: ends of requests by route and time window.
#[derive(Debug, Default)]
pub struct BurnReport {
    /// Start of the first window; `None` if no request ended.
    pub start: Option<OffsetDateTime>,
    /// For each route, its windows by number, without empty ones.
    pub routes: BTreeMap<String, BTreeMap<u64, EndCounts>>,
    /// Ends of requests by workspace, without requests of unknown workspaces.
    pub workspaces: BTreeMap<String, EndCounts>,
    /// Number of lines that the instances dropped from their logs.
    pub left_out: u64,
}

impl BurnReport {
    /// Counts the requests in `logs` by how they ended, in windows of `seconds`.
    pub fn from_logs(logs: &Logs, seconds: f64) -> Self {
        let mut report = Self { left_out: logs.left_out, ..Self::default() };
        for line in &logs.lines {
            let Some((end, route)) = RequestEnd::from_line(line).zip(line.field("route")) else {
                continue;
            };
            let start = *report.start.get_or_insert(line.at);
            let window = (line.since(start).as_secs_f64() / seconds) as u64;
            if let Some(workspace) = line.field("workspace") {
                let ends = report.workspaces.entry(workspace.to_owned()).or_default();
                ends.0[end as usize] += 1;
            }
            let windows = report.routes.entry(route.to_owned()).or_default();
            windows.entry(window).or_default().0[end as usize] += 1;
        }
        report
    }

    /// Formats the report as a text table.
    ///
    /// `goal` is the share of good requests that the objective demands, and `seconds` the length of a
    /// window. A burn rate of 1 uses up the error budget exactly.
    pub fn text(&self, goal: f64, seconds: f64) -> String {
        let mut text = String::from(
            "route                requests   good   late refused failed   left  good %   burn  worst window\n",
        );
        for (route, windows) in &self.routes {
            let all = total_counts(windows.values());
            let worst = windows.iter().max_by(|a, b| a.1.bad_share().total_cmp(&b.1.bad_share()));
            let _ = write!(text, "{route:<20} {:>8}", all.total());
            for (end, width) in RequestEnd::ALL.into_iter().zip([6, 6, 7, 6, 6]) {
                let _ = write!(text, " {:>width$}", all.count(end));
            }
            let good = 100.0 * (1.0 - all.bad_share());
            let _ = write!(text, " {good:>7.2} {:>6.1}", all.bad_share() / (1.0 - goal));
            if let Some((window, ends)) = worst {
                let from = *window as f64 * seconds;
                let _ = write!(text, "  {:.1} from {from:.0} s", ends.bad_share() / (1.0 - goal));
            }
            text.push('\n');
        }
        text.push_str(&self.workspace_text());
        if self.left_out > 0 {
            let _ = writeln!(text, "{} lines were left out: requests are missing", self.left_out);
        }
        text
    }
}

impl BurnReport {
    /// Formats the ends by workspace as a text table, those with the most requests first; empty if
    /// no workspace is known.
    fn workspace_text(&self) -> String {
        let mut workspaces: Vec<_> = self.workspaces.iter().collect();
        workspaces.sort_by_key(|(_, ends)| std::cmp::Reverse(ends.total()));
        let mut text = String::new();
        for (i, (workspace, ends)) in workspaces.into_iter().enumerate() {
            if i == 0 {
                text.push_str(
                    "\nworkspace            requests   good   late refused failed   left  good %\n",
                );
            }
            let _ = write!(text, "{workspace:<20} {:>8}", ends.total());
            for (end, width) in RequestEnd::ALL.into_iter().zip([6, 6, 7, 6, 6]) {
                let _ = write!(text, " {:>width$}", ends.count(end));
            }
            let _ = writeln!(text, " {:>7.2}", 100.0 * (1.0 - ends.bad_share()));
        }
        text
    }
}

/// Adds up the counts of several windows.
pub(super) fn total_counts<'a>(windows: impl Iterator<Item = &'a EndCounts>) -> EndCounts {
    windows.fold(EndCounts::default(), |mut sum, ends| {
        sum.0.iter_mut().zip(ends.0).for_each(|(a, b)| *a += b);
        sum
    })
}

/// Prints the burn report and, with `--html`, also writes it as an HTML page.
///
/// # Errors
/// If an argument is out of range, the logs cannot be read, or the page cannot be written.
pub fn burn(args: &Burn) -> Result<i32> {
    ensure!((0.0..1.0).contains(&args.goal), "the goal must be at least 0 and less than 1");
    ensure!(args.window > 0.0, "the window must be longer than 0 s");
    let report = BurnReport::from_logs(&Logs::read(&args.logs)?, args.window);
    print!("{}", report.text(args.goal, args.window));
    if let Some(file) = &args.html {
        fs::write(file, super::html_page(&report, args.goal, args.window)?)?;
    }
    Ok(0)
}
