use {
    crate::{app::App, ports::CacheSource},
    std::sync::Arc,
};

/// A prefilled prompt that an engine keeps for export; released unless it was taken.
pub(super) struct Export {
    app: Arc<App>,
    source: Option<CacheSource>,
}

impl Export {
    pub(super) fn new(app: &Arc<App>, source: CacheSource) -> Self {
        Self { app: app.clone(), source: Some(source) }
    }

    /// Where it is kept.
    pub(super) fn source(&self) -> Option<CacheSource> {
        self.source.clone()
    }

    /// Notes that another engine has fetched it.
    pub(super) fn taken(&mut self) {
        self.source = None;
    }
}

impl Drop for Export {
    fn drop(&mut self) {
        let Some(source) = self.source.take() else { return };
        let engines = self.app.ports.engines.clone();
        tokio::spawn(async move {
            if let Err(error) = engines.cancel(source.address, &source.run).await {
                // The engine drops it by itself after a while.
                log::debug!("run: export {} was not released: {error}", source.run);
            }
        });
    }
}
