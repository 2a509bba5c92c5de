use {
    super::{Entry, Holder, Order, Stage},
    crate::ids::{EngineId, Fence, Incarnation, WriterToken},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    thiserror::Error,
};

/// Reason why an order may not be sent.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// An earlier order to the engine is not settled.
    #[error("order {number} to engine {engine:?} is not settled")]
    Unsettled {
        /// Engine that the order is for.
        engine: EngineId,
        /// Fencing number of the earlier order.
        number: Fence,
    },
    /// Another process has taken the ledger over.
    #[error("the ledger is held by {0}")]
    NotHolder(Holder),
}

/// Orders of one cell, kept in one value of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ledger {
    /// Token of the write attempt that produced this value, unique for each attempt.
    pub writer: WriterToken,
    /// Process that may give orders.
    pub holder: Holder,
    /// Greatest fencing number assigned so far; take-overs get one as orders do.
    pub number: Fence,
    /// Latest order to each engine.
    pub entries: BTreeMap<EngineId, Entry>,
}

impl Ledger {
    /// Returns the ledger after `holder` takes it over from `old`. Open orders stay open.
    pub fn take_over(old: Option<&Self>, holder: Holder, writer: WriterToken) -> Self {
        let number = old.map_or(Fence(0), |l| l.number).next();
        let entries = old.map(|l| l.entries.clone()).unwrap_or_default();
        Self { writer, holder, number, entries }
    }

    /// Adds an open order and returns its fencing number. The ledger must be stored before the order
    /// is sent.
    ///
    /// # Errors
    /// [`OrderError`] if another process holds the ledger or an earlier order to the engine is not
    /// settled.
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

    /// Removes the settled orders of engines that no longer exist.
    pub fn remove_settled(&mut self, gone: impl Fn(&EngineId) -> bool) {
        self.entries.retain(|id, e| e.stage != Stage::Settled || !gone(id));
    }

    /// Assigns a fencing number to an [`Order::Hold`], while the earlier order to the engine stays
    /// open.
    pub fn next_number(&mut self) -> Fence {
        self.number = self.number.next();
        self.number
    }

    /// Makes the next numbers greater than `seen`, which an engine has seen when it belonged to
    /// another cell.
    pub fn skip_past(&mut self, seen: Fence) {
        self.number = self.number.max(seen);
    }

    /// Marks an order as settled.
    pub fn settle(&mut self, engine: &EngineId, number: Fence) {
        if let Some(entry) = self.entries.get_mut(engine).filter(|e| e.number == number) {
            entry.stage = Stage::Settled;
        }
    }

    /// Records the stage of an order and the incarnation of its engine, as observed after the
    /// attempt to send it.
    pub fn record(&mut self, engine: &EngineId, number: Fence, stage: Stage, boot: Incarnation) {
        if let Some(entry) = self.entries.get_mut(engine).filter(|e| e.number == number) {
            entry.stage = stage;
            entry.boot = boot;
        }
    }

    /// Returns the engines that have an order which is not settled.
    pub fn unsettled(&self) -> impl Iterator<Item = (&EngineId, &Entry)> {
        self.entries.iter().filter(|(_, e)| e.stage != Stage::Settled)
    }
}
