use {
    crate::ids::Fingerprint,
    sha2::{Digest, Sha256},
};

impl Fingerprint {
    /// Hashes byte strings, for example the parts of a request that identify its work. The length
    /// of each is hashed as well, so that the boundaries between them count.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        parts.iter().for_each(|part| add_part(&mut hash, part.len(), [*part]));
        finish(hash)
    }

    /// Hashes byte strings like [`Self::of`], the last of which is given in chunks.
    ///
    /// ```
    /// use lentil_core::ids::Fingerprint;
    ///
    /// let chunked = Fingerprint::of_chunked(&[b"path"], [&b"bo"[..], b"dy"]);
    /// assert_eq!(chunked, Fingerprint::of(&[b"path", b"body"]));
    /// assert_eq!(Fingerprint::of_chunked(&[b"path"], []), Fingerprint::of(&[b"path", b""]));
    /// ```
    pub fn of_chunked<'a, I>(parts: &[&[u8]], chunks: I) -> Self
    where
        I: IntoIterator<Item = &'a [u8], IntoIter: Clone>,
    {
        let mut hash = Sha256::new();
        parts.iter().for_each(|part| add_part(&mut hash, part.len(), [*part]));
        let chunks = chunks.into_iter();
        add_part(&mut hash, chunks.clone().map(<[u8]>::len).sum(), chunks);
        finish(hash)
    }
}

fn add_part<'a>(hash: &mut Sha256, length: usize, chunks: impl IntoIterator<Item = &'a [u8]>) {
    hash.update((length as u64).to_le_bytes());
    chunks.into_iter().for_each(|chunk| hash.update(chunk));
}

fn finish(hash: Sha256) -> Fingerprint {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hash.finalize()[..8]);
    Fingerprint(u64::from_le_bytes(bytes))
}
