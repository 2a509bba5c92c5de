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

/// Returns the cells of this instance's region: those of the manifest, or on the platform those
/// of the registered engines.
pub(super) fn region_cells(app: &App) -> BTreeSet<CellId> {
    let region = &app.settings.region;
    if app.settings.hosted.is_none() {
        let Ok(index) = app.manifest_index() else { return BTreeSet::new() };
        let engines = index.manifest.engines.values();
        return engines.filter(|e| e.region == *region).map(|e| e.cell.clone()).collect();
    }
    let Ok(table) = app.routes() else { return BTreeSet::new() };
    let fleet = app.fleet();
    let local =
        fleet.engines.iter().filter(|e| e.region == *region && takes_orders(&table, &e.model));
    local.map(cell_of).collect()
}

/// Returns an engine's specification, from the manifest or from its registration.
pub(super) fn engine_spec(app: &App, id: &EngineId) -> Option<EngineSpec> {
    if app.settings.hosted.is_none() {
        return app.manifest_index().ok()?.manifest.engines.get(id).cloned();
    }
    app.fleet().engine(id).map(|e| registered_spec(e))
}

/// Returns the specification of a registered engine.
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

/// Returns the cell of a registered engine: the engines of one service in one region share a cell.
///
/// The service's name alone is used where it is too long to be joined with the region's.
pub(super) fn cell_of(engine: &EngineView) -> CellId {
    let name = format!("{}/{}", engine.region, engine.model);
    name.parse().unwrap_or_else(|_| {
        engine.model.as_str().parse().expect("a model name is a valid cell name")
    })
}

/// Returns whether this instance is cut off from all services of a cell, so that no order of it would
/// arrive.
pub(super) fn is_cut_off(app: &App, cell: &CellId) -> bool {
    let services: BTreeSet<ModelId> = {
        let fleet = app.fleet();
        fleet.engines.iter().filter(|e| cell_of(e) == *cell).map(|e| e.model.clone()).collect()
    };
    let reach = app.reach();
    !services.is_empty() && services.iter().all(|service| reach.is_cut_off(service))
}

/// Returns whether a service's targets are engines that take orders.
fn takes_orders(table: &RouteTable, model: &ModelId) -> bool {
    let service: Option<ServiceId> = model.as_str().parse().ok();
    let config = service.and_then(|s| table.services.get(&s));
    config.is_some_and(|c| c.engine.is_some())
}
