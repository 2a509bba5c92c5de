use {
    crate::{
        fleet::{BlockHashes, BlockLengths},
        ids::{AdapterId, EngineId, ModelId, Rank, Tokens},
        manifest::ClassSpec,
    },
    smallvec::SmallVec,
};

/// Properties of a request that decide which engines may run it and at what cost.
#[derive(Debug, Clone)]
pub struct RoutingRequest {
    /// Model that the engine must serve.
    pub model: ModelId,
    /// Adapter that the engine must have loaded, if any.
    pub adapter: Option<AdapterId>,
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Expected length of the output.
    pub output: Tokens,
    /// Hashes of the prompt's prefixes, one for each block.
    pub blocks: BlockHashes,
    /// Tokens of each block; empty if all have [`crate::fleet::BLOCK_TOKENS`].
    pub lengths: BlockLengths,
    /// Engines that have already failed this request.
    pub excluded: SmallVec<[EngineId; 2]>,
    /// Latency targets of the request's class.
    pub class: ClassSpec,
    /// Position in the engines' queues.
    pub rank: Rank,
}
