use {
    super::refusals::version_label,
    crate::app::App,
    lentil_core::{
        ids::InstanceId,
        mesh::{
            open, open_extensions, seal, seal_extensions, Envelope, Extension, ExtensionEnvelope,
            FrameError, Message, ReplayWindow, VersionRange, EXTENSION_VERSION, MAX_DATAGRAM_BYTES,
        },
        order::Holder,
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

/// Content of a received datagram.
#[derive(Debug)]
pub enum Received {
    /// A message of version 1.
    Message(Envelope),
    /// Messages of version 2.
    Extensions(ExtensionEnvelope),
}

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

    /// Seals messages of version 2 from this instance to another.
    ///
    /// # Errors
    /// [`FrameError::TooLarge`] if the frame exceeds `limit` bytes.
    pub fn seal_extensions(
        &self,
        app: &App,
        to: InstanceId,
        messages: Vec<Extension>,
        limit: usize,
    ) -> Result<Vec<u8>, FrameError> {
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        let envelope = ExtensionEnvelope {
            from: app.identity.clone(),
            to: Some(to),
            number,
            versions: VersionRange::OWN,
            messages,
            unknown: 0,
        };
        let frame = seal_extensions(envelope, app.settings.mesh.key.as_bytes(), limit)?;
        app.metrics.sent_bytes.inc_by(frame.len() as u64);
        Ok(frame)
    }

    /// Opens a received datagram of any version that this build understands. A refused one is
    /// counted and has no other effect.
    ///
    /// # Errors
    /// Those of [`open`](Self::open).
    pub fn open_datagram(&self, app: &App, bytes: &[u8]) -> Result<Received, FrameError> {
        if bytes.first() != Some(&EXTENSION_VERSION) {
            return self.open(app, bytes, MAX_DATAGRAM_BYTES).map(Received::Message);
        }
        let checked = self.check_extensions(app, bytes);
        if let Err(error) = &checked {
            app.metrics.count_refused_frame(error.label(), version_label(bytes));
        }
        checked.map(Received::Extensions)
    }

    /// Opens a received frame of version 1. A refused frame is counted and has no other effect.
    ///
    /// # Errors
    /// [`FrameError`] if the frame is too large, malformed or not authentic, is meant for another
    /// instance, or was received before.
    pub fn open(&self, app: &App, bytes: &[u8], limit: usize) -> Result<Envelope, FrameError> {
        let checked = self.check(app, bytes, limit);
        if let Err(error) = &checked {
            app.metrics.count_refused_frame(error.label(), version_label(bytes));
        }
        checked
    }

    fn check(&self, app: &App, bytes: &[u8], limit: usize) -> Result<Envelope, FrameError> {
        let envelope = open(bytes, app.settings.mesh.key.as_bytes(), limit)?;
        self.admit(app, &envelope.from, envelope.to.as_ref(), envelope.number)?;
        Ok(envelope)
    }

    fn check_extensions(&self, app: &App, bytes: &[u8]) -> Result<ExtensionEnvelope, FrameError> {
        let key = app.settings.mesh.key.as_bytes();
        let envelope = open_extensions(bytes, key, MAX_DATAGRAM_BYTES)?;
        self.admit(app, &envelope.from, envelope.to.as_ref(), envelope.number)?;
        Ok(envelope)
    }

    /// Checks the receiver of an envelope, and that it was not received before.
    fn admit(
        &self,
        app: &App,
        from: &Holder,
        to: Option<&InstanceId>,
        number: u64,
    ) -> Result<(), FrameError> {
        if to.is_some_and(|to| *to != app.identity.instance) {
            return Err(FrameError::Misdirected);
        }
        let mut windows = self.windows.lock().unwrap_or_else(PoisonError::into_inner);
        if windows.len() >= MAX_SENDERS && !windows.contains_key(&from.instance) {
            windows.clear();
        }
        let window = windows.entry(from.instance.clone()).or_default();
        match window.accept(from.start, number) {
            true => Ok(()),
            false => Err(FrameError::Replay),
        }
    }
}
