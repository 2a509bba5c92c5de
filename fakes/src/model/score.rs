use super::{Trace, KINDS};

/// What became of a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fate {
    /// When its first token came, in seconds of the trace.
    pub first: Option<f64>,
    /// When it ended.
    pub end: Option<f64>,
    /// When it was refused.
    pub refused: Option<f64>,
    /// Times that it was begun again.
    pub retries: u32,
}

/// Latest first token after arrival, in seconds.
pub const FIRST: f64 = 0.48;
/// Longest mean time between tokens, in seconds.
pub const BETWEEN: f64 = 0.078;

/// Figures of one run.
#[derive(Debug, Clone, Default)]
pub struct Score {
    /// Part of the requests that met all targets.
    pub goodput: f64,
    /// The same for the class that fared worst.
    pub worst: f64,
    /// Good requests per second.
    pub good_rate: f64,
    /// Role changes begun.
    pub changes: u32,
    /// Part of the prompts' tokens found in the caches.
    pub hits: f64,
    /// 95th percentile of the time to the first token, in seconds, of what was taken on.
    pub first95: f64,
    /// Greatest mean load of an engine over the mean of all.
    pub spread: f64,
    /// Part of the requests that were refused.
    pub refused: f64,
    /// Requests that missed the first token, the time between tokens, the deadline.
    pub spent: [u32; 3],
    /// Retries as a part of all requests.
    pub retries: f64,
    /// Good and all requests, second by second.
    pub line: Vec<(u32, u32)>,
    /// Prefilling engines, second by second.
    pub roles: Vec<usize>,
    /// Good part by workspace.
    pub workspaces: Vec<f64>,
}

impl Fate {
    /// Whether a request met all its targets.
    pub fn good(&self, at: f64, output: u64, deadline: f64) -> bool {
        self.end.is_some() && self.missed(at, output, deadline).is_none()
    }

    /// The first target that a request missed which was taken on: 0 for the first token, 1 for the
    /// time between tokens, 2 for the deadline.
    pub fn missed(&self, at: f64, output: u64, deadline: f64) -> Option<usize> {
        let (Some(first), Some(end)) = (self.first, self.end) else { return None };
        let between = (end - first) / output.saturating_sub(1).max(1) as f64;
        let met = [first - at <= FIRST, between <= BETWEEN, end - at <= deadline];
        met.iter().position(|m| !m)
    }
}

/// Scores the fates of a trace's requests.
pub fn score(trace: &Trace, fates: &[Fate]) -> Score {
    let mut score = Score::default();
    let mut classes = [(0_u32, 0_u32); KINDS.len()];
    let mut workspaces: Vec<(u32, u32)> = Vec::new();
    let mut firsts = Vec::new();
    for (arrival, fate) in trace.arrivals.iter().zip(fates) {
        let good = fate.good(arrival.at, arrival.output, KINDS[arrival.kind].deadline);
        let second = arrival.at as usize;
        if score.line.len() <= second {
            score.line.resize(second + 1, (0, 0));
        }
        if workspaces.len() <= arrival.workspace {
            workspaces.resize(arrival.workspace + 1, (0, 0));
        }
        let counts = [
            &mut score.line[second],
            &mut classes[arrival.kind],
            &mut workspaces[arrival.workspace],
        ];
        for (hits, all) in counts {
            *hits += u32::from(good);
            *all += 1;
        }
        if let Some(missed) = fate.missed(arrival.at, arrival.output, KINDS[arrival.kind].deadline)
        {
            score.spent[missed] += 1;
        }
        firsts.extend(fate.first.map(|f| f - arrival.at));
        score.refused += f64::from(u32::from(fate.refused.is_some()));
        score.retries += f64::from(fate.retries);
    }
    let part = |(good, all): &(u32, u32)| f64::from(*good) / f64::from((*all).max(1));
    let all = trace.arrivals.len().max(1) as f64;
    let good: u32 = classes.iter().map(|c| c.0).sum();
    score.goodput = f64::from(good) / all;
    score.good_rate = f64::from(good) / super::LENGTH;
    score.worst = classes.iter().map(part).fold(1.0, f64::min);
    score.workspaces = workspaces.iter().map(part).collect();
    score.refused /= all;
    score.retries /= all;
    firsts.sort_by(f64::total_cmp);
    score.first95 = firsts.get(firsts.len() * 95 / 100).copied().unwrap_or(0.0);
    score
}
