use {
    lentil_core::{
        ids::{CellId, WriterToken},
        order::Holder,
    },
    serde::{Deserialize, Serialize},
};

/// Store key of a cell's holder; it goes with the holder's lease.
pub fn holder_key(cell: &CellId) -> String {
    format!("cells/{cell}/holder")
}

/// Store key of a cell's order ledger.
pub fn ledger_key(cell: &CellId) -> String {
    format!("cells/{cell}/ledger")
}

/// Value of a cell's holder key.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct HolderRecord {
    pub writer: WriterToken,
    pub holder: Holder,
}
