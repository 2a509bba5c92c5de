use {
    super::AuthorityCheck,
    futures_util::future::BoxFuture,
    lentil_core::{
        ids::{Fence, InstanceId, ServiceId, WorkspaceId, Zone},
        usage::WindowId,
    },
    std::collections::BTreeMap,
    thiserror::Error,
};

/// Identifies the holder of a duty in a call to the platform's API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DutyCall {
    /// Instance that holds the duty.
    pub holder: InstanceId,
    /// Fencing number, which increases when the holder changes.
    pub fence: Fence,
}

/// Number of requests of each workspace that began to run in one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: WindowId,
    /// Requests by workspace.
    pub counts: BTreeMap<WorkspaceId, u64>,
}

/// Order for a number of targets of one kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetOrder {
    /// Service of the targets.
    pub service: ServiceId,
    /// Availability zone of the targets.
    pub zone: Zone,
    /// Number of targets of this kind that there shall be.
    pub count: u32,
    /// Whether the order is for targets that may be reclaimed.
    pub spot: bool,
}

/// An error of a call to the platform's API.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ApiError {
    /// This instance no longer holds the duty: nothing was sent.
    #[error("this instance no longer holds the duty")]
    NoAuthority,
    /// The platform has seen a higher fencing number, or has no such targets at the moment.
    #[error("the platform refused the call as conflicting")]
    Conflict,
    /// The platform did not carry out the call.
    #[error("the platform refused the call: {0}")]
    Refused(String),
    /// The call was not sent.
    #[error("the call was not sent: {0}")]
    NotSent(String),
    /// No valid response arrived: the call may be carried out, also later.
    #[error("outcome of the call is unknown: {0}")]
    Unknown(String),
}

/// Client for the platform's API, which is called only by the holder of a duty.
///
/// `authority` is asked right before the call is sent.
pub trait PlatformApi: Send + Sync {
    /// Reports the usage of one window.
    fn report_usage<'a>(
        &'a self,
        call: &'a DutyCall,
        report: &'a UsageReport,
        authority: AuthorityCheck<'a>,
    ) -> BoxFuture<'a, Result<(), ApiError>>;

    /// Orders targets.
    fn order_targets<'a>(
        &'a self,
        call: &'a DutyCall,
        order: &'a TargetOrder,
        authority: AuthorityCheck<'a>,
    ) -> BoxFuture<'a, Result<(), ApiError>>;
}
