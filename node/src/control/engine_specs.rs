use {
    crate::app::App,
    lentil_core::{
        fleet::EngineView,
        ids::{CellId, EngineId, ModelId, ServiceId},
        manifest::EngineSpec,
        routes::RouteTable,
    },
    std::collections::BTreeSet,
};

/// Cells of this instance's region.
pub(super) fn region_cells(app: &App) -> BTreeSet<CellId> {
    let region = &app.settings.region;
    if app.settings.hosted.is_none() {
        let Ok(index) = app.manifest_index() else { return BTreeSet::new() };
        let engines = index.manifest.engines.values();
        return engines.filter(|e| e.region == *region).map(|e| e.cell.clone()).collect();
    }
    let Ok(table) = app.routes() else { return BTreeSet::new() };
    let fleet = app.fleet();
    let here = fleet.engines.iter().filter(|e| e.region == *region && ordered(&table, &e.model));
    here.map(cell_of).collect()
}

/// What an engine that takes orders is, by the manifest or by its registration.
pub(super) fn engine_spec(app: &App, id: &EngineId) -> Option<EngineSpec> {
    if app.settings.hosted.is_none() {
        return app.manifest_index().ok()?.manifest.engines.get(id).cloned();
    }
    app.fleet().engine(id).map(|e| registered_spec(e))
}

/// What a registered engine is.
pub(super) fn registered_spec(engine: &EngineView) -> EngineSpec {
    EngineSpec {
        address: engine.address,
        region: engine.region.clone(),
        zone: engine.zone.clone(),
        cell: cell_of(engine),
        model: engine.model.clone(),
        fenced: false,
        rates: engine.rates,
    }
}

/// The cell of a registered engine: those of one service in one region.
pub(super) fn cell_of(engine: &EngineView) -> CellId {
    let name = format!("{}/{}", engine.region, engine.model);
    name.parse().unwrap_or_else(|_| engine.model.as_str().parse().expect("a service has a name"))
}

/// Whether a service's targets are engines that take orders.
fn ordered(table: &RouteTable, model: &ModelId) -> bool {
    let service: Option<ServiceId> = model.as_str().parse().ok();
    let facts = service.and_then(|s| table.services.get(&s));
    facts.is_some_and(|f| f.engine.is_some())
}
