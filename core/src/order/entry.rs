use {
    crate::{
        ids::{AdapterId, Fence, Incarnation, InstanceId, VersionId},
        manifest::Role,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// A process that holds or held the lease on a cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Instance that the process runs.
    pub instance: InstanceId,
    /// Incarnation of the process, so that a restarted instance counts as another holder.
    pub start: Incarnation,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.start)
    }
}

/// Command to an engine. Orders are idempotent, because each names a state, not a change.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Keep the present state and only record the fencing number.
    Hold,
    /// Change to a role, if the engine does not have it.
    Role(Role),
    /// Have this version of an adapter loaded.
    Load {
        /// Name of the adapter.
        adapter: AdapterId,
        /// Version of the adapter.
        version: VersionId,
    },
    /// Serve this version of the model.
    Model(VersionId),
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hold => f.write_str("hold"),
            Self::Role(role) => write!(f, "change to role {role}"),
            Self::Load { adapter, version } => write!(f, "load {adapter} {version}"),
            Self::Model(version) => write!(f, "serve version {version}"),
        }
    }
}

/// Progress of an order, as recorded in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The order may be unsent, in flight, or carried out.
    Open,
    /// The attempt to send the order has ended, and the engine still runs in the incarnation for
    /// which the order was written.
    Sent,
    /// The attempt to send the order has ended, and the engine has restarted since the order was
    /// written. The entry has the later incarnation.
    #[serde(rename = "moved")]
    Restarted,
    /// The order has taken effect or never will; any effect is known.
    Settled,
}

/// The latest order to an engine, as an entry of the [`Ledger`](super::Ledger).
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Fencing number of the order.
    pub number: Fence,
    /// Command that the engine gets.
    pub order: Order,
    /// Process that gave the order.
    pub by: Holder,
    /// Incarnation of the engine when the order was written, or as recorded since.
    pub boot: Incarnation,
    /// Number of orders that the engine had accepted before this one, if it counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<u64>,
    /// Progress of the order.
    pub stage: Stage,
}

/// State of an engine, as it reports it on request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the engine, which changes with each restart.
    pub boot: Incarnation,
    /// Role in which the engine serves.
    pub role: Role,
    /// Whether the engine is carrying out an order at present.
    pub changing: bool,
    /// Greatest fencing number that the engine has seen; 0 if it does not check them.
    pub fence: Fence,
    /// Number of orders accepted since the engine started, if it counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<u64>,
    /// Version of the model that the engine serves.
    pub version: VersionId,
    /// Loaded adapters and their versions.
    pub adapters: BTreeMap<AdapterId, VersionId>,
}

impl EngineReport {
    /// Returns whether the engine is in the state that `order` asks for.
    pub fn fulfils(&self, order: &Order) -> bool {
        match order {
            Order::Hold => true,
            Order::Role(role) => self.role == *role && !self.changing,
            Order::Load { adapter, version } => self.adapters.get(adapter) == Some(version),
            Order::Model(version) => self.version == *version && !self.changing,
        }
    }
}
