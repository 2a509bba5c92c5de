use {
    crate::ids::Fingerprint,
    sha2::{Digest, Sha256},
};

impl Fingerprint {
    /// Hashes byte strings, for example the parts of a request that identify its work. The length
    /// of each is hashed as well, so that the boundaries between them count.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        let mut bytes = [0; 8];
        bytes.copy_from_slice(&hash.finalize()[..8]);
        Self(u64::from_le_bytes(bytes))
    }
}
