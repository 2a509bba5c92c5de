use {
    lentil_core::{
        fleet::{BlockHashes, Load, MAX_MIXED_PREFILL_SHARE},
        ids::{PrefixHash, Tokens},
        manifest::{EngineRates, Role},
    },
    std::collections::{HashSet, VecDeque},
};

/// A prompt that waits for prefill.
#[derive(Debug, Clone)]
pub struct Prefill {
    /// The request.
    pub request: usize,
    /// Tokens left to prefill.
    pub left: f64,
    /// The engine that decodes, if it is another.
    pub decode: Option<usize>,
    /// Blocks that the cache holds afterwards.
    pub blocks: BlockHashes,
    /// Priority of the request.
    pub priority: u8,
}

/// A request that decodes.
#[derive(Debug, Clone, Copy)]
pub struct Decode {
    /// The request.
    pub request: usize,
    /// Tokens made so far.
    pub made: f64,
    /// Tokens to make.
    pub output: f64,
}

/// What happened to requests in one step.
#[derive(Debug, Default)]
pub struct Happened {
    /// Prefilled, with the engine that decodes if it is another.
    pub filled: Vec<(usize, Option<usize>)>,
    /// Made their first token.
    pub first: Vec<usize>,
    /// Ended.
    pub ended: Vec<usize>,
}

/// An engine in virtual time.
#[derive(Debug, Clone)]
pub struct ModelEngine {
    /// Its role.
    pub role: Role,
    /// What it can do.
    pub rates: EngineRates,
    /// The role that it is emptied for.
    pub goal: Option<Role>,
    /// Time until which it is away.
    pub away: f64,
    /// Time until which it is dead.
    pub dead: f64,
    queue: VecDeque<Prefill>,
    decoding: Vec<Decode>,
    waiting: VecDeque<Decode>,
    held: HashSet<PrefixHash>,
    order: VecDeque<PrefixHash>,
    blocks: usize,
}

impl ModelEngine {
    /// An idle engine whose prefix cache holds `blocks` blocks.
    pub fn new(role: Role, rates: EngineRates, blocks: usize) -> Self {
        Self {
            role,
            rates,
            goal: None,
            away: 0.0,
            dead: 0.0,
            queue: VecDeque::new(),
            decoding: Vec::new(),
            waiting: VecDeque::new(),
            held: HashSet::new(),
            order: VecDeque::new(),
            blocks,
        }
    }

    /// Tokens of a prompt that the cache holds.
    pub fn hit(&self, blocks: &BlockHashes) -> u64 {
        let held = blocks.iter().take_while(|b| self.held.contains(b)).count() as u64;
        held * lentil_core::fleet::BLOCK_TOKENS.0
    }

    /// Its load now.
    pub fn load(&self) -> Load {
        let queued = self.queue.iter().map(|p| p.left).sum::<f64>();
        Load {
            queued: Tokens(queued as u64),
            running: self.decoding.len() as u32,
            waiting: self.waiting.len() as u32,
        }
    }

    /// Whether it has nothing to do.
    pub fn idle(&self) -> bool {
        self.queue.is_empty() && self.decoding.is_empty() && self.waiting.is_empty()
    }

    /// Whether it works at `now`.
    pub fn up(&self, now: f64) -> bool {
        now >= self.away && now >= self.dead
    }

    /// Queues a prompt, behind those of its priority.
    pub fn prefill(&mut self, prefill: Prefill) {
        let place = self.queue.iter().skip(1).position(|p| p.priority < prefill.priority);
        match place {
            Some(i) => self.queue.insert(i + 1, prefill),
            None => self.queue.push_back(prefill),
        }
    }

    /// Queues a request for a decode slot.
    pub fn decode(&mut self, decode: Decode) {
        self.waiting.push_back(decode);
    }

    /// Drops all work, as in a crash; the requests that are lost.
    pub fn crash(&mut self, until: f64) -> Vec<usize> {
        self.dead = until;
        self.goal = None;
        self.held.clear();
        self.order.clear();
        let lost = self.queue.drain(..).map(|p| p.request);
        let lost = lost.chain(self.decoding.drain(..).map(|d| d.request));
        lost.chain(self.waiting.drain(..).map(|d| d.request)).collect()
    }

    /// Takes away the requests that decode or wait for a slot, to go on elsewhere.
    pub fn give_away(&mut self) -> Vec<Decode> {
        self.decoding.drain(..).chain(self.waiting.drain(..)).collect()
    }

    /// Works for `span` seconds.
    pub fn step(&mut self, span: f64, happened: &mut Happened) {
        let slots = self.rates.slots as usize;
        while self.decoding.len() < slots {
            let Some(next) = self.waiting.pop_front() else { break };
            self.decoding.push(next);
        }
        let share = match self.role {
            Role::Prefill => 1.0,
            Role::Decode if self.queue.is_empty() => 0.0,
            Role::Decode if self.decoding.is_empty() => 1.0,
            Role::Decode => MAX_MIXED_PREFILL_SHARE,
        };
        self.fill(self.rates.prefill.0 * share * span, happened);
        let rate = self.rates.decode.0 / f64::from(self.rates.slots)
            * (1.0 - share.min(MAX_MIXED_PREFILL_SHARE));
        for decode in &mut self.decoding {
            let before = decode.made;
            decode.made += rate * span;
            if before < 1.0 && decode.made >= 1.0 {
                happened.first.push(decode.request);
            }
            if decode.made >= decode.output {
                happened.ended.push(decode.request);
            }
        }
        self.decoding.retain(|d| d.made < d.output);
    }

    fn fill(&mut self, mut budget: f64, happened: &mut Happened) {
        while budget > 0.0 {
            let Some(first) = self.queue.front_mut() else { return };
            let done = first.left.min(budget);
            first.left -= done;
            budget -= done;
            if first.left > 0.0 {
                return;
            }
            if let Some(prefill) = self.queue.pop_front() {
                happened.filled.push((prefill.request, prefill.decode));
                self.hold(&prefill.blocks);
            }
        }
    }

    fn hold(&mut self, blocks: &BlockHashes) {
        for block in blocks {
            if self.held.insert(*block) {
                self.order.push_back(*block);
            }
        }
        while self.order.len() > self.blocks {
            if let Some(oldest) = self.order.pop_front() {
                self.held.remove(&oldest);
            }
        }
    }
}
