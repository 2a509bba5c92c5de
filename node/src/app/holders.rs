use {
    lentil_core::{
        clock::Time,
        ids::{CellId, Fence, InstanceId, ModelId},
        mesh::DemandNote,
        order::Holder,
        plan::Demand,
    },
    std::{
        collections::{BTreeSet, HashMap},
        net::SocketAddr,
        time::Duration,
    },
};

/// Age at which reported demand no longer counts.
const DEMAND_EXPIRY: Duration = Duration::from_secs(10);

/// Holder of a cell, as reported.
#[derive(Debug, Clone)]
pub struct CellHolder {
    /// The instance that holds the cell, with its start.
    pub holder: Holder,
    /// Address at which it listens for other instances.
    pub address: SocketAddr,
    /// Fencing number of the cell's ledger when it took over; later holders have greater ones.
    pub fence: Fence,
}

#[derive(Debug)]
struct ReportedDemand {
    demand: Demand,
    at: Time,
}

/// Holders of the cells, demand that other instances report, and instances that are gone.
#[derive(Debug, Default)]
pub struct Holders {
    cells: HashMap<CellId, CellHolder>,
    demand: HashMap<(CellId, ModelId, InstanceId), ReportedDemand>,
    /// Instances that the platform's list names as gone.
    pub gone: BTreeSet<InstanceId>,
}

impl Holders {
    /// Records the holder of a cell; returns `false` if one as recent is already known.
    pub fn record_holder(&mut self, cell: &CellId, found: CellHolder) -> bool {
        if self.cells.get(cell).is_some_and(|h| h.fence >= found.fence) {
            return false;
        }
        self.cells.insert(cell.clone(), found);
        true
    }

    /// Returns the holder of a cell, if one was reported.
    pub fn holder(&self, cell: &CellId) -> Option<&CellHolder> {
        self.cells.get(cell)
    }

    /// Records demand that another instance reports.
    pub fn record_demand(&mut self, from: &InstanceId, note: DemandNote, now: Time) {
        let key = (note.cell, note.model, from.clone());
        self.demand.insert(key, ReportedDemand { demand: note.demand, at: now });
    }

    /// Returns the sum of the demand that all other instances report for a model's engines in a
    /// cell.
    pub fn reported_demand(&mut self, cell: &CellId, model: &ModelId, now: Time) -> Demand {
        self.demand.retain(|_, n| now - n.at < DEMAND_EXPIRY);
        self.demand
            .iter()
            .filter(|((c, m, _), _)| c == cell && m == model)
            .fold(Demand::default(), |sum, (_, n)| sum + n.demand)
    }
}
