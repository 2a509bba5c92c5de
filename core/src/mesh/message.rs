use {
    super::{MemberInfo, MemberState},
    crate::{
        fleet::{InFlight, PrefixNote, TargetBatch},
        ids::{
            CellId, EngineId, Fence, Fingerprint, Incarnation, InstanceId, Millis, ModelId,
            PrefixHash, RequestRate, Revision,
        },
        limit::Permit,
        manifest::{Edit, ManifestRecord, Role},
        order::Holder,
        plan::Demand,
        poison::{Crash, QuarantineDigest, Subject},
        route::RoutingRequest,
        routes::Route,
        stream::{OriginAnswer, StreamKey, StreamOrigin},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// Sending instance and its incarnation.
    pub from: Holder,
    /// Receiving instance; `None` if its name is not known yet.
    pub to: Option<InstanceId>,
    /// Sequence number of the envelope in the sender's incarnation, for the replay window.
    pub number: u64,
    /// The message.
    pub body: Message,
}

/// Message between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Heartbeat, by datagram; one with `reply` set is answered by one without.
    Heartbeat(Heartbeat),
    /// Demand for engines of cells, to the holder of those cells.
    Demand(Vec<DemandNote>),
    /// Requests the manifest if the receiver's is newer than `have`.
    Pull {
        /// Revision of the sender's manifest.
        have: Revision,
    },
    /// Reply to [`Message::Pull`].
    PullReply(PullReply),
    /// Requests confirmation that the receiver no longer sends orders to a cell.
    StepDown {
        /// Cell that the sender takes over.
        cell: CellId,
        /// Previous holder, to which this is sent.
        holder: Holder,
    },
    /// Reply to [`Message::StepDown`]: the previous holder sends no more orders to the cell and has
    /// none in flight.
    SteppedDown,
    /// Reply to a request that can't be answered.
    Refused,
    /// Work that the sender has in flight on targets, by datagram.
    InFlight(Vec<InFlightNote>),
    /// Locations of shared prompt prefixes that the sender recorded, by datagram.
    PrefixLocations(Vec<PrefixNote>),
    /// Latest changes to the platform's directory of targets, in the order in which the sender read
    /// them, by datagram.
    Targets(Vec<TargetBatch>),
    /// Crashes of targets while they ran requests, by datagram to all members as soon as one is
    /// found, and as the reply to [`Message::PullQuarantine`].
    Crashes(Vec<CrashNote>),
    /// Digest of the requests in the sender's quarantine, by datagram after each heartbeat.
    QuarantineDigest(QuarantineDigest),
    /// Requests the crashes by which requests and parts are in the receiver's quarantine.
    PullQuarantine,
    /// Changes of the rate limits that targets announce, by datagram to all members.
    Limits(Vec<LimitNote>),
    /// Origins of streams that the receiver keeps for others, by datagram.
    StreamOrigins(Vec<StreamNote>),
    /// A question that the receiver answers with [`Message::Reply`], both by datagram.
    Question {
        /// Number of the question in the sender's incarnation.
        number: u64,
        /// The question.
        question: Question,
    },
    /// Answer to a [`Message::Question`].
    Reply {
        /// Number of the question.
        number: u64,
        /// The answer.
        reply: Reply,
    },
    /// Parts that were blamed for crashes, and on which targets have completed answers, by datagram.
    ClearedParts(Vec<PrefixHash>),
    /// Head of a request that the receiver serves for the sender's caller, by a connection of its own
    /// kind; the body follows.
    Relayed(Box<RelayedRequest>),
}

/// A caller's request that another instance relays, since it reaches no target of the service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayedRequest {
    /// Id that the caller gave this attempt.
    pub id: String,
    /// HTTP method.
    pub method: String,
    /// Path and query string.
    pub path: String,
    /// Headers, without those that concern one connection only.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Hash of path and body, by which the receiver sees that they are unchanged.
    pub checksum: Fingerprint,
    /// Route by which the sender serves the request.
    pub route: Route,
    /// Version of the sender's routes.
    pub version: Revision,
    /// Service, prompt and objectives.
    pub routing: RoutingRequest,
    /// Maximum number of output tokens.
    pub max: u32,
    /// Time since the request arrived at the sender.
    pub waited: Millis,
    /// Time until the caller's deadline.
    pub remaining: Millis,
    /// Times that it was sent to targets so far.
    pub sends: u32,
    /// Last event that the caller has, if it is to go on after that one.
    pub last_event: Option<u64>,
    /// Id of the request that brought the caller the stream's first event, if it resumes one.
    pub resumes: Option<String>,
}

/// An instance's statement that it reaches a service and relays requests for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayOffer {
    /// Address at which it takes relayed requests.
    pub address: SocketAddr,
    /// Number of the service's targets that it reaches.
    pub targets: u32,
}

/// Rate limit that a target has begun to announce, has changed or has ended.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNote {
    /// The target.
    pub engine: EngineId,
    /// Its incarnation.
    pub boot: Incarnation,
    /// The limit; `None` if the target has ended it.
    pub rate: Option<RequestRate>,
    /// Time since the request was sent whose answer showed this.
    pub age: Millis,
}

/// Origin of a stream, to be kept in case its caller resumes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StreamNote {
    /// The stream.
    pub stream: StreamKey,
    /// What began it.
    pub origin: StreamOrigin,
    /// Time since it began or was last continued.
    pub age: Millis,
}

/// Question to one other instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Question {
    /// Requests a permit.
    Permit(PermitRequest),
    /// Requests what the receiver knows about the origin of a stream.
    StreamOrigin {
        /// The stream.
        stream: StreamKey,
        /// Service in which it is to go on.
        service: ModelId,
    },
    /// Requests whether the receiver reaches the targets of a service.
    Reach(ModelId),
}

/// Request for a permit for one request to a target that announces a rate limit.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The target.
    pub engine: EngineId,
    /// Its incarnation.
    pub boot: Incarnation,
    /// The limit that the sender knows.
    pub rate: RequestRate,
    /// Longest time that the sender waits before it sends the request.
    pub wait: Duration,
}

/// Answer to a [`Question`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The permit, or the time until there is one.
    Permit(Permit),
    /// By the receiver's view this instance holds the target's schedule.
    AskInstead(InstanceId, SocketAddr),
    /// What the receiver knows about a stream's origin.
    StreamOrigin(OriginAnswer),
    /// The receiver cannot answer the question.
    Unknown,
    /// The receiver reaches the service.
    Reach(RelayOffer),
}

/// A crash of a target while it ran a request, or one with a part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNote {
    /// The request or part.
    pub subject: Subject,
    /// Target that crashed, with its incarnation.
    pub crash: Crash,
    /// Time since the crash; zero in the first report of it.
    pub age: Millis,
}

/// Demand that the sender measures for one model's engines in one cell.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DemandNote {
    /// Cell of the engines.
    pub cell: CellId,
    /// Model that the engines serve.
    pub model: ModelId,
    /// Work that arrives per second.
    pub demand: Demand,
}

/// Work that the sender has in flight on one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct InFlightNote {
    /// Target to which the work was sent.
    pub engine: EngineId,
    /// The sender's unfinished work.
    pub in_flight: InFlight,
}

/// Heartbeat that carries gossip.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's announcement of itself.
    pub me: MemberInfo,
    /// True if the sender requests a heartbeat in reply.
    pub reply: bool,
    /// Revision of the manifest in force at the sender.
    pub revision: Revision,
    /// Updates that the sender gossips, those sent least often first.
    pub updates: Vec<Update>,
}

/// Update that gossip spreads to all instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// An instance's state in the failure detector.
    Member {
        /// The instance's announcement.
        info: MemberInfo,
        /// The instance's state.
        state: MemberState,
    },
    /// A target crashed while it ran a request.
    Crashed {
        /// The request, or a part of its prompt.
        subject: Subject,
        /// Target that crashed, with its incarnation.
        crash: Crash,
    },
    /// An engine is leaving and gets no new work.
    Leaving {
        /// Engine that leaves.
        engine: EngineId,
        /// Incarnation of the engine's process.
        boot: Incarnation,
    },
    /// An engine is drained before an order, or is in service again after it.
    Paused {
        /// Engine that the order is for.
        engine: EngineId,
        /// Number of the pause; the greatest one is the latest.
        number: u64,
        /// True while the engine is drained, false once it is in service again.
        paused: bool,
        /// The engine's role after the order was carried out.
        role: Option<Role>,
    },
    /// A cell has a new holder.
    CellHolder {
        /// Cell that was taken over.
        cell: CellId,
        /// Holder of the cell.
        holder: Holder,
        /// Address of the holder's mesh listener.
        address: SocketAddr,
        /// Fencing number of the ledger at the take-over; the greatest one is the latest.
        number: Fence,
    },
}

/// Reply to a request for the manifest.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PullReply {
    /// The sender of the request has the latest manifest.
    Unchanged,
    /// The edits since the revision in the request.
    Edits {
        /// Revision after the edits.
        revision: Revision,
        /// The edits, oldest first.
        edits: Vec<Edit>,
    },
    /// The complete manifest record.
    Full {
        /// Revision of the record.
        revision: Revision,
        /// The manifest with its recent edits.
        record: Box<ManifestRecord>,
    },
}
