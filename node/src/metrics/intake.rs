use {
    super::register,
    crate::{http::Connections, intake::MemoryUse},
    lentil_core::intake::ConnectionState,
    prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry},
};

/// Metrics of what callers make an instance hold; they are read on demand.
pub struct IntakeMetrics {
    /// Bytes of request bodies by kind: `used`, `arriving` (part of these) and `capacity`.
    body_bytes: IntGaugeVec,
    /// Bodies that arrive.
    arriving: IntGauge,
    /// Bodies given up because they stalled.
    given_up: IntCounter,
    /// Connections by address and state.
    connections: IntGaugeVec,
    /// Bytes held for connections by address and kind: `used` and `capacity`.
    connection_bytes: IntGaugeVec,
    /// Connections closed by the instance, by address, state and reason.
    closed: IntCounterVec,
}

/// Raises a counter to the total that is counted elsewhere.
fn raise(counter: &IntCounter, total: u64) {
    counter.inc_by(total.saturating_sub(counter.get()));
}

impl IntakeMetrics {
    pub(super) fn new(r: &Registry) -> Self {
        let gauges = |name: &str, help: &str, labels: &[&str]| {
            register(r, IntGaugeVec::new(Opts::new(name, help), labels))
        };
        Self {
            body_bytes: gauges("lentil_body_bytes", "Bytes of request bodies", &["kind"]),
            arriving: register(
                r,
                IntGauge::new("lentil_bodies_arriving", "Request bodies that arrive"),
            ),
            given_up: register(
                r,
                IntCounter::new("lentil_bodies_given_up_total", "Request bodies that stalled"),
            ),
            connections: gauges("lentil_connections", "Connections", &["address", "state"]),
            connection_bytes: gauges(
                "lentil_connection_bytes",
                "Bytes held for connections",
                &["address", "kind"],
            ),
            closed: register(
                r,
                IntCounterVec::new(
                    Opts::new("lentil_connections_closed_total", "Connections closed from here"),
                    &["address", "state", "reason"],
                ),
            ),
        }
    }

    /// Updates the metrics of request bodies.
    pub fn update_bodies(&self, usage: &MemoryUse) {
        let kinds =
            [("used", usage.used), ("arriving", usage.arriving), ("capacity", usage.capacity)];
        for (kind, bytes) in kinds {
            self.body_bytes.with_label_values(&[kind]).set(bytes as i64);
        }
        self.arriving.set(usage.bodies as i64);
        raise(&self.given_up, usage.given_up);
    }

    /// Updates the metrics of the connections to one address.
    pub fn update_connections(&self, connections: &Connections) {
        let (address, usage) = (connections.name(), connections.usage());
        for (i, state) in ConnectionState::ALL.into_iter().enumerate() {
            let state = state.to_string();
            let count = usage.counts[i] as i64;
            self.connections.with_label_values(&[address, &state]).set(count);
            for (reason, counts) in [("yielded", usage.yielded), ("expired", usage.expired)] {
                let counter = self.closed.with_label_values(&[address, &state, reason]);
                raise(&counter, counts[i]);
            }
        }
        for (kind, bytes) in [("used", usage.bytes), ("capacity", usage.max_bytes)] {
            self.connection_bytes.with_label_values(&[address, kind]).set(bytes as i64);
        }
    }
}
