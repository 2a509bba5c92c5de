use {
    lentil_core::{
        ids::{Fence, Incarnation},
        manifest::Role,
        order::{EngineReport, Order},
    },
    lentil_node::ports::Command,
    std::collections::BTreeMap,
};

/// An order that had an effect, as tests look at it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Effect {
    /// The order.
    pub command: Command,
    /// Answers that it cut.
    pub cut: usize,
}

/// What an engine is, and the orders that made it so.
#[derive(Debug)]
pub(super) struct Post {
    pub report: EngineReport,
    pub effects: Vec<Effect>,
    pub refused: u32,
    pub leaving: bool,
}

impl Post {
    pub(super) fn new(boot: Incarnation, version: &str) -> Self {
        let report = EngineReport {
            boot,
            role: Role::Decode,
            changing: false,
            fence: Fence(0),
            accepted: None,
            version: version.parse().expect("setup has a good version"),
            adapters: BTreeMap::new(),
        };
        Self { report, effects: Vec::new(), refused: 0, leaving: false }
    }

    /// Takes an order's effect; whether the engine is away for it, or the fence against it.
    pub(super) fn take(&mut self, command: &Command, fenced: bool) -> Result<bool, Fence> {
        if fenced {
            if command.number < self.report.fence {
                self.refused += 1;
                return Err(self.report.fence);
            }
            self.report.fence = command.number;
        }
        let away = match &command.order {
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
        self.effects.push(Effect { command: command.clone(), cut: 0 });
        Ok(away)
    }
}
