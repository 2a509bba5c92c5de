use {
    super::{Entry, Holder, Order, Stage},
    crate::ids::{EngineId, Fence, Incarnation, WriterToken},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    thiserror::Error,
};

/// Why an order may not be given.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// An earlier order to the engine is open.
    #[error("order {number} to engine {engine:?} is not settled")]
    Unsettled {
        /// The engine.
        engine: EngineId,
        /// The open order.
        number: Fence,
    },
    /// Another process has taken the ledger over.
    #[error("the ledger is held by {0}")]
    NotHolder(Holder),
}

/// The orders of one cell, kept in one store value.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Who wrote this value, unique for each attempt.
    pub writer: WriterToken,
    /// Who may give orders.
    pub holder: Holder,
    /// The greatest fencing number given out, for take-overs as for orders.
    pub number: Fence,
    /// The latest order to each engine.
    pub entries: BTreeMap<EngineId, Entry>,
}

impl Ledger {
    /// The ledger as `holder` takes it over from `old`. Open orders stay open.
    pub fn take_over(old: Option<&Self>, holder: Holder, writer: WriterToken) -> Self {
        let number = old.map_or(Fence(0), |l| l.number).next();
        let entries = old.map(|l| l.entries.clone()).unwrap_or_default();
        Self { writer, holder, number, entries }
    }

    /// Enters an order before it goes out, and gives its fencing number.
    ///
    /// # Errors
    /// [`OrderError`] if the ledger is another's or the engine's earlier order is open.
    pub fn open(
        &mut self,
        by: &Holder,
        engine: &EngineId,
        order: Order,
        boot: Incarnation,
        before: Option<u64>,
    ) -> Result<Fence, OrderError> {
        if self.holder != *by {
            return Err(OrderError::NotHolder(self.holder.clone()));
        }
        let open = self.entries.get(engine).filter(|e| e.stage != Stage::Settled);
        if let Some(entry) = open {
            return Err(OrderError::Unsettled { engine: engine.clone(), number: entry.number });
        }
        self.number = self.number.next();
        let number = self.number;
        let entry = Entry { number, order, by: by.clone(), boot, before, stage: Stage::Open };
        self.entries.insert(engine.clone(), entry);
        Ok(number)
    }

    /// Forgets the settled orders of engines that are gone.
    pub fn forget(&mut self, gone: impl Fn(&EngineId) -> bool) {
        self.entries.retain(|id, e| e.stage != Stage::Settled || !gone(id));
    }

    /// A fencing number for telling an engine to hold, while its earlier order stays open.
    pub fn next_number(&mut self) -> Fence {
        self.number = self.number.next();
        self.number
    }

    /// Moves the numbers past one that an engine has seen under another cell.
    pub fn skip_past(&mut self, seen: Fence) {
        self.number = self.number.max(seen);
    }

    /// Marks an order as settled.
    pub fn settle(&mut self, engine: &EngineId, number: Fence) {
        if let Some(entry) = self.entries.get_mut(engine).filter(|e| e.number == number) {
            entry.stage = Stage::Settled;
        }
    }

    /// Enters what was seen of an engine after an order went out to it.
    pub fn record(&mut self, engine: &EngineId, number: Fence, stage: Stage, boot: Incarnation) {
        if let Some(entry) = self.entries.get_mut(engine).filter(|e| e.number == number) {
            entry.stage = stage;
            entry.boot = boot;
        }
    }

    /// Engines with an open order.
    pub fn unsettled(&self) -> impl Iterator<Item = (&EngineId, &Entry)> {
        self.entries.iter().filter(|(_, e)| e.stage != Stage::Settled)
    }
}
