use {
    crate::{
        fleet::{BlockHashes, BlockLengths},
        ids::{AdapterId, EngineId, ModelId, Rank, Region, Tokens, Zone},
        manifest::ClassSpec,
    },
    smallvec::SmallVec,
    std::time::Duration,
};

/// What a request asks of an engine.
#[derive(Debug, Clone)]
pub struct RoutingRequest {
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of output expected.
    pub output: Tokens,
    /// Blocks of the prompt.
    pub blocks: BlockHashes,
    /// Tokens of each block; empty if all have [`crate::fleet::BLOCK_TOKENS`].
    pub lengths: BlockLengths,
    /// Engines that failed the request already.
    pub excluded: SmallVec<[EngineId; 2]>,
    /// Targets of its class.
    pub class: ClassSpec,
    /// Its place among those that wait.
    pub rank: Rank,
}

/// Where the deciding instance stands, and what salts its choices.
#[derive(Debug, Clone)]
pub struct RoutingOrigin {
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// Instances that send to the same engines, this one included.
    pub instances: u32,
    /// Different for each request, so that instances with the same view choose differently.
    pub salt: u64,
}

impl RoutingOrigin {
    /// A number from 0 to 1 that differs with the salt and with `index` (splitmix64).
    pub fn random(&self, index: usize) -> f64 {
        let mut x = self.salt.wrapping_add((index as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((x ^ (x >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Engines chosen for a request, as indices into the table that was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// The engine that decodes.
    pub decode: usize,
    /// The engine that prefills, if it is another.
    pub prefill: Option<usize>,
    /// Time until the first token, as expected.
    pub first: Duration,
    /// Part of that which passes in queues.
    pub wait: Duration,
    /// Time until the end, as expected.
    pub end: Duration,
    /// Prompt tokens that the prefilling engine is expected to hold already.
    pub hit: Tokens,
    /// Engine that is to be asked for them, if the prefilling one does not have them.
    pub fetch: Option<usize>,
}
