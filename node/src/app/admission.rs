use {
    lentil_core::{
        admit::{FleetShares, WorkspaceUsage},
        clock::Time,
        ids::{CellId, ModelId, Tokens},
        limit::{ResendBudget, ResendLimit, RetryBudget},
        plan::{Demand, DemandMeter},
    },
    std::collections::HashMap,
};

/// Time span of the moving average of demand.
const DEMAND_SPAN_S: f64 = 3.0;
/// Weight of the latest output in the moving average of output lengths.
const OUTPUT_MEAN_WEIGHT: f64 = 0.05;

/// State of admission: shares, budgets of retries and resends, arriving demand, output lengths.
#[derive(Debug)]
pub struct Admission {
    /// Recent use of the engines by each workspace.
    pub usage: WorkspaceUsage,
    /// Use by each workspace over all instances, by proxied requests.
    pub shares: FleetShares,
    /// Retry budget of requests that are not proxied.
    pub retries: RetryBudget,
    /// Demand that arrives at this instance, by cell and model.
    pub demand_meters: HashMap<(CellId, ModelId), DemandMeter>,
    mean_outputs: HashMap<ModelId, f64>,
    resends: HashMap<ModelId, ResendBudget>,
    resend_limit: ResendLimit,
}

impl Admission {
    /// Creates empty tables; `retries` is the share of requests that may be retried.
    pub fn new(retries: f64, resend_limit: ResendLimit) -> Self {
        Self {
            usage: WorkspaceUsage::default(),
            shares: FleetShares::default(),
            retries: RetryBudget::new(retries),
            demand_meters: HashMap::new(),
            mean_outputs: HashMap::new(),
            resends: HashMap::new(),
            resend_limit,
        }
    }

    /// Counts a proxied request, which adds to the resend budget of its service.
    pub fn count_request(&mut self, service: &ModelId, now: Time) {
        self.resends.entry(service.clone()).or_default().record_request(&self.resend_limit, now);
    }

    /// Takes `count` resends from this instance's share of a service's budget, which `instances`
    /// divide among them; returns `false` if fewer are left.
    pub fn take_resend(
        &mut self,
        service: &ModelId,
        instances: Option<u32>,
        count: u32,
        now: Time,
    ) -> bool {
        self.resends.entry(service.clone()).or_default().take(
            &self.resend_limit,
            instances,
            count,
            now,
        )
    }

    /// Returns the number of resends that one of `instances` may make now, summed over all
    /// services.
    pub fn resends_left(&self, instances: Option<u32>, now: Time) -> i64 {
        self.resends.values().map(|b| b.remaining(&self.resend_limit, instances, now)).sum()
    }

    /// Records demand that arrived for a cell's engines.
    pub fn record_demand(&mut self, cell: &CellId, model: &ModelId, demand: Demand, now: Time) {
        self.demand_meters
            .entry((cell.clone(), model.clone()))
            .or_insert_with(|| DemandMeter::new(DEMAND_SPAN_S, now))
            .record_arrival(demand, now);
    }

    /// Returns the expected output length of a request that allows up to `max` tokens: the model's
    /// mean, or `max` before any output has ended.
    pub fn expected_output(&self, model: &ModelId, max: Tokens) -> Tokens {
        let mean = self.mean_outputs.get(model).copied().unwrap_or(max.0 as f64);
        Tokens((mean as u64).clamp(1, max.0.max(1)))
    }

    /// Records the length of a completed output.
    pub fn record_output(&mut self, model: &ModelId, length: Tokens) {
        let mean = self.mean_outputs.entry(model.clone()).or_insert(length.0 as f64);
        *mean += (length.0 as f64 - *mean) * OUTPUT_MEAN_WEIGHT;
    }
}
