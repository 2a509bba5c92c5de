use {
    crate::ids::{CallerId, EngineId, RunId},
    hmac::{Hmac, Mac},
    serde::{Deserialize, Serialize},
    sha2::Sha256,
    thiserror::Error,
};

/// Length of the truncated HMAC-SHA256 at the end of a ticket.
const MAC_BYTES: usize = 16;

/// Content of a stream id: the run and its caller, with which any instance can resume the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// Engine on which the stream runs.
    pub engine: EngineId,
    /// Run on that engine.
    pub run: RunId,
    /// Number of tokens of the whole answer that earlier runs produced.
    pub base: u64,
    /// Only caller that may read the stream.
    pub caller: CallerId,
}

/// Error for a stream id that is malformed or fails authentication.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stream id is not valid")]
pub struct TicketError;

fn mac(key: &[u8], body: &[u8]) -> Option<[u8; MAC_BYTES]> {
    let mut hmac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    hmac.update(b"stream");
    hmac.update(body);
    hmac.finalize().into_bytes()[..MAC_BYTES].try_into().ok()
}

impl Ticket {
    /// Returns the stream id for callers: the encoded ticket with a MAC, as hexadecimal digits.
    ///
    /// `key` is the mesh key, which all instances share.
    pub fn seal(&self, key: &[u8]) -> String {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let mac = mac(key, &bytes).unwrap_or_default();
        bytes.extend_from_slice(&mac);
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Verifies and decodes a stream id that an instance with the same key created.
    ///
    /// # Errors
    /// [`TicketError`] if the id is malformed, was altered or was created with another key.
    pub fn open(text: &str, key: &[u8]) -> Result<Self, TicketError> {
        let digits = text.as_bytes();
        if !digits.len().is_multiple_of(2) || digits.len() < 2 * MAC_BYTES || !text.is_ascii() {
            return Err(TicketError);
        }
        let bytes: Vec<u8> = (0..digits.len())
            .step_by(2)
            .map(|i| u8::from_str_radix(&text[i..i + 2], 16).map_err(|_| TicketError))
            .collect::<Result<_, _>>()?;
        let (body, found) = bytes.split_at(bytes.len() - MAC_BYTES);
        if mac(key, body).ok_or(TicketError)?.as_slice() != found {
            return Err(TicketError);
        }
        postcard::from_bytes(body).map_err(|_| TicketError)
    }
}
