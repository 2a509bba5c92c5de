use {
    super::Envelope,
    hmac::{Hmac, Mac},
    sha2::Sha256,
    thiserror::Error,
};

/// Version of the protocol between instances, the first byte of each frame.
pub const PROTOCOL_VERSION: u8 = 1;
/// Largest datagram, in bytes; fits one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Largest frame on a connection, in bytes; a manifest is at most a store value of 1 MB.
pub const MAX_FRAME_BYTES: usize = 2 << 20;
const MAC_BYTES: usize = 16; // bytes of the MAC

/// Why a frame is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FrameError {
    /// It is larger than allowed.
    #[error("frame of {0} bytes is too large")]
    Large(usize),
    /// It has no room for a version and a MAC.
    #[error("frame of {0} bytes is too short")]
    Short(usize),
    /// Its version is not known here.
    #[error("frame has version {0}")]
    Version(u8),
    /// It was not made with the key, or altered.
    #[error("frame has a wrong MAC")]
    Mac,
    /// Its MAC is right but it can't be read.
    #[error("frame is malformed")]
    Malformed,
    /// It was received before, or is older than what was.
    #[error("frame is a replay")]
    Replay,
    /// It is meant for another instance.
    #[error("frame is for another instance")]
    Misdirected,
}

impl FrameError {
    /// Label of the metric that counts it.
    pub fn label(self) -> &'static str {
        match self {
            Self::Large(_) => "large",
            Self::Short(_) => "short",
            Self::Version(_) => "version",
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

/// Encodes an envelope with version and MAC.
///
/// # Errors
/// [`FrameError::Malformed`] if it can't be encoded, [`FrameError::Large`] over `limit` bytes.
pub fn seal(envelope: &Envelope, key: &[u8], limit: usize) -> Result<Vec<u8>, FrameError> {
    let mut bytes = vec![PROTOCOL_VERSION];
    bytes = postcard::to_extend(envelope, bytes).map_err(|_| FrameError::Malformed)?;
    let tag = mac(key, &bytes)?.finalize().into_bytes();
    bytes.extend_from_slice(&tag[..MAC_BYTES]);
    match bytes.len() > limit {
        true => Err(FrameError::Large(bytes.len())),
        false => Ok(bytes),
    }
}

/// Checks and decodes a frame.
///
/// # Errors
/// [`FrameError`]; the version is looked at first, so that later ones may change all else.
pub fn open(bytes: &[u8], key: &[u8], limit: usize) -> Result<Envelope, FrameError> {
    if bytes.len() > limit {
        return Err(FrameError::Large(bytes.len()));
    }
    if bytes.len() < 1 + MAC_BYTES {
        return Err(FrameError::Short(bytes.len()));
    }
    if bytes[0] != PROTOCOL_VERSION {
        return Err(FrameError::Version(bytes[0]));
    }
    let (signed, tag) = bytes.split_at(bytes.len() - MAC_BYTES);
    mac(key, signed)?.verify_truncated_left(tag).map_err(|_| FrameError::Mac)?;
    let (envelope, rest) =
        postcard::take_from_bytes(&signed[1..]).map_err(|_| FrameError::Malformed)?;
    match rest.is_empty() {
        true => Ok(envelope),
        false => Err(FrameError::Malformed),
    }
}
