use prost::{Message, Oneof};

/// Message of version 2 between two instances.
///
/// Fields and variants are identified by their tags. A tag is never used again with another meaning
/// or type. A build skips fields that it doesn't know and counts messages that it doesn't know.
#[derive(Clone, PartialEq, Oneof)]
pub enum Extension {
    /// Use of the workspaces at the sender.
    #[prost(message, tag = "1")]
    WorkspaceUse(WorkspaceUse),
    /// Requests of the workspaces that began to run, by window.
    #[prost(message, tag = "2")]
    UsageCounts(UsageCounts),
    /// Momentary pace of targets.
    #[prost(message, tag = "3")]
    TargetPace(TargetPace),
    /// Asks for the version of the receiver's routes.
    #[prost(message, tag = "4")]
    RoutesQuery(RoutesQuery),
    /// Version of the sender's routes.
    #[prost(message, tag = "5")]
    RoutesState(RoutesState),
    /// Requests that were blamed for crashes, and which targets have answered.
    #[prost(message, tag = "6")]
    ClearedRequests(ClearedRequests),
    /// Asks whether the receiver reaches a target.
    #[prost(message, tag = "7")]
    TargetCheck(TargetCheck),
    /// Answer to a [`TargetCheck`].
    #[prost(message, tag = "8")]
    TargetState(TargetState),
    /// Asks the receiver for the next trial of quarantined requests and parts.
    #[prost(message, tag = "9")]
    TrialRequest(TrialRequest),
    /// Answer to a [`TrialRequest`].
    #[prost(message, tag = "10")]
    TrialReply(TrialReply),
}

impl Extension {
    /// Returns the label under which the metrics count the message.
    pub fn label(&self) -> &'static str {
        match self {
            Self::WorkspaceUse(_) => "workspace_use",
            Self::UsageCounts(_) => "usage_counts",
            Self::TargetPace(_) => "target_pace",
            Self::RoutesQuery(_) => "routes_query",
            Self::RoutesState(_) => "routes_state",
            Self::ClearedRequests(_) => "cleared_requests",
            Self::TargetCheck(_) => "target_check",
            Self::TargetState(_) => "target_state",
            Self::TrialRequest(_) => "trial_request",
            Self::TrialReply(_) => "trial_reply",
        }
    }
}

/// Use of the workspaces at the sender, those with the most use.
#[derive(Clone, PartialEq, Message)]
pub struct WorkspaceUse {
    /// The workspaces, in any order.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<WorkspaceEntry>,
    /// Use of all workspaces at the sender, in engine seconds.
    #[prost(double, tag = "2")]
    pub total: f64,
}

/// Use of one workspace at one instance.
#[derive(Clone, PartialEq, Message)]
pub struct WorkspaceEntry {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Use in engine seconds.
    #[prost(double, tag = "2")]
    pub used: f64,
    /// Share of the workspace.
    #[prost(double, tag = "3")]
    pub share: f64,
}

/// Cumulative counts of the sender's incarnation, for the holder of the duty of usage reports; or,
/// with `holder`, the holder's announcement, without counts.
#[derive(Clone, PartialEq, Message)]
pub struct UsageCounts {
    /// The sender's estimate of true time at sending, in milliseconds since the start of 1970; 0 if
    /// it has not been compared with others.
    #[prost(uint64, tag = "1")]
    pub sent_ms: u64,
    /// The windows, in any order.
    #[prost(message, repeated, tag = "2")]
    pub windows: Vec<WindowCounts>,
    /// Number of this part, from 0.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// Number of parts into which the message was split.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// Fencing number of the sender, if it holds the duty.
    #[prost(uint64, optional, tag = "5")]
    pub holder: Option<u64>,
    /// First window whose report the sender has not fixed, if it holds the duty.
    #[prost(uint64, optional, tag = "6")]
    pub next: Option<u64>,
}

/// Counts of one window at one instance.
#[derive(Clone, PartialEq, Message)]
pub struct WindowCounts {
    /// Id of the window.
    #[prost(uint64, tag = "1")]
    pub window: u64,
    /// The workspaces with requests in the window, in any order.
    #[prost(message, repeated, tag = "2")]
    pub counts: Vec<WorkspaceCount>,
}

/// Requests of one workspace in one window at one instance.
#[derive(Clone, PartialEq, Message)]
pub struct WorkspaceCount {
    /// Name of the workspace.
    #[prost(string, tag = "1")]
    pub workspace: String,
    /// Requests that began to run in the window so far.
    #[prost(uint64, tag = "2")]
    pub count: u64,
}

/// Pace of targets as the sender knows it.
#[derive(Clone, PartialEq, Message)]
pub struct TargetPace {
    /// The targets, in any order.
    #[prost(message, repeated, tag = "1")]
    pub entries: Vec<PaceEntry>,
}

/// Pace of one target.
#[derive(Clone, PartialEq, Message)]
pub struct PaceEntry {
    /// Id of the target.
    #[prost(string, tag = "1")]
    pub target: String,
    /// How long work takes there, in percent of the normal time.
    #[prost(uint32, tag = "2")]
    pub pace: u32,
    /// Age of the figure at sending, in milliseconds.
    #[prost(uint32, tag = "3")]
    pub age_ms: u32,
}

/// Asks for the version of the receiver's routes.
#[derive(Clone, PartialEq, Message)]
pub struct RoutesQuery {
    /// Number of the question in the sender's incarnation, from 1.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Version of the sender's routes.
#[derive(Clone, PartialEq, Message)]
pub struct RoutesState {
    /// Number of the question that this answers; 0 if the sender was not asked.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Version of the routes; 0 if there are none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Time in milliseconds since they were known to be the current ones; absent if they never were.
    #[prost(uint64, optional, tag = "3")]
    pub age_ms: Option<u64>,
}

/// Requests that were blamed for crashes of targets, and which targets have answered completely.
#[derive(Clone, PartialEq, Message)]
pub struct ClearedRequests {
    /// Fingerprints of the requests, in any order.
    #[prost(fixed64, repeated, tag = "1")]
    pub requests: Vec<u64>,
}

/// Asks whether the receiver reaches an incarnation of a target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetCheck {
    /// Number of the question in the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Id of the target.
    #[prost(string, tag = "2")]
    pub target: String,
    /// The incarnation.
    #[prost(uint64, tag = "3")]
    pub boot: u64,
}

/// Whether the sender reaches an incarnation of a target.
#[derive(Clone, PartialEq, Message)]
pub struct TargetState {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the incarnation has just answered the sender.
    #[prost(bool, tag = "2")]
    pub alive: bool,
}

/// Asks for the next trial of quarantined requests and parts, for one request that has them all.
#[derive(Clone, PartialEq, Message)]
pub struct TrialRequest {
    /// Number of the question in the sender's incarnation.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Fingerprints of the requests.
    #[prost(fixed64, repeated, tag = "2")]
    pub requests: Vec<u64>,
    /// Hashes of the parts.
    #[prost(fixed64, repeated, tag = "3")]
    pub parts: Vec<u64>,
}

/// Whether the receiver may try the request.
#[derive(Clone, PartialEq, Message)]
pub struct TrialReply {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the trial was granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}
