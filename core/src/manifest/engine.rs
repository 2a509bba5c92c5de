use {
    crate::ids::{CellId, ModelId, Region, TokenRate, Tokens, Zone},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, str::FromStr},
    thiserror::Error,
};

/// A model engine of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its region.
    pub region: Region,
    /// Its availability zone.
    pub zone: Zone,
    /// The cell whose controller orders it.
    pub cell: CellId,
    /// The model that it serves.
    pub model: ModelId,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// What it can do in a second.
    pub rates: EngineRates,
}

/// What an engine can do.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineRates {
    /// Prompt tokens per second when it only prefills.
    pub prefill: TokenRate,
    /// Output tokens per second when all its slots decode.
    pub decode: TokenRate,
    /// Requests that decode at once.
    pub slots: u32,
    /// Tokens that its KV cache holds.
    pub cache: Tokens,
}

/// What an engine is set to do.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefills prompts and exports their KV cache.
    Prefill,
    /// Decodes; prefills what is small.
    #[default]
    Decode,
}

impl Role {
    /// The other role.
    #[must_use]
    pub fn other(self) -> Self {
        match self {
            Self::Prefill => Self::Decode,
            Self::Decode => Self::Prefill,
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        })
    }
}

/// A text that names no role.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("role {0:?} is neither \"prefill\" nor \"decode\"")]
pub struct RoleError(String);

impl FromStr for Role {
    type Err = RoleError;
    fn from_str(text: &str) -> Result<Self, RoleError> {
        match text {
            "prefill" => Ok(Self::Prefill),
            "decode" => Ok(Self::Decode),
            _ => Err(RoleError(text.to_owned())),
        }
    }
}
