use {crate::ids::EngineId, smallvec::SmallVec};

/// Returns the engines on which an instance runs its suspects: the part of `engines` that falls to
/// `rank`, its rank among `count` instances.
///
/// The parts of different ranks are disjoint if all instances pass the same `engines`. Only state
/// that the instances share may therefore decide which engines these are, and not what one of them
/// sees of an engine, such as its circuit breaker.
///
/// ```
/// use lentil_core::{ids::EngineId, poison::isolation_part};
///
/// let engines: Vec<EngineId> = ["a", "b", "c"].map(|e| e.parse().unwrap()).into();
/// let part = isolation_part(engines.iter(), 1, 2);
/// assert_eq!(part[..], ["b".parse().unwrap()]);
/// ```
pub fn isolation_part<'a>(
    engines: impl Iterator<Item = &'a EngineId>,
    rank: usize,
    count: usize,
) -> SmallVec<[EngineId; 8]> {
    let mut all: Vec<&EngineId> = engines.collect();
    all.sort_unstable();
    all.into_iter().skip(rank).step_by(count.max(1)).cloned().collect()
}
