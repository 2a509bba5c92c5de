//! Prometheus metrics of an instance.

mod intake;

pub use intake::*;

use {
    lentil_core::ids::{EngineId, WorkspaceId},
    prometheus::{
        Encoder, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
        Opts, Registry, TextEncoder,
    },
    std::{
        collections::BTreeSet,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
};

/// Histogram bucket bounds in seconds; they include the latency objectives of 0.078 s and 0.48 s.
const LATENCY_BUCKETS_S: [f64; 12] =
    [0.005, 0.02, 0.05, 0.078, 0.12, 0.24, 0.48, 1.0, 2.0, 5.0, 15.0, 60.0];

/// Metrics of one instance; docs/INTERFACES.md lists them by their exported names.
pub struct Metrics {
    registry: Registry,
    /// Finished requests by service, class and end.
    pub requests: IntCounterVec,
    /// Finished requests by service, class and whether they met the objectives of their class; the
    /// label `spent` says what was missed: an objective, the status, or the error kind.
    pub objectives: IntCounterVec,
    /// Time to first token by class.
    pub first_token: HistogramVec,
    /// Mean time between tokens by class.
    pub token_gap: HistogramVec,
    /// Requests sent to a target again.
    pub retries: IntCounter,
    /// Orders to engines by result.
    pub orders: IntCounterVec,
    /// Completed role changes.
    pub role_changes: IntCounter,
    /// Engines that get no orders until the outcome of an earlier order is certain.
    pub frozen_engines: IntGauge,
    /// Engines by role, as known to this instance.
    pub roles: IntGaugeVec,
    /// Requests that other instances served for this one, by instance and end.
    relayed: IntCounterVec,
    /// Requests that this instance served for others, by end.
    pub relays_served: IntCounterVec,
    /// Services from which this instance is cut off.
    pub cut_services: IntGauge,
    /// Engines by service, role and availability, as known to this instance.
    pub service_engines: IntGaugeVec,
    /// Refused mesh frames by reason and version.
    pub refused_frames: IntCounterVec,
    /// Messages of protocol version 2 by message and what became of them.
    extensions: IntCounterVec,
    /// Bytes sent to other instances over the mesh.
    pub sent_bytes: IntCounter,
    /// Calls to the key-value service by kind.
    pub store_calls: IntCounterVec,
    /// Claims of run-once requests by result.
    pub claims: IntCounterVec,
    /// Revision of the active manifest, or version of the active routes.
    pub revision: IntGauge,
    /// Request fingerprints that crashed targets.
    pub suspects: IntGauge,
    /// Requests and parts of prompts in quarantine.
    pub quarantined: IntGauge,
    /// Parts of prompts in quarantine.
    pub quarantined_parts: IntGauge,
    /// Investigations of targets that lost an answer, by verdict.
    pub crash_checks: IntCounterVec,
    /// Updates for other instances that were dropped because too many were waiting.
    pub dropped_updates: IntGauge,
    /// Targets registered in the directory.
    pub known_targets: IntGauge,
    /// Targets with an open circuit breaker, which get no requests.
    pub ejected_targets: IntGauge,
    /// Targets that announce a rate limit.
    pub limited_targets: IntGauge,
    /// Requests for permits to send to limited targets, by result.
    pub permits: IntCounterVec,
    /// Sends that were not made because a rule forbade them when the connection was ready.
    pub denied_sends: IntCounterVec,
    /// Targets that this instance knows to be leaving.
    pub leaving_targets: IntGauge,
    /// Targets that want no requests from this instance for a time.
    pub held_targets: IntGauge,
    /// Milliseconds since this instance last read the directory or got its changes relayed.
    pub directory_age: IntGauge,
    /// Milliseconds since the routes were known to be the current ones; -1 if they never were.
    pub routes_age: IntGauge,
    /// Watches of the routes that were given up, by reason.
    pub abandoned_watches: IntCounterVec,
    /// Other instances that the failure detector considers alive.
    pub members: IntGauge,
    /// Attempts by target and end; targets beyond [`MAX_LABELLED_TARGETS`] share one label.
    attempts: IntCounterVec,
    /// Expected queueing time at admission by class.
    pub queue_wait: HistogramVec,
    /// Streams resumed on another target from the last event sent.
    pub resumes: IntCounter,
    /// Streams that callers resume, by how the software version that began them was found.
    pub stream_origins: IntCounterVec,
    /// Requests demoted behind those that can still meet their objective, by class.
    pub late_requests: IntCounterVec,
    /// Calls to the platform's store by kind and result.
    pub platform_calls: IntCounterVec,
    /// Cells whose lease this instance holds.
    pub held_cells: IntGauge,
    /// Calls that report usage, by result; `given_up` counts reports that were never accepted.
    pub usage_reports: IntCounterVec,
    /// Requests that are in no usage report, by reason.
    pub usage_lost: IntCounterVec,
    /// Whether this instance reports the usage.
    pub usage_holder: IntGauge,
    /// Clocks found wrong: `wall` is a wall clock that differs from true time, `estimate` an
    /// estimate of true time that was corrected.
    pub wrong_clocks: IntCounterVec,
    /// Targets of services that are scaled by demand, by service, zone, kind and whether they are
    /// ordered or registered; set by the holder of the service's cell.
    pub scaled_targets: IntGaugeVec,
    /// Orders for targets by result.
    pub scaling_orders: IntCounterVec,
    /// Resends that this instance may make now, summed over all services.
    pub resends_left: IntGauge,
    /// Resident memory of the process in bytes.
    pub resident_bytes: IntGauge,
    /// Memory, connections and bodies of callers' requests.
    pub intake: IntakeMetrics,
    /// Targets with a label of their own in `attempts`.
    labelled: Mutex<BTreeSet<EngineId>>,
    /// Requests by workspace and what was missed.
    workspace_requests: IntCounterVec,
    /// Workspaces with a label of their own in `workspace_requests`.
    labelled_workspaces: Mutex<BTreeSet<WorkspaceId>>,
    /// Instances with a label of their own in `relayed`.
    labelled_relays: Mutex<BTreeSet<EngineId>>,
}

/// Limit on target labels: each takes memory and lengthens every scrape.
const MAX_LABELLED_TARGETS: usize = 256;
/// Label shared by all targets without a label of their own.
const OTHER_TARGETS: &str = "others";
/// Limit on workspace labels, besides [`OTHER_WORKSPACES`]; there may be thousands of workspaces.
const MAX_LABELLED_WORKSPACES: usize = 19;
/// Label shared by all workspaces without a label of their own.
const OTHER_WORKSPACES: &str = "other";
/// Values of the label `end` for attempts on targets.
const ATTEMPT_ENDS: [&str; 3] = ["answered", "refused", "lost"];

/// Returns whether a name has a label of its own; those beyond the limit share one.
fn has_label<T: Ord + Clone>(labelled: &Mutex<BTreeSet<T>>, id: &T, limit: usize) -> bool {
    let mut labelled = labelled.lock().unwrap_or_else(PoisonError::into_inner);
    if !labelled.contains(id) && labelled.len() < limit {
        labelled.insert(id.clone());
    }
    labelled.contains(id)
}

/// Returns the label of a target or instance.
fn label<'a>(labelled: &Mutex<BTreeSet<EngineId>>, id: &'a EngineId) -> &'a str {
    if has_label(labelled, id, MAX_LABELLED_TARGETS) {
        id.as_str()
    } else {
        OTHER_TARGETS
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    collector: prometheus::Result<C>,
) -> C {
    let collector = collector.expect("metric names are valid");
    registry.register(Box::new(collector.clone())).expect("metric names are distinct");
    collector
}

impl Metrics {
    /// Registers all metrics with initial value zero.
    ///
    /// # Panics
    /// Never: the metric names are constants and covered by tests.
    pub fn new() -> Self {
        let r = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&r, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let counter = |name: &str, help: &str| register(&r, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| register(&r, IntGauge::new(name, help));
        let times = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(LATENCY_BUCKETS_S.to_vec());
            register(&r, HistogramVec::new(opts, &["class"]))
        };
        Self {
            requests: counters(
                "lentil_requests_total",
                "Requests by how they ended",
                &["service", "class", "end"],
            ),
            objectives: counters(
                "lentil_targets_total",
                "Requests by whether they met the targets of their class",
                &["service", "class", "good", "spent"],
            ),
            first_token: times("lentil_first_token_seconds", "Time to the first token"),
            token_gap: times("lentil_between_tokens_seconds", "Mean time between tokens"),
            retries: counter("lentil_retries_total", "Requests begun another time"),
            orders: counters("lentil_orders_total", "Orders to engines", &["end"]),
            role_changes: counter("lentil_role_changes_total", "Role changes carried out"),
            frozen_engines: gauge("lentil_frozen_engines", "Engines that are given no orders"),
            roles: register(
                &r,
                IntGaugeVec::new(Opts::new("lentil_engines", "Engines by role"), &["role"]),
            ),
            relayed: counters(
                "lentil_relayed_total",
                "Requests relayed to other instances",
                &["instance", "end"],
            ),
            relays_served: counters(
                "lentil_relays_served_total",
                "Requests served for other instances",
                &["end"],
            ),
            cut_services: gauge(
                "lentil_services_cut_off",
                "Services of which this instance reaches no target and others do",
            ),
            service_engines: register(
                &r,
                IntGaugeVec::new(
                    Opts::new("lentil_service_engines", "Engines by what they are available for"),
                    &["service", "role", "state"],
                ),
            ),
            refused_frames: counters(
                "lentil_mesh_refused_total",
                "Refused frames",
                &["reason", "version"],
            ),
            extensions: counters(
                "lentil_mesh_extensions_total",
                "Messages of protocol version 2",
                &["message", "end"],
            ),
            sent_bytes: counter("lentil_mesh_sent_bytes_total", "Bytes sent to other instances"),
            store_calls: counters("lentil_store_calls_total", "Calls to the store", &["call"]),
            claims: counters("lentil_claims_total", "Claims of run-once requests", &["end"]),
            revision: gauge("lentil_manifest_revision", "Revision of the manifest in force"),
            suspects: gauge("lentil_suspects", "Fingerprints that crashed targets"),
            quarantined: gauge("lentil_quarantined", "Fingerprints that no target may run"),
            quarantined_parts: gauge(
                "lentil_quarantined_parts",
                "Parts of prompts that no target may run",
            ),
            crash_checks: counters(
                "lentil_crash_checks_total",
                "Investigations of targets that lost an answer",
                &["verdict"],
            ),
            dropped_updates: gauge(
                "lentil_mesh_updates_dropped",
                "Updates dropped before they were sent to enough instances",
            ),
            known_targets: gauge("lentil_targets_known", "Targets that the directory names"),
            ejected_targets: gauge(
                "lentil_targets_shut_out",
                "Targets without requests since they failed",
            ),
            limited_targets: gauge("lentil_targets_limited", "Targets that announce a rate limit"),
            permits: counters(
                "lentil_permits_total",
                "Permits requested for targets with a rate limit",
                &["end"],
            ),
            denied_sends: counters(
                "lentil_sends_denied_total",
                "Sends not made since a rule forbade them when the connection was ready",
                &["kind", "reason"],
            ),
            leaving_targets: gauge("lentil_targets_leaving", "Targets known to be leaving"),
            held_targets: gauge("lentil_targets_held", "Targets that want no requests for a time"),
            directory_age: gauge(
                "lentil_directory_age_ms",
                "Milliseconds since the directory told of targets",
            ),
            routes_age: gauge(
                "lentil_routes_age_ms",
                "Milliseconds since the routes were known to be the current ones",
            ),
            abandoned_watches: counters(
                "lentil_route_watches_abandoned_total",
                "Watches of the routes that were given up",
                &["reason"],
            ),
            members: gauge("lentil_members", "Other instances that are thought to live"),
            attempts: counters("lentil_answers_total", "Answers of targets", &["target", "end"]),
            queue_wait: times("lentil_queue_wait_seconds", "Wait expected in queues at admission"),
            resumes: counter("lentil_resumes_total", "Streams that went on elsewhere"),
            stream_origins: counters(
                "lentil_stream_origins_total",
                "Streams taken up again, by how their origin was found",
                &["end"],
            ),
            late_requests: counters("lentil_late_total", "Requests that stepped back", &["class"]),
            platform_calls: counters(
                "lentil_platform_calls_total",
                "Calls to the platform's store",
                &["call", "result"],
            ),
            held_cells: gauge("lentil_cells_held", "Cells whose engines are ordered from here"),
            usage_reports: counters(
                "lentil_usage_reports_total",
                "Reports of usage by how their call ended",
                &["end"],
            ),
            usage_lost: counters(
                "lentil_usage_lost_total",
                "Requests that are in no usage report",
                &["reason"],
            ),
            usage_holder: gauge("lentil_usage_holder", "Whether usage is reported from here"),
            wrong_clocks: counters(
                "lentil_wrong_clocks_total",
                "Times that a clock was found to be wrong",
                &["clock"],
            ),
            scaled_targets: register(
                &r,
                IntGaugeVec::new(
                    Opts::new("lentil_scaled_targets", "Targets ordered by demand"),
                    &["service", "zone", "kind", "state"],
                ),
            ),
            scaling_orders: counters(
                "lentil_scaling_orders_total",
                "Orders for targets by how they ended",
                &["end"],
            ),
            resends_left: gauge("lentil_resends_left", "Resends that may be made now"),
            resident_bytes: gauge("lentil_memory_bytes", "Memory of the process"),
            intake: IntakeMetrics::new(&r),
            labelled: Mutex::default(),
            workspace_requests: counters(
                "lentil_workspace_requests_total",
                "Requests by workspace and how they ended",
                &["workspace", "end"],
            ),
            labelled_workspaces: Mutex::default(),
            labelled_relays: Mutex::default(),
            registry: r,
        }
    }

    /// Counts a finished request.
    ///
    /// `missed` names the objective that was not met, or the error kind; `None` if all were met.
    pub fn record_end(&self, service: &str, class: &str, end: &str, missed: Option<&str>) {
        self.requests.with_label_values(&[service, class, end]).inc();
        let good = if missed.is_none() { "yes" } else { "no" };
        let labels = [service, class, good, missed.unwrap_or("")];
        self.objectives.with_label_values(&labels).inc();
    }

    /// Counts a finished request of a workspace; `end` is `good`, or says what was missed.
    pub fn record_workspace_end(&self, workspace: Option<&WorkspaceId>, end: &str) {
        let Some(id) = workspace else { return };
        let own = has_label(&self.labelled_workspaces, id, MAX_LABELLED_WORKSPACES);
        let label = if own { id.as_str() } else { OTHER_WORKSPACES };
        self.workspace_requests.with_label_values(&[label, end]).inc();
    }

    /// Counts an attempt on a target: `answered`, `refused` or `lost`.
    pub fn record_attempt(&self, target: &EngineId, end: &str) {
        let target = label(&self.labelled, target);
        self.attempts.with_label_values(&[target, end]).inc();
    }

    /// Counts a request relayed to another instance: `answered`, `refused` or `lost`.
    pub fn record_relayed(&self, instance: &EngineId, end: &str) {
        let instance = label(&self.labelled_relays, instance);
        self.relayed.with_label_values(&[instance, end]).inc();
    }

    /// Counts a refused mesh frame.
    pub fn count_refused_frame(&self, reason: &str, version: &str) {
        self.refused_frames.with_label_values(&[reason, version]).inc();
    }

    /// Counts a message of protocol version 2: `sent`, `omitted`, `failed` or `received`.
    pub fn count_extension(&self, message: &str, end: &str) {
        self.extensions.with_label_values(&[message, end]).inc();
    }

    /// Removes the counters of targets for which `is_known` returns false.
    pub fn retain_targets(&self, is_known: impl Fn(&EngineId) -> bool) {
        let mut labelled = self.labelled.lock().unwrap_or_else(PoisonError::into_inner);
        labelled.retain(|target| {
            let keep = is_known(target);
            if !keep {
                for end in ATTEMPT_ENDS {
                    // Fails if this target never had an attempt with this end.
                    let _ = self.attempts.remove_label_values(&[target.as_str(), end]);
                }
            }
            keep
        });
    }

    /// Records the time to first token and the mean time between tokens of an answer.
    pub fn record_times(&self, class: &str, first_token: Duration, token_gap: Duration) {
        self.first_token.with_label_values(&[class]).observe(first_token.as_secs_f64());
        self.token_gap.with_label_values(&[class]).observe(token_gap.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for metrics without values, and `gather` omits those.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
