use {
    crate::{app::App, ports::CacheSource},
    std::sync::Arc,
};

/// KV cache of a prefilled prompt that an engine keeps for export. Dropping this releases it unless
/// another engine has fetched it.
pub(super) struct Export {
    app: Arc<App>,
    source: Option<CacheSource>,
}

impl Export {
    pub(super) fn new(app: &Arc<App>, source: CacheSource) -> Self {
        Self { app: app.clone(), source: Some(source) }
    }

    /// Returns where the KV cache can be fetched, or `None` once it was.
    pub(super) fn source(&self) -> Option<CacheSource> {
        self.source.clone()
    }

    /// Records that another engine has fetched the KV cache.
    pub(super) fn mark_fetched(&mut self) {
        self.source = None;
    }
}

impl Drop for Export {
    fn drop(&mut self) {
        let Some(source) = self.source.take() else { return };
        let engines = self.app.ports.engines.clone();
        tokio::spawn(async move {
            if let Err(error) = engines.cancel(source.address, &source.run).await {
                // The engine drops unfetched exports after a while.
                log::debug!("run: export {} was not released: {error}", source.run);
            }
        });
    }
}
