use {
    super::{
        frame::{append_mac, verified_body},
        Extension, FrameError, VersionRange,
    },
    crate::{
        ids::{Incarnation, InstanceId},
        order::Holder,
    },
    prost::Message,
};

/// Version of frames that carry [`Extension`]s.
pub const EXTENSION_VERSION: u8 = 2;

/// Messages of version 2 with their sender and receiver.
#[derive(Debug, Clone, PartialEq)]
pub struct ExtensionEnvelope {
    /// Sending instance and its incarnation.
    pub from: Holder,
    /// Receiving instance; `None` if its name is not known yet.
    pub to: Option<InstanceId>,
    /// Sequence number in the sender's incarnation, for the replay window that envelopes of all
    /// versions share.
    pub number: u64,
    /// Versions that the sender understands.
    pub versions: VersionRange,
    /// The messages that this build knows.
    pub messages: Vec<Extension>,
    /// Number of messages that this build doesn't know.
    pub unknown: usize,
}

/// Encoding of an [`ExtensionEnvelope`].
#[derive(Clone, PartialEq, Message)]
struct WireEnvelope {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    start: u64,
    #[prost(string, optional, tag = "3")]
    to: Option<String>,
    #[prost(uint64, tag = "4")]
    number: u64,
    #[prost(uint32, tag = "5")]
    min_version: u32,
    #[prost(uint32, tag = "6")]
    max_version: u32,
    #[prost(message, repeated, tag = "7")]
    messages: Vec<WireMessage>,
}

/// Encoding of one message. `body` is `None` for a message that this build doesn't know.
#[derive(Clone, PartialEq, Message)]
struct WireMessage {
    #[prost(oneof = "Extension", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    body: Option<Extension>,
}

/// Encodes messages of version 2 as a frame: version, encoding and MAC.
///
/// # Errors
/// [`FrameError::TooLarge`] if the frame has more than `limit` bytes, [`FrameError::Mac`] if the
/// key can't be used.
pub fn seal_extensions(
    envelope: ExtensionEnvelope,
    key: &[u8],
    limit: usize,
) -> Result<Vec<u8>, FrameError> {
    let wire = WireEnvelope {
        instance: envelope.from.instance.to_string(),
        start: envelope.from.start.0,
        to: envelope.to.map(|id| id.to_string()),
        number: envelope.number,
        min_version: envelope.versions.min,
        max_version: envelope.versions.max,
        messages: envelope.messages.into_iter().map(|m| WireMessage { body: Some(m) }).collect(),
    };
    let mut bytes = vec![EXTENSION_VERSION];
    wire.encode(&mut bytes).map_err(|_| FrameError::Malformed)?;
    append_mac(bytes, key, limit)
}

/// Verifies a frame of version 2 and decodes its messages.
///
/// # Errors
/// [`FrameError`] if the frame is refused.
pub fn open_extensions(
    bytes: &[u8],
    key: &[u8],
    limit: usize,
) -> Result<ExtensionEnvelope, FrameError> {
    let body = verified_body(bytes, EXTENSION_VERSION, key, limit)?;
    let wire = WireEnvelope::decode(body).map_err(|_| FrameError::Malformed)?;
    let id = |name: String| name.parse::<InstanceId>().map_err(|_| FrameError::Malformed);
    let received = wire.messages.len();
    let messages: Vec<Extension> = wire.messages.into_iter().filter_map(|m| m.body).collect();
    Ok(ExtensionEnvelope {
        from: Holder { instance: id(wire.instance)?, start: Incarnation(wire.start) },
        to: wire.to.map(id).transpose()?,
        number: wire.number,
        versions: VersionRange { min: wire.min_version, max: wire.max_version },
        unknown: received - messages.len(),
        messages,
    })
}
