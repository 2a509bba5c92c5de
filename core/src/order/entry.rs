use {
    crate::{
        ids::{AdapterId, Fence, Incarnation, InstanceId, VersionId},
        manifest::Role,
    },
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, fmt},
};

/// The process that holds a cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Its instance.
    pub instance: InstanceId,
    /// Its start, so that a restarted instance is another holder.
    pub start: Incarnation,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.instance, self.start)
    }
}

/// What an engine is told. Orders are absolute: giving one twice is the same as once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Do nothing but remember the fencing number.
    Hold,
    /// Take a role.
    Role(Role),
    /// Have an adapter loaded in a version.
    Load {
        /// The adapter.
        adapter: AdapterId,
        /// Its version.
        version: VersionId,
    },
    /// Serve the model in a version.
    Model(VersionId),
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hold => f.write_str("hold"),
            Self::Role(role) => write!(f, "be {role}"),
            Self::Load { adapter, version } => write!(f, "load {adapter} {version}"),
            Self::Model(version) => write!(f, "serve version {version}"),
        }
    }
}

/// How far an order has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It may be sent, be on its way, or have been carried out.
    Open,
    /// The attempt to send it has ended, in the engine's incarnation that it was written for.
    Sent,
    /// The attempt to send it has ended, in a later incarnation, which is the one noted.
    Moved,
    /// It can't have an effect any more that is not known.
    Settled,
}

/// The latest order to one engine.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its fencing number.
    pub number: Fence,
    /// What it says.
    pub order: Order,
    /// Who gave it.
    pub by: Holder,
    /// The engine's incarnation when it was written, or as noted since.
    pub boot: Incarnation,
    /// Orders that the engine had accepted before, if it counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<u64>,
    /// How far it has come.
    pub stage: Stage,
}

/// What an engine says of itself when asked.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineReport {
    /// Its incarnation.
    pub boot: Incarnation,
    /// Its role.
    pub role: Role,
    /// Whether it is carrying out an order now.
    pub changing: bool,
    /// The greatest fencing number it has seen; engines that check none report zero.
    pub fence: Fence,
    /// Orders that it has accepted since its start, if it counts them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accepted: Option<u64>,
    /// Version of the model that it serves.
    pub version: VersionId,
    /// Adapters that it holds.
    pub adapters: BTreeMap<AdapterId, VersionId>,
}

impl EngineReport {
    /// Whether the engine is as `order` wants it.
    pub fn fulfils(&self, order: &Order) -> bool {
        match order {
            Order::Hold => true,
            Order::Role(role) => self.role == *role && !self.changing,
            Order::Load { adapter, version } => self.adapters.get(adapter) == Some(version),
            Order::Model(version) => self.version == *version && !self.changing,
        }
    }
}
