use {
    crate::app::App,
    lentil_core::{
        ids::InstanceId,
        mesh::{open, seal, Envelope, FrameError, Message, ReplayWindow},
    },
    std::{
        collections::HashMap,
        sync::{
            atomic::{AtomicU64, Ordering},
            Mutex, PoisonError,
        },
    },
};

/// Most senders whose replay windows are kept; all are dropped when one more sends a frame.
const MAX_SENDERS: usize = 4_096;

/// Seals outgoing frames, and authenticates incoming ones and rejects replays.
#[derive(Debug, Default)]
pub struct FrameCodec {
    number: AtomicU64,
    windows: Mutex<HashMap<InstanceId, ReplayWindow>>,
}

impl FrameCodec {
    /// Seals a message from this instance; `to` is its only receiver, if that is known.
    ///
    /// # Errors
    /// [`FrameError::TooLarge`] if the frame exceeds `limit` bytes.
    pub fn seal(
        &self,
        app: &App,
        to: Option<InstanceId>,
        body: Message,
        limit: usize,
    ) -> Result<Vec<u8>, FrameError> {
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        let envelope = Envelope { from: app.identity.clone(), to, number, body };
        let frame = seal(&envelope, app.settings.mesh.key.as_bytes(), limit)?;
        app.metrics.sent_bytes.inc_by(frame.len() as u64);
        Ok(frame)
    }

    /// Opens a received frame. A refused frame is counted and has no other effect.
    ///
    /// # Errors
    /// [`FrameError`] if the frame is too large, malformed or not authentic, is meant for another
    /// instance, or was received before.
    pub fn open(&self, app: &App, bytes: &[u8], limit: usize) -> Result<Envelope, FrameError> {
        let checked = self.check(app, bytes, limit);
        if let Err(error) = &checked {
            app.metrics.refused_frames.with_label_values(&[error.label()]).inc();
        }
        checked
    }

    fn check(&self, app: &App, bytes: &[u8], limit: usize) -> Result<Envelope, FrameError> {
        let envelope = open(bytes, app.settings.mesh.key.as_bytes(), limit)?;
        if envelope.to.as_ref().is_some_and(|to| *to != app.identity.instance) {
            return Err(FrameError::Misdirected);
        }
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        let from = &envelope.from;
        if windows.len() >= MAX_SENDERS && !windows.contains_key(&from.instance) {
            windows.clear();
        }
        let window = windows.entry(from.instance.clone()).or_default();
        match window.accept(from.start, envelope.number) {
            true => Ok(envelope),
            false => Err(FrameError::Replay),
        }
    }
}
