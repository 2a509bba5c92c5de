use {
    super::Envelope,
    hmac::{Hmac, Mac},
    sha2::Sha256,
    thiserror::Error,
};

/// Version of frames that carry a [`Message`](super::Message); the first byte of each frame.
/// Messages of this version never change.
pub const PROTOCOL_VERSION: u8 = 1;
/// Largest datagram; fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Largest frame on a connection; fits a manifest, which is a store value of at most 1 MB.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
/// Length of the truncated HMAC-SHA256 at the end of each frame.
const MAC_BYTES: usize = 16;

/// Reason why a frame is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// The frame is larger than the limit; holds its length in bytes.
    #[error("frame of {0} bytes is too large")]
    TooLarge(usize),
    /// The frame is too short for a version and a MAC; holds its length in bytes.
    #[error("frame of {0} bytes is too short")]
    TooShort(usize),
    /// The frame has a protocol version that this build does not support.
    #[error("frame has unsupported protocol version {0}")]
    UnsupportedVersion(u8),
    /// The frame was sealed with another key or was altered.
    #[error("frame has a wrong MAC")]
    Mac,
    /// The MAC is valid but the envelope can't be decoded.
    #[error("frame is malformed")]
    Malformed,
    /// The frame was received before, or is too old for the replay window.
    #[error("frame is a replay")]
    Replay,
    /// The frame is addressed to another instance.
    #[error("frame is addressed to another instance")]
    Misdirected,
}

impl FrameError {
    /// Returns the label under which the metrics count the refused frame.
    pub fn label(self) -> &'static str {
        match self {
            Self::TooLarge(_) => "large",
            Self::TooShort(_) => "short",
            Self::UnsupportedVersion(_) => "version",
            Self::Mac => "mac",
            Self::Malformed => "malformed",
            Self::Replay => "replay",
            Self::Misdirected => "misdirected",
        }
    }
}

fn mac(key: &[u8], bytes: &[u8]) -> Result<Hmac<Sha256>, FrameError> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).map_err(|_| FrameError::Mac)?;
    mac.update(b"mesh");
    mac.update(bytes);
    Ok(mac)
}

/// Appends the MAC to the version byte and body of a frame.
pub(super) fn append_mac(
    mut bytes: Vec<u8>,
    key: &[u8],
    limit: usize,
) -> Result<Vec<u8>, FrameError> {
    let tag = mac(key, &bytes)?.finalize().into_bytes();
    bytes.extend_from_slice(&tag[..MAC_BYTES]);
    match bytes.len() > limit {
        true => Err(FrameError::TooLarge(bytes.len())),
        false => Ok(bytes),
    }
}

/// Verifies a frame of one version and returns the bytes between its version and its MAC.
pub(super) fn verified_body<'a>(
    bytes: &'a [u8],
    version: u8,
    key: &[u8],
    limit: usize,
) -> Result<&'a [u8], FrameError> {
    if bytes.len() > limit {
        return Err(FrameError::TooLarge(bytes.len()));
    }
    if bytes.len() < 1 + MAC_BYTES {
        return Err(FrameError::TooShort(bytes.len()));
    }
    if bytes[0] != version {
        return Err(FrameError::UnsupportedVersion(bytes[0]));
    }
    let (signed, tag) = bytes.split_at(bytes.len() - MAC_BYTES);
    mac(key, signed)?.verify_truncated_left(tag).map_err(|_| FrameError::Mac)?;
    Ok(&signed[1..])
}

/// Encodes an envelope as a frame: protocol version, postcard encoding and MAC.
///
/// # Errors
/// [`FrameError::Malformed`] if the envelope can't be encoded, [`FrameError::TooLarge`] if the
/// frame has more than `limit` bytes, [`FrameError::Mac`] if the key can't be used.
pub fn seal(envelope: &Envelope, key: &[u8], limit: usize) -> Result<Vec<u8>, FrameError> {
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes = postcard::to_extend(envelope, bytes).map_err(|_| FrameError::Malformed)?;
    append_mac(bytes, key, limit)
}

/// Verifies a frame and decodes its envelope.
///
/// # Errors
/// [`FrameError`] if the frame is refused. The version is checked before the MAC and the encoding,
/// so that later versions may change everything after the version byte.
pub fn open(bytes: &[u8], key: &[u8], limit: usize) -> Result<Envelope, FrameError> {
    let body = verified_body(bytes, PROTOCOL_VERSION, key, limit)?;
    let (envelope, rest) = postcard::take_from_bytes(body).map_err(|_| FrameError::Malformed)?;
    match rest.is_empty() {
        true => Ok(envelope),
        false => Err(FrameError::Malformed),
    }
}
