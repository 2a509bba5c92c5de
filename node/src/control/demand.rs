use {
    crate::{app::App, mesh::send_datagram},
    lentil_core::{
        ids::{CellId, ModelId},
        mesh::{DemandNote, Message},
        plan::Demand,
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two demand reports to a cell's holder.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports the demand that arrives at this instance to the holders of the cells it concerns.
pub async fn report_demand(app: Arc<App>) {
    loop {
        for (cell, notes) in demand_notes(&app) {
            let holder = app.holders().holder(&cell).cloned();
            let Some(holder) = holder.filter(|h| h.holder != app.identity) else { continue };
            let to = Some(holder.holder.instance);
            send_datagram(&app, holder.address, to, Message::Demand(notes)).await;
        }
        sleep(REPORT_INTERVAL).await;
    }
}

/// Returns the demand measured by this instance, grouped by cell.
fn demand_notes(app: &App) -> BTreeMap<CellId, Vec<DemandNote>> {
    let now = app.now();
    let mut notes: BTreeMap<CellId, Vec<DemandNote>> = BTreeMap::new();
    for ((cell, model), meter) in &app.admission().demand_meters {
        let demand = meter.demand(now);
        let note = DemandNote { cell: cell.clone(), model: model.clone(), demand };
        notes.entry(cell.clone()).or_default().push(note);
    }
    notes
}

/// Returns the demand for a model's engines in a cell, measured here and reported by others.
pub(super) fn total_demand(app: &App, cell: &CellId, model: &ModelId) -> Demand {
    let now = app.now();
    let key = (cell.clone(), model.clone());
    let own = app.admission().demand_meters.get(&key).map(|m| m.demand(now)).unwrap_or_default();
    own + app.holders().reported_demand(cell, model, now)
}
