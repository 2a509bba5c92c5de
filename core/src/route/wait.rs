use std::fmt;

/// What a request mainly waits for at the engines chosen for it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Wait {
    /// The prefill of prompts that were sent before.
    #[default]
    Prefill,
    /// A free decode slot.
    DecodeSlot,
    /// A permit of an engine's rate limit.
    Permit,
}

impl fmt::Display for Wait {
    /// Formats the wait for the reason of a refusal.
    ///
    /// ```
    /// assert_eq!(lentil_core::route::Wait::DecodeSlot.to_string(), "a decode slot");
    /// ```
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Prefill => "the prefill of earlier prompts",
            Self::DecodeSlot => "a decode slot",
            Self::Permit => "a permit",
        })
    }
}
