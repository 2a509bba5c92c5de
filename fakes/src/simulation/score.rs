use super::{Trace, CLASSES};

/// Result of one simulated request.
#[derive(Debug, Clone, Copy, Default)]
pub struct RequestResult {
    /// Time of the first token, in seconds since the start of the trace.
    pub first_token: Option<f64>,
    /// Time of the last token, in seconds since the start of the trace.
    pub finished: Option<f64>,
    /// Time at which the request was refused, in seconds since the start of the trace.
    pub refused: Option<f64>,
    /// Number of retries.
    pub retries: u32,
}

/// Objective for the time to the first token, in seconds.
pub const FIRST_TOKEN_S: f64 = 0.48;
/// Objective for the mean time between tokens, in seconds.
pub const BETWEEN_TOKENS_S: f64 = 0.078;

/// Figures of one simulation.
#[derive(Debug, Clone, Default)]
pub struct Score {
    /// Fraction of requests that met all objectives.
    pub goodput: f64,
    /// Goodput of the class with the lowest goodput.
    pub worst_class: f64,
    /// Requests per second that met all objectives.
    pub good_rate: f64,
    /// Number of role changes started.
    pub role_changes: u32,
    /// Fraction of prompt tokens found in the prefix caches.
    pub cache_hits: f64,
    /// 95th percentile of the time to the first token of admitted requests, in seconds.
    pub first_p95: f64,
    /// Busy time of the busiest engine as a multiple of the mean over all engines.
    pub load_spread: f64,
    /// Fraction of requests that were refused.
    pub refused: f64,
    /// Number of requests that missed the objective for the first token, the one for the time between
    /// tokens, and the deadline; a request that missed several counts for the first of them.
    pub missed: [u32; 3],
    /// Retries per request.
    pub retries: f64,
    /// Requests that met all objectives and all requests, by second of arrival.
    pub timeline: Vec<(u32, u32)>,
    /// Number of prefill engines in each second.
    pub prefill_engines: Vec<usize>,
    /// Goodput by index of the workspace.
    pub workspace_goodput: Vec<f64>,
}

impl RequestResult {
    /// Whether the request finished and met all objectives. `arrived` and `deadline` are in
    /// seconds, and `output` is in tokens.
    pub fn is_good(&self, arrived: f64, output: u64, deadline: f64) -> bool {
        self.finished.is_some() && self.missed_objective(arrived, output, deadline).is_none()
    }

    /// The first objective that a finished request missed: 0 for the first token, 1 for the time
    /// between tokens, 2 for the deadline.
    pub fn missed_objective(&self, arrived: f64, output: u64, deadline: f64) -> Option<usize> {
        let (Some(first), Some(finished)) = (self.first_token, self.finished) else { return None };
        let between = (finished - first) / output.saturating_sub(1).max(1) as f64;
        let met = [
            first - arrived <= FIRST_TOKEN_S,
            between <= BETWEEN_TOKENS_S,
            finished - arrived <= deadline,
        ];
        met.iter().position(|m| !m)
    }
}

/// Scores the results of all requests of a trace. The figures that only the simulator knows are
/// left at zero.
pub fn score(trace: &Trace, results: &[RequestResult]) -> Score {
    let mut score = Score::default();
    let mut classes = [(0_u32, 0_u32); CLASSES.len()];
    let mut workspaces: Vec<(u32, u32)> = Vec::new();
    let mut firsts = Vec::new();
    for (arrival, result) in trace.arrivals.iter().zip(results) {
        let good = result.is_good(arrival.at, arrival.output, CLASSES[arrival.class].deadline);
        let second = arrival.at as usize;
        if score.timeline.len() <= second {
            score.timeline.resize(second + 1, (0, 0));
        }
        if workspaces.len() <= arrival.workspace {
            workspaces.resize(arrival.workspace + 1, (0, 0));
        }
        let counts = [
            &mut score.timeline[second],
            &mut classes[arrival.class],
            &mut workspaces[arrival.workspace],
        ];
        for (met, all) in counts {
            *met += u32::from(good);
            *all += 1;
        }
        if let Some(missed) =
            result.missed_objective(arrival.at, arrival.output, CLASSES[arrival.class].deadline)
        {
            score.missed[missed] += 1;
        }
        firsts.extend(result.first_token.map(|f| f - arrival.at));
        score.refused += f64::from(u32::from(result.refused.is_some()));
        score.retries += f64::from(result.retries);
    }
    let fraction = |(good, all): &(u32, u32)| f64::from(*good) / f64::from((*all).max(1));
    let all = trace.arrivals.len().max(1) as f64;
    let good: u32 = classes.iter().map(|c| c.0).sum();
    score.goodput = f64::from(good) / all;
    score.good_rate = f64::from(good) / super::TRACE_S;
    score.worst_class = classes.iter().map(fraction).fold(1.0, f64::min);
    score.workspace_goodput = workspaces.iter().map(fraction).collect();
    score.refused /= all;
    score.retries /= all;
    firsts.sort_by(f64::total_cmp);
    score.first_p95 = firsts.get(firsts.len() * 95 / 100).copied().unwrap_or(0.0);
    score
}
