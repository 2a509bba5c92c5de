use {
    crate::ids::{CellId, ModelId, Region, TokenRate, Tokens, Zone},
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, str::FromStr},
    thiserror::Error,
};

/// A model engine in the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineSpec {
    /// Address at which the engine listens.
    pub address: SocketAddr,
    /// Region of the engine.
    pub region: Region,
    /// Availability zone of the engine.
    pub zone: Zone,
    /// Cell whose controller sends orders to the engine.
    pub cell: CellId,
    /// Model that the engine serves.
    pub model: ModelId,
    /// Whether the engine refuses orders with an outdated fencing number.
    pub fenced: bool,
    /// Capacity of the engine.
    pub rates: EngineRates,
}

/// Throughput and memory capacity of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineRates {
    /// Prompt tokens per second while the engine only prefills.
    pub prefill: TokenRate,
    /// Output tokens per second while all slots decode.
    pub decode: TokenRate,
    /// Number of requests that can decode concurrently.
    pub slots: u32,
    /// Capacity of the KV cache.
    pub cache: Tokens,
}

/// Phase of inference to which an engine is assigned.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Prefills prompts and exports their KV cache to decode engines.
    Prefill,
    /// Decodes, and prefills short prompts itself.
    #[default]
    Decode,
}

impl Role {
    /// Returns the other role.
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

/// The error returned when a text is not the name of a [`Role`].
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
