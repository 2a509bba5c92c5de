//! State of the engines as one instance knows it: load, prefix caches and work in flight.

mod availability;
mod cache;
mod engine;
mod held_prefixes;
mod in_flight;
mod kv_cache;
mod kv_caches;
mod load;
mod missing_targets;
mod prefix;
mod prefix_locations;
mod queued_tokens;
mod registration;
mod running_mean;
mod software_history;
mod software_record;
mod target_notices;
mod target_pace;
mod target_speed;

pub use {
    availability::*, cache::*, engine::*, held_prefixes::*, in_flight::*, kv_cache::*,
    kv_caches::*, load::*, missing_targets::*, prefix::*, prefix_locations::*, queued_tokens::*,
    registration::*, running_mean::*, software_history::*, software_record::*, target_notices::*,
    target_pace::*, target_speed::*,
};

#[cfg(test)]
mod tests;
