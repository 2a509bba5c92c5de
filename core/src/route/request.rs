use {
    crate::{
        clock::Time,
        fleet::{BlockHashes, BlockLengths, EngineView},
        ids::{AdapterId, EngineId, ModelId, Rank, SoftwareVersion, Tokens},
        manifest::{ClassSpec, Role},
    },
    serde::{Deserialize, Serialize},
    smallvec::SmallVec,
};

/// Properties of a request that decide which engines may run it and at what cost.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
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
    /// Whether the answer is a stream that may be resumed, and then at the version that began it.
    pub resumable: bool,
    /// Software version of the decoding engine, if the request continues a stream.
    pub software: Option<SoftwareVersion>,
    /// Engines that have already failed this request.
    pub excluded: SmallVec<[EngineId; 2]>,
    /// Latency targets of the request's class.
    pub class: ClassSpec,
    /// Position in the engines' queues.
    pub rank: Rank,
}

impl RoutingRequest {
    /// Returns whether the engine's software may begin or continue the request's stream. Engines that
    /// prefill write no part of it.
    pub fn accepts_software(&self, engine: &EngineView) -> bool {
        match &self.software {
            _ if engine.role == Role::Prefill => true,
            Some(software) => engine.software.as_ref() == Some(software),
            None => !self.resumable || engine.recorded,
        }
    }

    /// Returns whether the request should not begin a stream at the engine yet, because other
    /// instances may not know its software.
    pub fn avoids_software(&self, engine: &EngineView, now: Time) -> bool {
        let begins = self.resumable && self.software.is_none();
        begins && engine.role == Role::Decode && now < engine.settled
    }
}
