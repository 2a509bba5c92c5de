use {
    crate::ids::{PrefixHash, Tokens},
    smallvec::SmallVec,
    std::hash::Hasher,
};

/// Bytes of prompt in one block of an engine's prefix cache.
pub const BLOCK_BYTES: usize = 256;
/// Bytes of text counted as one token.
pub const BYTES_PER_TOKEN: usize = 4;
/// Tokens in one block.
pub const BLOCK_TOKENS: Tokens = Tokens((BLOCK_BYTES / BYTES_PER_TOKEN) as u64);

/// Hashes of a prompt's whole blocks, each covering all blocks before it.
pub type BlockHashes = SmallVec<[PrefixHash; 16]>;
/// Tokens of each block of a prompt.
pub type BlockLengths = SmallVec<[u32; 8]>;

/// FNV-1a over one block, seeded with the hash of the blocks before it.
struct Fnv(u64);

impl Hasher for Fnv {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0000_0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// Hashes of the whole blocks of `prompt`, as engines name them in cache events.
///
/// ```
/// use lentil_core::fleet::{prefix_blocks, BLOCK_BYTES};
///
/// let (a, b) = ("x".repeat(3 * BLOCK_BYTES), "x".repeat(2 * BLOCK_BYTES) + "y");
/// assert_eq!(prefix_blocks(&a)[..2], prefix_blocks(&b)[..]);
/// ```
pub fn prefix_blocks(prompt: &str) -> BlockHashes {
    let mut last = 0xcbf2_9ce4_8422_2325;
    prompt
        .as_bytes()
        .chunks_exact(BLOCK_BYTES)
        .map(|block| {
            let mut fnv = Fnv(last);
            fnv.write(block);
            last = fnv.finish();
            PrefixHash(last)
        })
        .collect()
}

/// Number of tokens counted for a text.
pub fn count_tokens(text: &str) -> Tokens {
    Tokens(text.len().div_ceil(BYTES_PER_TOKEN) as u64)
}
