use {
    super::{change::Change, controller::Controller, held_cell::HeldCell},
    crate::{
        app::App,
        ports::{StoreError, Weights},
    },
    lentil_core::{
        ids::{AdapterId, EngineId},
        manifest::{AdapterSpec, EngineSpec, ManifestIndex},
        order::{EngineReport, Order},
    },
    std::sync::Arc,
};

/// An engine with what it reports.
pub(super) struct ReportedEngine {
    pub id: EngineId,
    pub spec: EngineSpec,
    pub report: EngineReport,
}

impl Controller {
    /// Brings one engine nearer to the manifest: a missing adapter, or an older model version.
    pub(super) async fn reconcile_models(
        &mut self,
        app: &Arc<App>,
        index: &ManifestIndex,
        held: &mut HeldCell,
        seen: &[ReportedEngine],
    ) -> Result<(), StoreError> {
        for (id, model) in &index.manifest.models {
            let mine: Vec<&ReportedEngine> = seen.iter().filter(|s| s.spec.model == *id).collect();
            for (adapter, spec) in &model.adapters {
                if let Some(engine) = lacking(&mine, adapter, spec) {
                    return load(app, held, engine, adapter, spec).await;
                }
            }
            let old = mine.iter().find(|s| s.report.version != model.version && !s.report.changing);
            if let Some(engine) = old.filter(|_| self.changes.is_empty()) {
                let order = Order::Model(model.version.clone());
                let change = Change::begin(app, engine.id.clone(), engine.spec.clone(), order);
                self.changes.push(change);
                return Ok(());
            }
        }
        Ok(())
    }
}

/// The engine that should load an adapter next, if too few have it.
fn lacking<'a>(
    mine: &[&'a ReportedEngine],
    adapter: &AdapterId,
    spec: &AdapterSpec,
) -> Option<&'a ReportedEngine> {
    let has = |s: &&&ReportedEngine| s.report.adapters.get(adapter) == Some(&spec.version);
    let copies = mine.iter().filter(has).count();
    if copies >= spec.copies as usize {
        return None;
    }
    // The engine with the fewest adapters, so that they spread.
    mine.iter()
        .filter(|s| !has(s) && !s.report.changing)
        .min_by_key(|s| s.report.adapters.len())
        .copied()
}

async fn load(
    app: &App,
    held: &mut HeldCell,
    engine: &ReportedEngine,
    adapter: &AdapterId,
    spec: &AdapterSpec,
) -> Result<(), StoreError> {
    let weights = Weights {
        model: engine.spec.model.clone(),
        adapter: adapter.clone(),
        version: spec.version.clone(),
        size: spec.size,
    };
    if let Some(store) = &app.ports.weights {
        if let Err(error) = store.reserve(&weights).await {
            log::info!("control: adapter {adapter} waits: {error}");
            return Ok(());
        }
    }
    let order = Order::Load { adapter: adapter.clone(), version: spec.version.clone() };
    held.issue(app, &engine.id, &engine.spec, order).await.map(|_| ())
}
