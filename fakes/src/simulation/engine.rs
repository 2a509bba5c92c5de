use {
    lentil_core::{
        fleet::{BlockHashes, Load, MAX_MIXED_PREFILL_SHARE},
        ids::{PrefixHash, Tokens},
        manifest::{EngineRates, Role},
    },
    std::collections::{HashSet, VecDeque},
};

/// A prompt in the prefill queue of an engine.
#[derive(Debug, Clone)]
pub struct PrefillTask {
    /// Index of the request in the trace.
    pub request: usize,
    /// Tokens left to prefill.
    pub remaining: f64,
    /// Engine that decodes the request, if it is not the one that prefills.
    pub decode_engine: Option<usize>,
    /// Prefix blocks of the prompt, cached once the prefill is complete.
    pub blocks: BlockHashes,
    /// Priority of the request; higher values are served first.
    pub priority: u8,
}

/// A request that is decoding or waits for a decode slot.
#[derive(Debug, Clone, Copy)]
pub struct DecodeTask {
    /// Index of the request in the trace.
    pub request: usize,
    /// Tokens generated so far.
    pub generated: f64,
    /// Tokens to generate in total.
    pub output: f64,
}

/// Requests whose state changed in one step of an engine.
#[derive(Debug, Default)]
pub struct StepEvents {
    /// Requests whose prefill completed, each with its decode engine if that is another one.
    pub prefilled: Vec<(usize, Option<usize>)>,
    /// Requests that generated their first token.
    pub first_token: Vec<usize>,
    /// Requests that generated their last token.
    pub finished: Vec<usize>,
}

/// A simulated engine that prefills, decodes and caches prompt prefixes.
#[derive(Debug, Clone)]
pub struct SimulatedEngine {
    /// Current role.
    pub role: Role,
    /// Throughput and decode slots.
    pub rates: EngineRates,
    /// Role that the engine takes once it has drained.
    pub next_role: Option<Role>,
    /// End of the current role change, in seconds of virtual time.
    pub changing_until: f64,
    /// End of the outage after the last crash, in seconds of virtual time.
    pub down_until: f64,
    prefill_queue: VecDeque<PrefillTask>,
    decoding: Vec<DecodeTask>,
    waiting: VecDeque<DecodeTask>,
    cached: HashSet<PrefixHash>,
    eviction_order: VecDeque<PrefixHash>,
    cache_blocks: usize,
}

impl SimulatedEngine {
    /// Creates an idle engine whose prefix cache holds `cache_blocks` blocks.
    pub fn new(role: Role, rates: EngineRates, cache_blocks: usize) -> Self {
        Self {
            role,
            rates,
            next_role: None,
            changing_until: 0.0,
            down_until: 0.0,
            prefill_queue: VecDeque::new(),
            decoding: Vec::new(),
            waiting: VecDeque::new(),
            cached: HashSet::new(),
            eviction_order: VecDeque::new(),
            cache_blocks,
        }
    }

    /// Number of leading prompt tokens found in the prefix cache.
    pub fn cached_tokens(&self, blocks: &BlockHashes) -> u64 {
        let hits = blocks.iter().take_while(|b| self.cached.contains(b)).count() as u64;
        hits * lentil_core::fleet::BLOCK_TOKENS.0
    }

    /// The load that the engine would report now.
    pub fn load(&self) -> Load {
        let queued = self.prefill_queue.iter().map(|p| p.remaining).sum::<f64>();
        Load {
            queued: Tokens(queued as u64),
            running: self.decoding.len() as u32,
            waiting: self.waiting.len() as u32,
        }
    }

    /// Whether no request is queued or decoding.
    pub fn is_idle(&self) -> bool {
        self.prefill_queue.is_empty() && self.decoding.is_empty() && self.waiting.is_empty()
    }

    /// Whether the engine is neither changing its role nor down at `now`.
    pub fn is_up(&self, now: f64) -> bool {
        now >= self.changing_until && now >= self.down_until
    }

    /// Queues a prompt behind those of the same or a higher priority. The prompt that is being
    /// prefilled is not preempted.
    pub fn queue_prefill(&mut self, task: PrefillTask) {
        let position = self.prefill_queue.iter().skip(1).position(|p| p.priority < task.priority);
        match position {
            Some(i) => self.prefill_queue.insert(i + 1, task),
            None => self.prefill_queue.push_back(task),
        }
    }

    /// Queues a request for a decode slot.
    pub fn queue_decode(&mut self, task: DecodeTask) {
        self.waiting.push_back(task);
    }

    /// Drops all work and the cache, as in a crash, and returns the requests that were lost.
    pub fn crash(&mut self, until: f64) -> Vec<usize> {
        self.down_until = until;
        self.next_role = None;
        self.cached.clear();
        self.eviction_order.clear();
        let lost = self.prefill_queue.drain(..).map(|p| p.request);
        let lost = lost.chain(self.decoding.drain(..).map(|d| d.request));
        lost.chain(self.waiting.drain(..).map(|d| d.request)).collect()
    }

    /// Removes and returns the requests that decode or wait for a slot, for migration to another
    /// engine.
    pub fn take_decodes(&mut self) -> Vec<DecodeTask> {
        self.decoding.drain(..).chain(self.waiting.drain(..)).collect()
    }

    /// Advances the engine by `span` seconds.
    pub fn step(&mut self, span: f64, events: &mut StepEvents) {
        let slots = self.rates.slots as usize;
        while self.decoding.len() < slots {
            let Some(next) = self.waiting.pop_front() else { break };
            self.decoding.push(next);
        }
        let share = match self.role {
            Role::Prefill => 1.0,
            Role::Decode if self.prefill_queue.is_empty() => 0.0,
            Role::Decode if self.decoding.is_empty() => 1.0,
            Role::Decode => MAX_MIXED_PREFILL_SHARE,
        };
        self.run_prefill(self.rates.prefill.0 * share * span, events);
        let rate = self.rates.decode.0 / f64::from(self.rates.slots)
            * (1.0 - share.min(MAX_MIXED_PREFILL_SHARE));
        for task in &mut self.decoding {
            let before = task.generated;
            task.generated += rate * span;
            if before < 1.0 && task.generated >= 1.0 {
                events.first_token.push(task.request);
            }
            if task.generated >= task.output {
                events.finished.push(task.request);
            }
        }
        self.decoding.retain(|d| d.generated < d.output);
    }

    fn run_prefill(&mut self, mut budget: f64, events: &mut StepEvents) {
        while budget > 0.0 {
            let Some(task) = self.prefill_queue.front_mut() else { return };
            let done = task.remaining.min(budget);
            task.remaining -= done;
            budget -= done;
            if task.remaining > 0.0 {
                return;
            }
            if let Some(task) = self.prefill_queue.pop_front() {
                events.prefilled.push((task.request, task.decode_engine));
                self.cache_prompt(&task.blocks);
            }
        }
    }

    fn cache_prompt(&mut self, blocks: &BlockHashes) {
        for block in blocks {
            if self.cached.insert(*block) {
                self.eviction_order.push_back(*block);
            }
        }
        while self.eviction_order.len() > self.cache_blocks {
            if let Some(oldest) = self.eviction_order.pop_front() {
                self.cached.remove(&oldest);
            }
        }
    }
}
