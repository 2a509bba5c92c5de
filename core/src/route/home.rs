use {
    super::Work,
    crate::{
        fleet::EngineView,
        ids::{Fingerprint, PrefixHash, Tokens},
    },
};

/// Part of a prompt's shared tokens that its home is expected to hold before this instance has
/// sent it there: other instances send to the same home, but memory is limited.
pub const HOME_HIT: f64 = 0.8;

/// The part of a prompt that it has in common with others, by which its home is found.
///
/// The last block belongs to the request alone.
pub fn shared_key(work: &Work) -> Option<PrefixHash> {
    let shared = work.blocks.len().checked_sub(2)?;
    (!work.lengths.is_empty()).then(|| work.blocks[shared])
}

/// Tokens before the last block.
pub fn shared_tokens(work: &Work) -> Tokens {
    let lengths = work.lengths.split_last().map_or(&[][..], |(_, shared)| shared);
    Tokens(lengths.iter().map(|t| u64::from(*t)).sum())
}

/// Rank of an engine as home of a shared part: the greatest one is the home. All instances agree
/// on it without a word, and the loss of an engine moves only the parts that it was home of.
pub fn home_rank(key: PrefixHash, engine: &EngineView) -> Fingerprint {
    Fingerprint::of(&[&key.0.to_le_bytes(), engine.id.as_str().as_bytes()])
}
