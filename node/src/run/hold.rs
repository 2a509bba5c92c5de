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
}

impl Hold {
    /// Counts a request with `tokens` to prefill.
    pub(super) fn new(app: &Arc<App>, id: &EngineId, tokens: Tokens) -> Self {
        if let Some(shared) = app.fleet().engine(id).and_then(|e| e.load.shared.as_mut()) {
            shared.began(tokens);
        }
        Self { app: app.clone(), id: id.clone(), tokens }
    }

    /// Notes that the prompt has been prefilled.
    pub(super) fn prefilled(&mut self) {
        let tokens = std::mem::take(&mut self.tokens);
        if let Some(shared) = self.app.fleet().engine(&self.id).and_then(|e| e.load.shared.as_mut())
        {
            shared.ended(tokens);
            shared.began(Tokens(0));
        }
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
