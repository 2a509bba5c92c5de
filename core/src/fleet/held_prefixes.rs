use {
    super::{KvCache, PrefixProgress},
    crate::{
        clock::Time,
        ids::{PrefixHash, Tokens},
    },
    std::time::Duration,
};

/// Time constant of the rate at which prompts with shared prefixes are sent to an engine: several
/// prompts at the usual rates, and shorter than a cycle of the demand.
const RATE_TIME: Duration = Duration::from_secs(3);
/// Time after its last use for which a prefix is remembered, even if nothing is known to have
/// replaced it: an engine may evict for reasons that no message tells.
const MAX_AGE: Duration = Duration::from_secs(120);
/// Share of the memory, in tokens placed since the last use of a prefix, up to which it is certain
/// to be there. The rest covers messages that were lost or are on their way.
const CERTAIN_SHARE: f64 = 0.8;
/// Share of the memory from which a prefix is certainly evicted.
const EVICTED_SHARE: f64 = 1.1;
/// Most prefixes that are remembered for one engine.
const MAX_PREFIXES: usize = 128;

#[derive(Debug, Clone, Copy)]
struct HeldPrefix {
    prefix: PrefixHash,
    /// Length; `None` if only another instance knows it.
    tokens: Option<u32>,
    progress: PrefixProgress,
    used_at: Time,
}

/// Shared prefixes in the memory of one engine, in the order of their last use. The engine evicts
/// the least recently used one first.
#[derive(Debug, Clone, Default)]
pub struct HeldPrefixes {
    /// Least recently used first.
    prefixes: Vec<HeldPrefix>,
    /// Uses per second, averaged over [`RATE_TIME`], at `rate_at`.
    rate: f64,
    rate_at: Time,
    /// When the engine's link will have made the transfers that this instance knows of.
    link_free: Time,
}

impl HeldPrefixes {
    /// Records that a prompt with this prefix was sent to the engine, or that the prefix is in its
    /// memory. `tokens` is the length of the prefix, if known.
    pub fn record(
        &mut self,
        prefix: PrefixHash,
        progress: PrefixProgress,
        tokens: Option<Tokens>,
        now: Time,
    ) {
        let old = self.prefixes.iter().position(|p| p.prefix == prefix);
        let old = old.map(|i| self.prefixes.remove(i));
        if progress == PrefixProgress::Prefilling {
            self.rate = self.use_rate(now) + 1.0 / RATE_TIME.as_secs_f64();
            self.rate_at = now;
        }
        let ready = |p: &HeldPrefix| p.progress == PrefixProgress::Ready;
        self.prefixes.push(HeldPrefix {
            prefix,
            tokens: tokens.map(|t| t.0 as u32).or(old.and_then(|p| p.tokens)),
            progress: if old.as_ref().is_some_and(ready) {
                PrefixProgress::Ready
            } else {
                progress
            },
            used_at: now,
        });
        if self.prefixes.len() > MAX_PREFIXES {
            self.prefixes.remove(0);
        }
    }

    /// Returns whether the engine has a prefix in memory or prefills it, and the tokens placed there
    /// since its last use. Prefixes of unknown length are assumed to have `usual` tokens.
    pub fn find(
        &self,
        prefix: PrefixHash,
        usual: Tokens,
        now: Time,
    ) -> Option<(PrefixProgress, Tokens)> {
        let index = self.prefixes.iter().rposition(|p| p.prefix == prefix)?;
        let found = &self.prefixes[index];
        let newer = &self.prefixes[index + 1..];
        (now - found.used_at < MAX_AGE).then(|| (found.progress, sum(newer, usual)))
    }

    /// Returns the tokens of all prefixes that are remembered.
    pub fn total(&self, usual: Tokens) -> Tokens {
        sum(&self.prefixes, usual)
    }

    /// Returns how many prompts with shared prefixes are sent to the engine per second.
    pub fn use_rate(&self, now: Time) -> f64 {
        let age = (now - self.rate_at).as_secs_f64();
        self.rate * (-age / RATE_TIME.as_secs_f64()).exp()
    }

    /// Returns the time until the known transfers over the engine's link are done.
    pub fn link_wait(&self, now: Time) -> Duration {
        self.link_free - now
    }

    /// Records a transfer over the engine's link, behind those that are known.
    pub fn record_transfer(&mut self, time: Duration, now: Time) {
        self.link_free = self.link_free.max(now) + time;
    }
}

fn sum(prefixes: &[HeldPrefix], usual: Tokens) -> Tokens {
    Tokens(prefixes.iter().map(|p| p.tokens.map_or(usual.0, u64::from)).sum())
}

impl KvCache {
    /// Returns the probability that a prefix is still in memory after `newer` tokens were placed
    /// there since its last use.
    pub fn held_probability(&self, newer: Tokens) -> f64 {
        let share = newer.0 as f64 / self.memory.0.max(1) as f64;
        ((EVICTED_SHARE - share) / (EVICTED_SHARE - CERTAIN_SHARE)).clamp(0.0, 1.0)
    }
}
