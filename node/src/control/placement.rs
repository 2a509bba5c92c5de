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

/// An engine with its specification and its latest report.
pub(super) struct ReportedEngine {
    pub id: EngineId,
    pub spec: EngineSpec,
    pub report: EngineReport,
}

impl Controller {
    /// Brings at most one engine closer to the manifest: loads a missing adapter, or starts the
    /// change to the current model version.
    pub(super) async fn reconcile_models(
        &mut self,
        app: &Arc<App>,
        index: &ManifestIndex,
        held: &mut HeldCell,
        engines: &[ReportedEngine],
    ) -> Result<(), StoreError> {
        for (id, model) in &index.manifest.models {
            let of_model: Vec<&ReportedEngine> =
                engines.iter().filter(|e| e.spec.model == *id).collect();
            for (adapter, spec) in &model.adapters {
                if let Some(engine) = next_to_load(&of_model, adapter, spec) {
                    return load_adapter(app, held, engine, adapter, spec).await;
                }
            }
            let outdated =
                of_model.iter().find(|e| e.report.version != model.version && !e.report.changing);
            if let Some(engine) = outdated.filter(|_| self.changes.is_empty()) {
                let order = Order::Model(model.version.clone());
                let change = Change::begin(app, engine.id.clone(), engine.spec.clone(), order);
                self.changes.push(change);
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Returns the engine that should load an adapter next, if fewer engines than wanted have it.
fn next_to_load<'a>(
    engines: &[&'a ReportedEngine],
    adapter: &AdapterId,
    spec: &AdapterSpec,
) -> Option<&'a ReportedEngine> {
    let has_adapter = |e: &&&ReportedEngine| e.report.adapters.get(adapter) == Some(&spec.version);
    let copies = engines.iter().filter(has_adapter).count();
    if copies >= spec.copies as usize {
        return None;
    }
    // Prefers the engine with the fewest adapters, to spread them over the engines.
    engines
        .iter()
        .filter(|e| !has_adapter(e) && !e.report.changing)
        .min_by_key(|e| e.report.adapters.len())
        .copied()
}

/// Reserves transfer capacity at the weight store, then orders an engine to load an adapter.
async fn load_adapter(
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
            log::info!("control: loading of adapter {adapter} is postponed: {error}");
            return Ok(());
        }
    }
    let order = Order::Load { adapter: adapter.clone(), version: spec.version.clone() };
    held.issue(app, &engine.id, &engine.spec, order).await.map(|_| ())
}
