use {
    lentil_core::error::{ErrorKind, Fault},
    thiserror::Error,
};

/// Why a request's body is not read to its end.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum IntakeError {
    /// The body is larger than the limit.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// There is no memory for it.
    #[error("there is no memory for the body of the request")]
    Full,
    /// It has stalled.
    #[error("the body was not received in time")]
    Stalled,
    /// It has stalled and the instance is stopping.
    #[error("this instance is stopping")]
    Stopping,
    /// The connection failed, or the body is malformed.
    #[error("body can't be read: {0}")]
    Failed(String),
}

impl From<IntakeError> for Fault {
    fn from(error: IntakeError) -> Self {
        let kind = match error {
            IntakeError::TooLarge(_) => ErrorKind::TooLarge,
            IntakeError::Full => ErrorKind::NoCapacity,
            IntakeError::Stalled => ErrorKind::BodyTimeout,
            IntakeError::Stopping => ErrorKind::Stopping,
            IntakeError::Failed(_) => ErrorKind::BadRequest,
        };
        Self::new(kind, error.to_string())
    }
}
