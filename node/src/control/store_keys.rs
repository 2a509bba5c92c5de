use {
    lentil_core::{
        ids::{CellId, WriterToken},
        order::Holder,
    },
    serde::{Deserialize, Serialize},
};

/// Returns the store key of a cell's holder, which is deleted when the holder's lease ends.
pub fn holder_key(cell: &CellId) -> String {
    format!("cells/{cell}/holder")
}

/// Returns the store key of a cell's order ledger.
pub fn ledger_key(cell: &CellId) -> String {
    format!("cells/{cell}/ledger")
}

/// Returns the store key of the numbers of targets ordered for a cell's service. Earlier versions
/// refuse a ledger with unknown fields, so the numbers have a key of their own.
pub fn scaling_key(cell: &CellId) -> String {
    format!("cells/{cell}/scaling")
}

/// The value stored under a cell's holder key.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HolderRecord {
    pub writer: WriterToken,
    pub holder: Holder,
}
