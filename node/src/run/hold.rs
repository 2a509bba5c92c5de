use {
    crate::app::App,
    lentil_core::ids::{EngineId, Tokens},
    std::sync::Arc,
};

/// Work in progress on a target, counted until it is dropped.
pub(super) struct Hold {
    app: Arc<App>,
    id: EngineId,
    tokens: Tokens,
    prefilled: bool,
}

impl Hold {
    /// Counts a request with `tokens` to prefill.
    pub(super) fn new(app: &Arc<App>, id: &EngineId, tokens: Tokens) -> Self {
        if let Some(shared) = app.fleet().engine(id).and_then(|e| e.load.shared.as_mut()) {
            shared.began(tokens);
        }
        Self { app: app.clone(), id: id.clone(), tokens, prefilled: false }
    }

    /// Notes that the prompt has been prefilled; true the first time.
    pub(super) fn prefilled(&mut self) -> bool {
        if std::mem::replace(&mut self.prefilled, true) {
            return false;
        }
        let tokens = std::mem::take(&mut self.tokens);
        if let Some(shared) = self.app.fleet().engine(&self.id).and_then(|e| e.load.shared.as_mut())
        {
            shared.ended(tokens);
            shared.began(Tokens(0));
        }
        true
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        if let Some(shared) = self.app.fleet().engine(&self.id).and_then(|e| e.load.shared.as_mut())
        {
            shared.ended(self.tokens);
        }
    }
}
