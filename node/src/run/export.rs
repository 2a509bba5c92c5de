use {
    crate::{
        app::App,
        ports::{CacheSource, Target},
    },
    lentil_core::ids::RunId,
    std::sync::Arc,
};

/// KV cache of a prefilled prompt that an engine keeps for export. Dropping this releases it unless
/// another engine has fetched it.
pub(super) struct Export {
    app: Arc<App>,
    engine: Target,
    run: Option<RunId>,
}

impl Export {
    pub(super) fn new(app: &Arc<App>, engine: Target, run: RunId) -> Self {
        Self { app: app.clone(), engine, run: Some(run) }
    }

    /// Returns where the KV cache can be fetched, or `None` once it was.
    pub(super) fn source(&self) -> Option<CacheSource> {
        let address = self.engine.address;
        self.run.clone().map(|run| CacheSource { address, run })
    }

    /// Records that another engine has fetched the KV cache.
    pub(super) fn mark_fetched(&mut self) {
        self.run = None;
    }
}

impl Drop for Export {
    fn drop(&mut self) {
        let Some(run) = self.run.take() else { return };
        let (app, engine) = (self.app.clone(), self.engine.clone());
        tokio::spawn(async move {
            let check = || app.check_control(&engine);
            if let Err(error) = app.ports.engines.cancel(&engine, &run, &check).await {
                // The engine drops unfetched exports after a while.
                log::debug!("run: export {run} was not released: {error}");
            }
        });
    }
}
