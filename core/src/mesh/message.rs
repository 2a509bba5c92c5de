use {
    super::{MemberInfo, MemberState},
    crate::{
        fleet::{InFlight, PrefixNote, TargetBatch},
        ids::{CellId, EngineId, Fence, Fingerprint, Incarnation, InstanceId, ModelId, Revision},
        manifest::{Edit, ManifestRecord, Role},
        order::Holder,
        plan::Demand,
        poison::Crash,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A message with who sent it to whom.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Who sent it.
    pub from: Holder,
    /// For whom it is; `None` for an instance whose name is not known yet.
    pub to: Option<InstanceId>,
    /// Number of the envelope among the sender's.
    pub number: u64,
    /// What it says.
    pub body: Message,
}

/// What one instance tells another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// "I live": by datagram, answered by one without `reply`.
    Heartbeat(Heartbeat),
    /// Demand seen for the engines of a cell, to its holder.
    Demand(Vec<DemandNote>),
    /// Asks for the manifest if it is newer than `have`.
    Pull {
        /// Revision that the sender has.
        have: Revision,
    },
    /// Answers a pull.
    PullReply(PullReply),
    /// Asks for an acknowledgement that the receiver gives no orders to a cell any more.
    StepDown {
        /// The cell.
        cell: CellId,
        /// The predecessor that is asked.
        holder: Holder,
    },
    /// The receiver of a step-down gives no orders to the cell and has none on the way.
    SteppedDown,
    /// The request can't be answered.
    Refused,
    /// Work of the sender in progress on targets, by datagram.
    InFlight(Vec<InFlightNote>),
    /// Shared parts of prompts that the sender has had read, by datagram.
    PrefixLocations(Vec<PrefixNote>),
    /// The latest changes among the targets, in order, as the sender read them, by datagram.
    Targets(Vec<TargetBatch>),
}

/// Demand for one model's engines in one cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandNote {
    /// The cell.
    pub cell: CellId,
    /// The model.
    pub model: ModelId,
    /// Work that arrives.
    pub demand: Demand,
}

/// Work in progress on one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InFlightNote {
    /// The target.
    pub engine: EngineId,
    /// What the sender has there.
    pub in_flight: InFlight,
}

/// A sign of life with news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// What the sender says of itself.
    pub me: MemberInfo,
    /// Whether an answer is wanted.
    pub reply: bool,
    /// Revision of the manifest in force at the sender.
    pub revision: Revision,
    /// What the sender heard, newest first.
    pub updates: Vec<Update>,
}

/// One thing worth telling everyone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// State of an instance.
    Member {
        /// The instance.
        info: MemberInfo,
        /// Its state.
        state: MemberState,
    },
    /// A request ran on a target as it crashed.
    Crashed {
        /// The request.
        print: Fingerprint,
        /// The crash.
        crash: Crash,
    },
    /// An engine is leaving: no new work.
    Leaving {
        /// The engine.
        engine: EngineId,
        /// Its incarnation.
        boot: Incarnation,
    },
    /// An engine is being emptied for an order: no new work for a while.
    Paused {
        /// The engine.
        engine: EngineId,
        /// Number of the holder's pause; the greatest is the latest.
        number: u64,
        /// Whether it is paused, or in service again.
        on: bool,
        /// Its role since the order was carried out.
        role: Option<Role>,
    },
    /// Who holds a cell.
    CellHolder {
        /// The cell.
        cell: CellId,
        /// Its holder.
        holder: Holder,
        /// Where the holder's mesh listens.
        address: SocketAddr,
        /// The ledger's number at the take-over; the greatest is the latest.
        number: Fence,
    },
}

/// Answer to a pull.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PullReply {
    /// Nothing newer is in force.
    Unchanged,
    /// The edits since the asker's revision, oldest first.
    Edits {
        /// Revision after them.
        revision: Revision,
        /// The edits.
        edits: Vec<Edit>,
    },
    /// The whole record.
    Full {
        /// Its revision.
        revision: Revision,
        /// The record.
        record: Box<ManifestRecord>,
    },
}
