//! Metrics of one instance.

use {
    lentil_core::ids::EngineId,
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

/// Bounds in seconds; the targets of 0.078 and 0.48 s are among them.
const SECONDS: [f64; 12] = [0.005, 0.02, 0.05, 0.078, 0.12, 0.24, 0.48, 1.0, 2.0, 5.0, 15.0, 60.0];

/// Metrics of one instance; docs/INTERFACES.md lists them.
pub struct Metrics {
    registry: Registry,
    /// Requests by service, class and how they ended.
    pub requests: IntCounterVec,
    /// Requests by service, class and whether they met their targets; `spent` names what did not.
    pub targets: IntCounterVec,
    /// Time to the first token by class.
    pub first_token: HistogramVec,
    /// Mean time between tokens by class.
    pub token_gap: HistogramVec,
    /// Requests begun on a target another time.
    pub retries: IntCounter,
    /// Orders by what became of them.
    pub orders: IntCounterVec,
    /// Role changes that were carried out.
    pub role_changes: IntCounter,
    /// Engines frozen for want of proof.
    pub frozen_engines: IntGauge,
    /// Engines in each role, as seen here.
    pub roles: IntGaugeVec,
    /// Frames from other instances that were refused, by reason.
    pub refused_frames: IntCounterVec,
    /// Bytes sent over the mesh.
    pub sent_bytes: IntCounter,
    /// Calls to the key-value service, by kind.
    pub store_calls: IntCounterVec,
    /// Claims by what became of them.
    pub claims: IntCounterVec,
    /// Revision of the manifest in force.
    pub revision: IntGauge,
    /// Fingerprints that crashed targets.
    pub suspects: IntGauge,
    /// Targets that the directory names.
    pub known_targets: IntGauge,
    /// Targets that get no requests because they failed.
    pub shut_out: IntGauge,
    /// Milliseconds since the directory last told of targets.
    pub directory_age: IntGauge,
    /// Other instances that are thought to live.
    pub members: IntGauge,
    /// Answers and failures of targets, by what came; targets beyond [`MAX_TARGETS`] count as one.
    answers: IntCounterVec,
    /// Wait expected in queues by class, as requests were admitted.
    pub queue_wait: HistogramVec,
    /// Streams that went on from an event on another target.
    pub resumes: IntCounter,
    /// Requests that stepped back behind those in time, by class.
    pub late_requests: IntCounterVec,
    /// Calls to the platform's store, by kind and result.
    pub platform_calls: IntCounterVec,
    /// Cells held here.
    pub held_cells: IntGauge,
    /// Resends that this instance may still make now, over all services.
    pub resends_left: IntGauge,
    /// Resident memory of the process in bytes.
    pub resident_bytes: IntGauge,
    labelled: Mutex<BTreeSet<EngineId>>,
}

/// Targets with counters of their own: labels take memory, and a scrape must stay short.
const MAX_TARGETS: usize = 256;
/// Name under which further targets are counted.
const OTHERS: &str = "others";
/// How attempts on targets end.
const ENDS: [&str; 3] = ["answered", "refused", "lost"];

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

fn register<C: prometheus::core::Collector + Clone + 'static>(
    registry: &Registry,
    made: prometheus::Result<C>,
) -> C {
    let collector = made.expect("metric names are valid");
    registry.register(Box::new(collector.clone())).expect("metric names are distinct");
    collector
}

impl Metrics {
    /// Metrics that all stand at zero.
    ///
    /// # Panics
    /// Never: the names are fixed and tested.
    pub fn new() -> Self {
        let r = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            register(&r, IntCounterVec::new(Opts::new(name, help), labels))
        };
        let counter = |name: &str, help: &str| register(&r, IntCounter::new(name, help));
        let gauge = |name: &str, help: &str| register(&r, IntGauge::new(name, help));
        let times = |name: &str, help: &str| {
            let opts = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
            register(&r, HistogramVec::new(opts, &["class"]))
        };
        Self {
            requests: counters(
                "lentil_requests_total",
                "Requests by how they ended",
                &["service", "class", "end"],
            ),
            targets: counters(
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
            refused_frames: counters("lentil_mesh_refused_total", "Refused frames", &["reason"]),
            sent_bytes: counter("lentil_mesh_sent_bytes_total", "Bytes sent to other instances"),
            store_calls: counters("lentil_store_calls_total", "Calls to the store", &["call"]),
            claims: counters("lentil_claims_total", "Claims of run-once requests", &["end"]),
            revision: gauge("lentil_manifest_revision", "Revision of the manifest in force"),
            suspects: gauge("lentil_suspects", "Fingerprints that crashed targets"),
            known_targets: gauge("lentil_targets_known", "Targets that the directory names"),
            shut_out: gauge(
                "lentil_targets_shut_out",
                "Targets without requests since they failed",
            ),
            directory_age: gauge(
                "lentil_directory_age_ms",
                "Milliseconds since the directory told of targets",
            ),
            members: gauge("lentil_members", "Other instances that are thought to live"),
            answers: counters("lentil_answers_total", "Answers of targets", &["target", "end"]),
            queue_wait: times("lentil_queue_wait_seconds", "Wait expected in queues at admission"),
            resumes: counter("lentil_resumes_total", "Streams that went on elsewhere"),
            late_requests: counters("lentil_late_total", "Requests that stepped back", &["class"]),
            platform_calls: counters(
                "lentil_platform_calls_total",
                "Calls to the platform's store",
                &["call", "result"],
            ),
            held_cells: gauge("lentil_cells_held", "Cells whose engines are ordered from here"),
            resends_left: gauge("lentil_resends_left", "Resends that may be made now"),
            resident_bytes: gauge("lentil_memory_bytes", "Memory of the process"),
            labelled: Mutex::default(),
            registry: r,
        }
    }

    /// Counts how a request ended and whether it met its targets.
    pub fn record_end(&self, service: &str, class: &str, end: &str, spent: Option<&str>) {
        self.requests.with_label_values(&[service, class, end]).inc();
        let good = if spent.is_none() { "yes" } else { "no" };
        let labels = [service, class, good, spent.unwrap_or("")];
        self.targets.with_label_values(&labels).inc();
    }

    /// Counts how an attempt on a target ended.
    pub fn record_answer(&self, target: &EngineId, end: &str) {
        let mut labelled = self.labelled.lock().unwrap_or_else(PoisonError::into_inner);
        if !labelled.contains(target) && labelled.len() < MAX_TARGETS {
            labelled.insert(target.clone());
        }
        let target = if labelled.contains(target) { target.as_str() } else { OTHERS };
        self.answers.with_label_values(&[target, end]).inc();
    }

    /// Forgets the counters of targets that are gone.
    pub fn retain_targets(&self, lives: impl Fn(&EngineId) -> bool) {
        let mut labelled = self.labelled.lock().unwrap_or_else(PoisonError::into_inner);
        labelled.retain(|target| {
            let keep = lives(target);
            if !keep {
                for end in ENDS {
                    // There is none for what never came from it.
                    let _ = self.answers.remove_label_values(&[target.as_str(), end]);
                }
            }
            keep
        });
    }

    /// Notes the times of an answer.
    pub fn record_times(&self, class: &str, first: Duration, between: Duration) {
        self.first_token.with_label_values(&[class]).observe(first.as_secs_f64());
        self.token_gap.with_label_values(&[class]).observe(between.as_secs_f64());
    }

    /// All metrics in the text format.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = Vec::new();
        // Encoding into memory fails only for metrics without values, which are left out.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut text);
        text
    }
}
