use {
    lentil_core::{manifest::Role, plan::PriceKind},
    std::collections::VecDeque,
};

/// Queued prefill work, in seconds, from which an engine counts as busy.
const FULL_QUEUE_S: f64 = 0.05;

/// A prompt in the prefill queue of a [`FleetEngine`].
pub(super) struct Prompt {
    /// Index of the shared prefix; `None` for a short request.
    pub prefix: Option<usize>,
    pub arrived: f64,
    pub left_s: f64,
    pub objective: f64,
}

/// An engine of a simulated fleet that is ordered by demand.
pub(super) struct FleetEngine {
    pub zone: usize,
    pub kind: PriceKind,
    pub role: Role,
    pub ready_at: f64,
    pub changing_until: f64,
    /// When it is gone; it gets no new work from its notice on.
    pub gone_at: f64,
    pub slow_until: f64,
    pub queue: VecDeque<Prompt>,
    /// Ends of the requests that occupy slots.
    pub slots: Vec<f64>,
    /// Prefixes in memory, least recently used first.
    pub memory: VecDeque<usize>,
}

impl FleetEngine {
    pub fn new(zone: usize, kind: PriceKind, role: Role, ready_at: f64) -> Self {
        Self {
            zone,
            kind,
            role,
            ready_at,
            changing_until: 0.0,
            gone_at: f64::INFINITY,
            slow_until: 0.0,
            queue: VecDeque::new(),
            slots: Vec::new(),
            memory: VecDeque::new(),
        }
    }

    pub fn leaving(&self) -> bool {
        self.gone_at.is_finite()
    }

    pub fn serves(&self, now: f64) -> bool {
        !self.leaving() && now >= self.ready_at.max(self.changing_until)
    }

    pub fn queued_s(&self) -> f64 {
        self.queue.iter().map(|p| p.left_s).sum()
    }

    pub fn busy(&self, slots: u32) -> f64 {
        let queue = (self.queued_s() / FULL_QUEUE_S).min(1.0);
        match self.role {
            Role::Prefill => queue,
            Role::Decode => (self.slots.len() as f64 / f64::from(slots)).max(queue).min(1.0),
        }
    }
}
