use {
    super::DecayingUse,
    crate::{
        clock::Time,
        error::{ErrorKind, Fault},
        ids::{InstanceId, ModelId, Rank, WorkspaceId},
    },
    std::{collections::HashMap, time::Duration},
};

/// Queueing time, as a share of the time to first token, from which shares are enforced. Requests
/// are refused for the length of the queue from 0.7 on, so that workspaces within their shares still
/// find room between the two.
const CONTENDED_WAIT_SHARE: f64 = 0.25;
/// Queueing time, as the same share, at which [`MIN_OVER_USE`] applies.
const FULL_WAIT_SHARE: f64 = 0.6;
/// Use that is tolerated when contention begins, as a factor of the fair share: the largest
/// workspaces are refused first.
const MAX_OVER_USE: f64 = 4.0;
/// The same when the queue is about as long as it may be.
const MIN_OVER_USE: f64 = 1.25;
/// Share of its requests that a workspace is served, relative to that of the other workspaces at this
/// instance, below which it is not refused for its use.
const MIN_SERVED_SHARE: f64 = 0.8;
/// Time after which a report of another instance no longer counts. Each instance reports to a few
/// others in turn: with 75 instances, each hears from each one every 37 s.
const REPORT_EXPIRY: Duration = Duration::from_secs(60);
/// Age at which a report counts half as much as a new one.
const REPORT_HALF_LIFE_S: f64 = 15.0;
/// Time for which the sums over all instances are kept.
const SUM_AGE: Duration = Duration::from_millis(200);
/// Time from the first request of a service until its ranks are known and shares are enforced.
const RANK_LEARNING: Duration = Duration::from_secs(2);
/// Time after the latest request of a rank for which the rank counts as requested.
const RANK_MEMORY: Duration = Duration::from_secs(10);
/// Most instances whose reports are kept.
const MAX_REPORTS: usize = 256;
/// Number of workspaces in a report.
pub const REPORTED_WORKSPACES: usize = 16;
/// Use below which a workspace does not compete for the targets, in engine seconds.
const MIN_USE_S: f64 = 1e-4;
/// Shortest and longest retry delay sent with a refusal.
const RETRY_DELAYS: [Duration; 2] = [Duration::from_millis(100), Duration::from_secs(5)];

/// Use of the workspaces at one instance, those with the most use.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct UseReport {
    /// Workspaces with their use in engine seconds.
    pub entries: Vec<(WorkspaceId, f64)>,
    /// Use of all workspaces, in engine seconds.
    pub total: f64,
}

/// Properties of a request on which its share depends.
#[derive(Debug, Clone, Copy)]
pub struct ShareRequest<'a> {
    /// Workspace that sends the request.
    pub workspace: &'a WorkspaceId,
    /// Service that would run it.
    pub service: &'a ModelId,
    /// Rank of its class, before any demotion.
    pub rank: Rank,
    /// Objective for the time to first token.
    pub first: Duration,
    /// Expected queueing time.
    pub wait: Duration,
}

/// Decaying numbers of requests that arrived and were admitted.
#[derive(Debug, Clone, Copy, Default)]
struct Served {
    offered: DecayingUse,
    admitted: DecayingUse,
}

impl Served {
    /// Returns the share of requests that was admitted, without those counted in `part`; 1 if there
    /// are none.
    fn share_without(&self, part: &Self, now: Time) -> f64 {
        let offered = self.offered.at(now) - part.offered.at(now);
        let admitted = self.admitted.at(now) - part.admitted.at(now);
        // Differences of nearly equal sums are rounding errors.
        if offered > 1e-6 {
            (admitted / offered).clamp(0.0, 1.0)
        } else {
            1.0
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct LocalUse {
    cost: DecayingUse,
    served: Served,
}

/// Least urgent rank that was requested of a service lately.
#[derive(Debug, Clone, Copy)]
struct ServiceRanks {
    least_urgent: Rank,
    latest: Time,
    /// First request of the service.
    since: Time,
}

#[derive(Debug, Clone)]
struct PeerReport {
    report: UseReport,
    at: Time,
}

/// Estimated use over all instances.
#[derive(Debug, Clone, Default)]
struct Sums {
    at: Option<Time>,
    workspaces: HashMap<WorkspaceId, f64>,
    total: f64,
}

/// Use of the targets by workspaces over all instances, as one instance estimates it, and the
/// decision which workspaces are refused while requests queue.
///
/// The instance knows its own use exactly. Use at the others is the mean of their reports, the latest
/// counting most, times the number of other instances; lost reports only make it less accurate.
#[derive(Debug, Clone, Default)]
pub struct FleetShares {
    own: HashMap<WorkspaceId, LocalUse>,
    all: Served,
    peers: HashMap<InstanceId, PeerReport>,
    /// Number of instances, this one included.
    instances: u32,
    sums: Sums,
    /// Ranks of the requests that arrive, by service.
    ranks: HashMap<ModelId, ServiceRanks>,
}

impl FleetShares {
    /// Sets the number of instances, this one included.
    pub fn set_instances(&mut self, instances: u32) {
        self.instances = instances;
    }

    /// Records another instance's report, which replaces its earlier ones.
    pub fn record_report(&mut self, from: InstanceId, report: UseReport, now: Time) {
        self.peers.retain(|_, peer| now - peer.at < REPORT_EXPIRY);
        if self.peers.len() >= MAX_REPORTS && !self.peers.contains_key(&from) {
            let oldest = self.peers.iter().min_by_key(|(_, p)| p.at).map(|(id, _)| id.clone());
            oldest.map(|id| self.peers.remove(&id));
        }
        self.peers.insert(from, PeerReport { report, at: now });
    }

    /// Returns this instance's report.
    pub fn report(&self, now: Time) -> UseReport {
        let used = self.own.iter().map(|(id, own)| (id, own.cost.at(now)));
        let mut used: Vec<_> = used.filter(|(_, cost)| *cost > MIN_USE_S).collect();
        let total = used.iter().map(|(_, cost)| cost).sum();
        used.sort_by(|a, b| b.1.total_cmp(&a.1));
        used.truncate(REPORTED_WORKSPACES);
        UseReport { entries: used.into_iter().map(|(id, c)| (id.clone(), c)).collect(), total }
    }

    /// Records the arrival of a request, and decides whether it may be served as far as the shares of
    /// the workspaces are concerned.
    ///
    /// While requests queue, a workspace is refused if its use is a multiple of its fair share; the
    /// longer the queue, the smaller the multiple. It is not refused if it is served less often than
    /// others, or if less urgent requests of the service arrive.
    ///
    /// # Errors
    /// [`ErrorKind::OverShare`] with the time after which to retry.
    pub fn admit(&mut self, request: &ShareRequest, now: Time) -> Result<(), Fault> {
        self.record_arrival(request, now);
        let contention = request.wait.as_secs_f64() / request.first.as_secs_f64().max(1e-3);
        if contention <= CONTENDED_WAIT_SHARE || self.gets_less_urgent(request, now) {
            return Ok(());
        }
        let own = self.own.get(request.workspace).map(|own| own.served).unwrap_or_default();
        let others = self.all.share_without(&own, now);
        if own.share_without(&Served::default(), now) < MIN_SERVED_SHARE * others {
            return Ok(());
        }
        self.refresh_sums(now);
        let used = self.sums.workspaces.get(request.workspace).copied().unwrap_or(0.0);
        let fair = self.sums.total / self.sums.workspaces.len().max(1) as f64;
        let span = (contention - CONTENDED_WAIT_SHARE) / (FULL_WAIT_SHARE - CONTENDED_WAIT_SHARE);
        let limit = fair * (MAX_OVER_USE + (MIN_OVER_USE - MAX_OVER_USE) * span.min(1.0));
        if self.sums.workspaces.len() < 2 || used <= limit {
            return Ok(());
        }
        // Until the queue is short enough or, if that comes first, the use has decayed.
        let drained = request.wait.saturating_sub(request.first.mul_f64(CONTENDED_WAIT_SHARE));
        let decayed = DecayingUse::time_to_decay(used, limit);
        let [shortest, longest] = RETRY_DELAYS;
        let retry = drained.min(decayed).clamp(shortest, longest);
        let text = format!("workspace {:?} is over its share", request.workspace.as_str());
        Err(Fault::new(ErrorKind::OverShare, text).with_retry(retry))
    }

    /// Charges an admitted request to its workspace; `cost` is in engine seconds.
    pub fn record_admission(&mut self, request: &ShareRequest, cost: f64, now: Time) {
        let own = self.own.entry(request.workspace.clone()).or_default();
        own.cost.add(cost, now);
        own.served.admitted.add(1.0, now);
        self.all.admitted.add(1.0, now);
    }

    fn record_arrival(&mut self, request: &ShareRequest, now: Time) {
        let workspace = request.workspace;
        let rank = request.rank;
        if !self.ranks.contains_key(request.service) {
            let ranks = ServiceRanks { least_urgent: rank, latest: now, since: now };
            self.ranks.insert(request.service.clone(), ranks);
        }
        if let Some(ranks) = self.ranks.get_mut(request.service) {
            if rank >= ranks.least_urgent || now - ranks.latest > RANK_MEMORY {
                (ranks.least_urgent, ranks.latest) = (rank, now);
            }
        }
        if !self.own.contains_key(workspace) && self.own.len() >= super::MAX_TRACKED_WORKSPACES {
            self.own.retain(|_, own| own.cost.at(now) > MIN_USE_S);
        }
        self.own.entry(workspace.clone()).or_default().served.offered.add(1.0, now);
        self.all.offered.add(1.0, now);
    }

    /// Returns whether less urgent requests of the service have arrived lately, or may have.
    fn gets_less_urgent(&self, request: &ShareRequest, now: Time) -> bool {
        let Some(ranks) = self.ranks.get(request.service) else { return true };
        let learning = now - ranks.since < RANK_LEARNING;
        learning || ranks.least_urgent > request.rank && now - ranks.latest <= RANK_MEMORY
    }

    /// Adds up the use over all instances, unless that was done just before.
    fn refresh_sums(&mut self, now: Time) {
        if self.sums.at.is_some_and(|at| now - at < SUM_AGE) {
            return;
        }
        let mut sums = Sums { at: Some(now), ..Sums::default() };
        let weight = |at: Time| (-(now - at).as_secs_f64() / REPORT_HALF_LIFE_S).exp2();
        let peers = self.peers.values().filter(|p| now - p.at < REPORT_EXPIRY);
        let weights: f64 = peers.clone().map(|p| weight(p.at)).sum();
        let others = f64::from(self.instances.saturating_sub(1));
        for peer in peers {
            let factor = others * weight(peer.at) / weights;
            sums.total += peer.report.total * factor;
            for (id, used) in &peer.report.entries {
                *sums.workspaces.entry(id.clone()).or_default() += used * factor;
            }
        }
        for (id, own) in &self.own {
            let used = own.cost.at(now);
            if used > MIN_USE_S {
                sums.total += used;
                *sums.workspaces.entry(id.clone()).or_default() += used;
            }
        }
        self.sums = sums;
    }
}
