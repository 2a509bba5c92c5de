use {
    crate::ids::{CallerId, EngineId, RunId},
    hmac::{Hmac, Mac},
    serde::{Deserialize, Serialize},
    sha2::Sha256,
    thiserror::Error,
};

const MAC_BYTES: usize = 16; // bytes of the MAC that a ticket carries

/// Where a stream runs and whose it is; with it any instance can resume the stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ticket {
    /// The engine that runs it.
    pub engine: EngineId,
    /// The run on that engine.
    pub run: RunId,
    /// Tokens of the whole answer that came before this run.
    pub base: u64,
    /// The only caller that may read it.
    pub caller: CallerId,
}

/// Why a text is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the stream id is not valid")]
pub struct TicketError;

fn tag(key: &[u8], body: &[u8]) -> Option<[u8; MAC_BYTES]> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    mac.update(b"stream");
    mac.update(body);
    mac.finalize().into_bytes()[..MAC_BYTES].try_into().ok()
}

impl Ticket {
    /// The stream id that callers see: hexadecimal, authenticated with the mesh key.
    pub fn seal(&self, key: &[u8]) -> String {
        let mut bytes = postcard::to_stdvec(self).unwrap_or_default();
        let tag = tag(key, &bytes).unwrap_or_default();
        bytes.extend_from_slice(&tag);
        bytes.iter().map(|b| format!("{b:02x}")).collect()
    }

    /// Reads a stream id that an instance with the same key has made.
    ///
    /// # Errors
    /// [`TicketError`] if it was not made with `key` or was altered.
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
        if tag(key, body).ok_or(TicketError)?.as_slice() != found {
            return Err(TicketError);
        }
        postcard::from_bytes(body).map_err(|_| TicketError)
    }
}
