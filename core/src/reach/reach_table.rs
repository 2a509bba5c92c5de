use {
    super::{DueCheck, ServiceReach},
    crate::{clock::Time, ids::ModelId},
    std::collections::HashMap,
};

/// Whether this instance reaches its services.
#[derive(Debug, Clone, Default)]
pub struct ReachTable(HashMap<ModelId, ServiceReach>);

impl ReachTable {
    /// Returns the state of one service.
    pub fn of(&mut self, service: &ModelId) -> &mut ServiceReach {
        // Most calls are about a known service, which needs no copy of its name.
        if !self.0.contains_key(service) {
            self.0.insert(service.clone(), ServiceReach::default());
        }
        self.0.get_mut(service).expect("it was inserted")
    }

    /// Returns whether the instance is cut off from a service.
    ///
    /// ```
    /// use lentil_core::{clock::Time, reach::{ReachCheck, ReachTable}};
    ///
    /// let service = "s".parse()?;
    /// let mut table = ReachTable::default();
    /// let check = ReachCheck { asked: 4, answered: 0, others: 4, alone: false };
    /// table.of(&service).record_check(&check, Time::ZERO);
    /// assert!(table.is_cut_off(&service));
    /// # Ok::<(), lentil_core::ids::NameError>(())
    /// ```
    pub fn is_cut_off(&self, service: &ModelId) -> bool {
        self.0.get(service).is_some_and(ServiceReach::is_cut_off)
    }

    /// Returns the number of services from which the instance is cut off.
    pub fn count_cut_off(&self) -> usize {
        self.0.values().filter(|s| s.is_cut_off()).count()
    }

    /// Returns the checks that are due, which count as begun then.
    pub fn take_due_checks(&mut self, now: Time) -> Vec<(ModelId, DueCheck)> {
        let due = |(id, service): (&ModelId, &mut ServiceReach)| {
            Some((id.clone(), service.take_due_check(now)?))
        };
        self.0.iter_mut().filter_map(due).collect()
    }
}
