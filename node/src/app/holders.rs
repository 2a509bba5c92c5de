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

/// Age at which a note of demand no longer counts.
const STALE: Duration = Duration::from_secs(10);

/// Who holds each cell, as heard.
#[derive(Debug, Clone)]
pub struct CellHolder {
    /// The holder.
    pub holder: Holder,
    /// Where its mesh listens.
    pub address: SocketAddr,
    /// The ledger's number at its take-over.
    pub number: Fence,
}

#[derive(Debug)]
struct ReportedDemand {
    demand: Demand,
    at: Time,
}

/// Who holds the cells, what demand others report, and which instances are gone.
#[derive(Debug, Default)]
pub struct Holders {
    cells: HashMap<CellId, CellHolder>,
    demand: HashMap<(CellId, ModelId, InstanceId), ReportedDemand>,
    /// Instances that the platform's list calls gone.
    pub gone: BTreeSet<InstanceId>,
}

impl Holders {
    /// Takes in who holds a cell; true if that is news.
    pub fn record_holder(&mut self, cell: &CellId, found: CellHolder) -> bool {
        if self.cells.get(cell).is_some_and(|h| h.number >= found.number) {
            return false;
        }
        self.cells.insert(cell.clone(), found);
        true
    }

    /// The holder of a cell, if one was heard of.
    pub fn holder(&self, cell: &CellId) -> Option<&CellHolder> {
        self.cells.get(cell)
    }

    /// Notes demand that another instance reports.
    pub fn record_demand(&mut self, from: &InstanceId, note: DemandNote, now: Time) {
        let key = (note.cell, note.model, from.clone());
        self.demand.insert(key, ReportedDemand { demand: note.demand, at: now });
    }

    /// Demand that all others report for a model's engines in a cell.
    pub fn reported_demand(&mut self, cell: &CellId, model: &ModelId, now: Time) -> Demand {
        self.demand.retain(|_, n| now - n.at < STALE);
        self.demand
            .iter()
            .filter(|((c, m, _), _)| c == cell && m == model)
            .fold(Demand::default(), |sum, (_, n)| sum + n.demand)
    }
}
