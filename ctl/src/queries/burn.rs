use {
    crate::{
        args::Burn,
        logs::{Line, Logs},
    },
    anyhow::{ensure, Result},
    std::{collections::BTreeMap, fmt::Write as _, fs},
    time::OffsetDateTime,
};

/// How a request ended, for the objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Whole and in time.
    Good,
    /// Whole, later than its objective.
    Late,
    /// Answered that it has not run.
    Refused,
    /// A failure, or an answer that broke off.
    Failed,
    /// Its caller left.
    Left,
}

impl End {
    /// All ends, in the order of reports.
    pub const ALL: [Self; 5] = [Self::Good, Self::Late, Self::Refused, Self::Failed, Self::Left];

    fn of(line: &Line) -> Option<Self> {
        if line.part() != "run" {
            return None;
        }
        if line.says("left") {
            return Some(Self::Left);
        }
        if line.says("cut") {
            return Some(Self::Failed);
        }
        if line.says("given_up") {
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

/// Ends of the requests of one route in one window.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ends([u64; 5]);

impl Ends {
    /// Requests with an end.
    pub fn count(&self, end: End) -> u64 {
        self.0[end as usize]
    }

    /// Requests that count: those whose caller left are not the service's doing.
    pub fn total(&self) -> u64 {
        self.0.iter().sum::<u64>() - self.count(End::Left)
    }

    /// Part of the requests that were not good.
    pub fn bad(&self) -> f64 {
        let total = self.total();
        (total - self.count(End::Good)) as f64 / total.max(1) as f64
    }
}

/// Ends by route and window.
#[derive(Debug, Default)]
pub struct Report {
    /// Start of the first window.
    pub start: Option<OffsetDateTime>,
    /// For each route, its windows by number.
    pub routes: BTreeMap<String, BTreeMap<u64, Ends>>,
    /// Lines that the instances left out.
    pub left_out: u64,
}

impl Report {
    /// Counts the ends in logs, in windows of `seconds`.
    pub fn of(logs: &Logs, seconds: f64) -> Self {
        let mut report = Self { left_out: logs.left_out, ..Self::default() };
        for line in &logs.lines {
            let Some((end, route)) = End::of(line).zip(line.field("route")) else { continue };
            let start = *report.start.get_or_insert(line.at);
            let window = (line.since(start).as_secs_f64() / seconds) as u64;
            let windows = report.routes.entry(route.to_owned()).or_default();
            windows.entry(window).or_default().0[end as usize] += 1;
        }
        report
    }

    /// The report as text: a burn rate of 1 uses the budget up exactly.
    pub fn text(&self, goal: f64, seconds: f64) -> String {
        let mut text = String::from(
            "route                requests   good   late refused failed   left  good %   burn  worst window\n",
        );
        for (route, windows) in &self.routes {
            let all = sum(windows.values());
            let worst = windows.iter().max_by(|a, b| a.1.bad().total_cmp(&b.1.bad()));
            let _ = write!(text, "{route:<20} {:>8}", all.total());
            for (end, width) in End::ALL.into_iter().zip([6, 6, 7, 6, 6]) {
                let _ = write!(text, " {:>width$}", all.count(end));
            }
            let good = 100.0 * (1.0 - all.bad());
            let _ = write!(text, " {good:>7.2} {:>6.1}", all.bad() / (1.0 - goal));
            if let Some((window, ends)) = worst {
                let from = *window as f64 * seconds;
                let _ = write!(text, "  {:.1} from {from:.0} s", ends.bad() / (1.0 - goal));
            }
            text.push('\n');
        }
        if self.left_out > 0 {
            let _ = writeln!(text, "{} lines were left out: requests are missing", self.left_out);
        }
        text
    }
}

pub(super) fn sum<'a>(windows: impl Iterator<Item = &'a Ends>) -> Ends {
    windows.fold(Ends::default(), |mut sum, ends| {
        sum.0.iter_mut().zip(ends.0).for_each(|(a, b)| *a += b);
        sum
    })
}

/// Prints the burn report, and writes it as a page if asked to.
///
/// # Errors
/// If the logs can't be read, or the page not be written.
pub fn burn(args: &Burn) -> Result<i32> {
    ensure!((0.0..1.0).contains(&args.goal), "the goal must lie between 0 and 1");
    ensure!(args.window > 0.0, "the window must be longer than nothing");
    let report = Report::of(&Logs::read(&args.logs)?, args.window);
    print!("{}", report.text(args.goal, args.window));
    if let Some(file) = &args.html {
        fs::write(file, super::page(&report, args.goal, args.window)?)?;
    }
    Ok(0)
}
