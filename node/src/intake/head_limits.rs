use {
    crate::http::{HeadLimitSource, HeadLimits},
    lentil_core::routes::CallerLimits,
    std::sync::{PoisonError, RwLock},
};

/// Limits on callers' heads as the active routes set them.
#[derive(Debug, Default)]
pub struct CurrentHeadLimits(RwLock<HeadLimits>);

impl CurrentHeadLimits {
    /// Replaces the limits.
    pub fn set(&self, limits: &CallerLimits) {
        let limits = HeadLimits {
            size: limits.head.0 as usize,
            time: limits.head_timeout.duration(),
            idle: limits.idle_timeout.duration(),
        };
        *self.0.write().unwrap_or_else(PoisonError::into_inner) = limits;
    }
}

impl HeadLimitSource for CurrentHeadLimits {
    fn head_limits(&self) -> HeadLimits {
        *self.0.read().unwrap_or_else(PoisonError::into_inner)
    }
}
