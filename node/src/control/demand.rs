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

/// Time between two reports of demand to a holder.
const PERIOD: Duration = Duration::from_secs(1);

/// Tells the holders of the cells what demand arrives here for their engines.
pub async fn report_demand(app: Arc<App>) {
    loop {
        for (cell, notes) in notes(&app) {
            let holder = app.holders().holder(&cell).cloned();
            let Some(holder) = holder.filter(|h| h.holder != app.me) else { continue };
            let to = Some(holder.holder.instance);
            send_datagram(&app, holder.address, to, Message::Demand(notes)).await;
        }
        sleep(PERIOD).await;
    }
}

fn notes(app: &App) -> BTreeMap<CellId, Vec<DemandNote>> {
    let now = app.now();
    let mut notes: BTreeMap<CellId, Vec<DemandNote>> = BTreeMap::new();
    for ((cell, model), meter) in &app.admission().demand_meters {
        let demand = meter.demand(now);
        let note = DemandNote { cell: cell.clone(), model: model.clone(), demand };
        notes.entry(cell.clone()).or_default().push(note);
    }
    notes
}

/// Demand for a model's engines in a cell, as seen here and reported by others.
pub(super) fn total(app: &App, cell: &CellId, model: &ModelId) -> Demand {
    let now = app.now();
    let key = (cell.clone(), model.clone());
    let own = app.admission().demand_meters.get(&key).map(|m| m.demand(now)).unwrap_or_default();
    own + app.holders().reported_demand(cell, model, now)
}
