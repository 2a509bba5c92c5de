use {
    lentil_core::{
        admit::Shares,
        clock::Time,
        ids::{CellId, ModelId, Tokens},
        limit::{ResendBudget, ResendLimit, RetryBudget},
        plan::{Demand, DemandMeter},
    },
    std::collections::HashMap,
};

/// Seconds that the mean of the demand reaches back.
const SPAN: f64 = 3.0;
/// Weight of the latest output in the mean length.
const LATEST: f64 = 0.05;

/// Tables of admission, retries and demand.
#[derive(Debug)]
pub struct Admission {
    /// Use of the engines by workspaces.
    pub shares: Shares,
    /// Allowance of retries.
    pub retries: RetryBudget,
    /// Work that arrives for each cell and model.
    pub demand_meters: HashMap<(CellId, ModelId), DemandMeter>,
    lengths: HashMap<ModelId, f64>,
    resends: HashMap<ModelId, ResendBudget>,
    limit: ResendLimit,
}

impl Admission {
    /// Tables with nothing noted yet.
    pub fn new(retries: f64, limit: ResendLimit) -> Self {
        Self {
            shares: Shares::default(),
            retries: RetryBudget::new(retries),
            demand_meters: HashMap::new(),
            lengths: HashMap::new(),
            resends: HashMap::new(),
            limit,
        }
    }

    /// Counts a request for a service.
    pub fn count_request(&mut self, service: &ModelId, now: Time) {
        self.resends.entry(service.clone()).or_default().record_request(&self.limit, now);
    }

    /// Takes `count` resends to a service from the share of one of `instances`.
    pub fn take_resend(
        &mut self,
        service: &ModelId,
        instances: u32,
        count: u32,
        now: Time,
    ) -> bool {
        self.resends.entry(service.clone()).or_default().take(&self.limit, instances, count, now)
    }

    /// Resends that one of `instances` may make now, over all services.
    pub fn resends_left(&self, instances: u32, now: Time) -> i64 {
        self.resends.values().map(|b| b.remaining(&self.limit, instances, now)).sum()
    }

    /// Notes work that arrived for a cell's engines.
    pub fn record_demand(&mut self, cell: &CellId, model: &ModelId, demand: Demand, now: Time) {
        self.demand_meters
            .entry((cell.clone(), model.clone()))
            .or_insert_with(|| DemandMeter::new(SPAN, now))
            .arrived(demand, now);
    }

    /// Expected tokens of output, where the caller allows `max`.
    pub fn expected_output(&self, model: &ModelId, max: Tokens) -> Tokens {
        let mean = self.lengths.get(model).copied().unwrap_or(max.0 as f64);
        Tokens((mean as u64).clamp(1, max.0.max(1)))
    }

    /// Notes the length of an output that has ended.
    pub fn record_output(&mut self, model: &ModelId, length: Tokens) {
        let mean = self.lengths.entry(model.clone()).or_insert(length.0 as f64);
        *mean += (length.0 as f64 - *mean) * LATEST;
    }
}
