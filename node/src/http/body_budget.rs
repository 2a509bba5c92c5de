use {
    super::ReadError,
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::body::Incoming,
    std::{pin::pin, sync::Arc},
    tokio::sync::{OwnedSemaphorePermit, Semaphore},
};

/// Bytes of a body that need no room in the budget: common answers are far smaller.
const FREE_BYTES: usize = 32 << 10;
/// Unit of the budget.
const UNIT_BYTES: usize = 1 << 10;

/// Room for the bodies of large answers that an instance holds at the same time.
#[derive(Debug, Clone)]
pub struct BodyBudget(Arc<Semaphore>);

/// Body with its room, which is free again once the body was sent.
struct BudgetedBody {
    bytes: BytesMut,
    _room: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for BudgetedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl BodyBudget {
    /// Creates a budget of `bytes`.
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes / UNIT_BYTES)))
    }

    /// Reads a whole body of at most `limit` bytes.
    ///
    /// # Errors
    /// Returns [`ReadError`] if the body is larger, there is no room for it, or the connection fails.
    pub async fn read_all(&self, body: Incoming, limit: usize) -> Result<Bytes, ReadError> {
        let mut body = pin!(body);
        let mut bytes = BytesMut::new();
        let mut room: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| ReadError::Failed(e.to_string()))?;
            let Ok(data) = frame.into_data() else { continue };
            let length = bytes.len() + data.len();
            if length > limit {
                return Err(ReadError::TooLarge);
            }
            let units = length.saturating_sub(FREE_BYTES).div_ceil(UNIT_BYTES);
            let missing = units - room.as_ref().map_or(0, |r| r.num_permits().min(units));
            if missing > 0 {
                let more = self.0.clone().try_acquire_many_owned(missing as u32);
                let more = more.map_err(|_| ReadError::TooLarge)?;
                match &mut room {
                    Some(room) => room.merge(more),
                    None => room = Some(more),
                }
            }
            bytes.extend_from_slice(&data);
        }
        Ok(match room {
            None => bytes.freeze(),
            room => Bytes::from_owner(BudgetedBody { bytes, _room: room }),
        })
    }
}
