use {
    crate::app::App,
    lentil_core::{
        fleet::EngineView,
        ids::{CellId, EngineId, ModelId, ServiceId},
        manifest::EngineSpec,
        routes::{RouteTable, ServiceConfig},
        settings::DutyKind,
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
    let mut cells: BTreeSet<CellId> = local.map(cell_of).collect();
    let scaled = table.services.iter().filter(|(_, c)| is_scaled(app, c));
    cells.extend(scaled.map(|(id, _)| cell_name(region.as_str(), id.as_str())));
    cells
}

/// Returns whether this deployment orders a service's targets by demand.
fn is_scaled(app: &App, config: &ServiceConfig) -> bool {
    let api = app.settings.hosted.as_ref().and_then(|h| h.api.as_ref());
    api.is_some_and(|a| a.has(DutyKind::Autoscale)) && config.scaling.is_some()
}

/// Returns the service of a cell with its configuration, if its targets are ordered by demand.
pub(super) fn scaled_service(app: &App, cell: &CellId) -> Option<(ServiceId, ServiceConfig)> {
    let table = app.routes().ok()?;
    let region = app.settings.region.as_str();
    let mut scaled = table.services.iter().filter(|(_, config)| is_scaled(app, config));
    let (service, config) = scaled.find(|(id, _)| cell_name(region, id.as_str()) == *cell)?;
    Some((service.clone(), config.clone()))
}

/// Returns whether the targets of a cell's service take no orders themselves: they are only ordered
/// from the platform.
pub(super) fn is_plain(app: &App, cell: &CellId) -> bool {
    scaled_service(app, cell).is_some_and(|(_, config)| config.engine.is_none())
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
    cell_name(engine.region.as_str(), engine.model.as_str())
}

fn cell_name(region: &str, service: &str) -> CellId {
    let name = format!("{region}/{service}");
    name.parse().unwrap_or_else(|_| service.parse().expect("a service's name is a valid cell name"))
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
