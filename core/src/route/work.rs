use {
    crate::{
        fleet::Blocks,
        ids::{AdapterId, ModelId, Region, Tokens, Zone},
        manifest::ClassSpec,
    },
    std::time::Duration,
};

/// What a request asks of an engine.
#[derive(Debug, Clone)]
pub struct Work {
    /// The model.
    pub model: ModelId,
    /// The adapter, if any.
    pub adapter: Option<AdapterId>,
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Tokens of output expected.
    pub output: Tokens,
    /// Blocks of the prompt.
    pub blocks: Blocks,
    /// Targets of its class.
    pub class: ClassSpec,
    /// Whether it must run alone on its engine.
    pub alone: bool,
}

/// Where the deciding instance stands, and what salts its choices.
#[derive(Debug, Clone)]
pub struct Place {
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
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
    /// Time until the end, as expected.
    pub end: Duration,
    /// Prompt tokens that the prefilling engine is expected to hold already.
    pub hit: Tokens,
}
