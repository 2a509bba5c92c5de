use {
    lentil_core::{
        ids::{Fence, Incarnation},
        manifest::Role,
        order::{EngineReport, Order},
    },
    lentil_node::ports::Command,
    std::collections::BTreeMap,
};

/// An order that changed the engine, recorded for the assertions of tests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderEffect {
    /// The order.
    pub command: Command,
    /// Number of unfinished runs that the order ended.
    pub runs_cut: usize,
}

/// State of an engine that orders change, and the orders that changed it.
#[derive(Debug)]
pub(super) struct EngineState {
    pub report: EngineReport,
    pub effects: Vec<OrderEffect>,
    pub refused: u32,
    pub leaving: bool,
}

impl EngineState {
    pub(super) fn new(boot: Incarnation, version: &str) -> Self {
        let report = EngineReport {
            boot,
            role: Role::Decode,
            changing: false,
            fence: Fence(0),
            accepted: None,
            version: version.parse().expect("the version in the setup is valid"),
            adapters: BTreeMap::new(),
        };
        Self { report, effects: Vec::new(), refused: 0, leaving: false }
    }

    /// Applies an order, and returns whether it takes the engine out of service for a while.
    ///
    /// # Errors
    /// The current fencing number, if `fenced` is set and the order's number is lower.
    pub(super) fn apply(&mut self, command: &Command, fenced: bool) -> Result<bool, Fence> {
        if fenced {
            if command.number < self.report.fence {
                self.refused += 1;
                return Err(self.report.fence);
            }
            self.report.fence = command.number;
        }
        let interrupts = match &command.order {
            Order::Hold => return Ok(false),
            Order::Role(role) if self.report.role == *role => false,
            Order::Role(role) => {
                self.report.role = *role;
                true
            }
            Order::Load { adapter, version } => {
                self.report.adapters.insert(adapter.clone(), version.clone());
                false
            }
            Order::Model(version) => {
                self.report.version = version.clone();
                true
            }
        };
        self.effects.push(OrderEffect { command: command.clone(), runs_cut: 0 });
        Ok(interrupts)
    }
}
