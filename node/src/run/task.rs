use {
    super::{Piece, RunRequest},
    crate::{app::App, ports::Target},
    lentil_core::{
        clock::Time,
        error::{ErrorKind, Fault, Outcome},
        ids::{EngineId, Tokens},
        poison::RunPermission,
    },
    smallvec::SmallVec,
    std::{sync::Arc, time::Duration},
    tokio::{sync::mpsc, time::sleep},
};

/// Time within which a crash report reaches all instances.
const CRASH_REPORT_DELAY: Duration = Duration::from_secs(1);
/// Largest ratio assumed between the speed of an idle engine and the speed that the class
/// requires.
const MAX_IDLE_SPEEDUP: u32 = 4;
/// Fewest prefilled tokens from which an engine's prefill rate is measured.
pub(super) const MIN_RATE_TOKENS: Tokens = Tokens(1_000);
/// Time before the deadline in which no further target is tried.
const MIN_TIME_LEFT: Duration = Duration::from_millis(30);

/// Runs one request, on one engine after another until one has answered it.
pub(super) struct Task {
    pub(super) app: Arc<App>,
    pub(super) request: RunRequest,
    pub(super) sender: mpsc::Sender<Result<Piece, Fault>>,
    /// Tokens forwarded to the caller so far.
    pub(super) sent_tokens: Vec<String>,
    /// When the first token, or the head of a proxied answer, was forwarded.
    pub(super) first_token: Option<Time>,
    /// Whether an engine may have started to run the request.
    pub(super) maybe_ran: bool,
    /// Engine reserved for this request while it is a crash suspect.
    pub(super) isolated: Option<EngineId>,
    /// Whether the latest attempt tries a quarantined request, or part of its prompt.
    pub(super) trial: bool,
    /// Since when no engine for suspects of this instance accepts work.
    pub(super) closed_since: Option<Time>,
    /// Target that has the request in work, and when it was sent there.
    pub(super) running_at: Option<(Target, Time)>,
    /// Run requests that reached a target.
    pub(super) runs_sent: u32,
    /// Prefill requests sent.
    pub(super) prefills_sent: u32,
    /// Whether the head of a proxied answer was forwarded.
    pub(super) head_sent: bool,
    /// When the latest piece of a proxied answer was forwarded.
    pub(super) last_piece: Option<Time>,
    /// Longest time between two pieces.
    pub(super) longest_gap: Duration,
    /// HTTP status of the forwarded head; 0 before there is one.
    pub(super) status: u16,
    /// Id of the last event forwarded.
    pub(super) last_event: Option<u64>,
    /// Targets that this instance did not reach for the request.
    pub(super) unreached: SmallVec<[EngineId; 2]>,
    /// Instances that were asked to relay the request.
    pub(super) relays_tried: u32,
    /// How the latest of them failed.
    pub(super) relay_fault: Option<Fault>,
    /// Whether the request is counted in its workspace's usage.
    pub(super) usage_counted: bool,
    /// Whether the request was charged to its workspace, or refused for its share.
    pub(super) share_checked: bool,
}

impl Task {
    pub(super) fn new(
        app: Arc<App>,
        request: RunRequest,
        sender: mpsc::Sender<Result<Piece, Fault>>,
    ) -> Self {
        let runs_sent = request.relayed.as_ref().map_or(0, |r| r.sends);
        Self {
            app,
            request,
            sender,
            sent_tokens: Vec::new(),
            first_token: None,
            maybe_ran: false,
            isolated: None,
            trial: false,
            closed_since: None,
            running_at: None,
            runs_sent,
            prefills_sent: 0,
            head_sent: false,
            last_piece: None,
            longest_gap: Duration::ZERO,
            status: 0,
            last_event: None,
            unreached: SmallVec::new(),
            relays_tried: 0,
            relay_fault: None,
            usage_counted: false,
            share_checked: false,
        }
    }

    /// Returns whether a request that found no engine waits for one.
    ///
    /// A retried request that a target has not failed yet, or a suspect that needs an engine without
    /// other suspects, waits while it could still end by its deadline. Others are refused at once.
    pub(super) fn may_wait(&self, fault: &Fault, attempts: u32) -> bool {
        let (now, routing) = (self.app.now(), &self.request.routing);
        let remaining = routing.output - Tokens(self.sent_tokens.len() as u64);
        let needed = (routing.class.between.duration() / MAX_IDLE_SPEEDUP)
            .saturating_mul(remaining.0 as u32);
        let deadline = self.request.arrived + routing.class.deadline.duration();
        let permission = self.app.quarantine().permission(self.request.fingerprint, now);
        let isolates = permission == RunPermission::Isolate || self.trial;
        let waits = isolates || attempts > 0 && self.has_untried_target();
        let waits = waits && self.relay_fault.is_none() && self.check_relayed().is_ok();
        fault.kind == ErrorKind::NoTarget && waits && now + needed < deadline
    }

    /// Returns whether some target, whatever its present state, has not failed this request yet.
    fn has_untried_target(&self) -> bool {
        let routing = &self.request.routing;
        let fleet = self.app.fleet();
        fleet.engines.iter().any(|e| e.model == routing.model && !routing.excluded.contains(&e.id))
    }

    /// Delays a crash suspect until the instances know of each other's crash reports.
    pub(super) async fn await_crash_reports(&self) {
        let permission = self.app.quarantine().permission(self.request.fingerprint, self.app.now());
        if permission == RunPermission::Isolate {
            sleep(CRASH_REPORT_DELAY).await;
        }
    }

    /// Counts the request toward the retry or resend budget, unless another instance has done so.
    pub(super) fn count_request(&self) {
        if self.request.relayed.is_some() {
            return;
        }
        let now = self.app.now();
        match self.request.proxied {
            None => self.app.admission().retries.record_request(),
            Some(_) => self.app.admission().count_request(&self.request.routing.model, now),
        }
    }

    /// Returns whether a request that may have run can run again on another target.
    pub(super) fn may_repeat(&self) -> bool {
        let Some(proxied) = &self.request.proxied else { return true };
        let in_time = self.app.now() + MIN_TIME_LEFT < proxied.deadline;
        in_time && proxied.route.repeatable() && self.runs_sent < proxied.route.attempts
    }

    /// Returns whether a failed request may be retried, and takes the retry from its budget.
    pub(super) fn may_retry(&self, fault: &Fault) -> bool {
        let now = self.app.now();
        let Some(proxied) = &self.request.proxied else {
            return self.app.admission().retries.take();
        };
        let in_time = now + MIN_TIME_LEFT < proxied.deadline;
        let repeatable = !self.maybe_ran || self.may_repeat();
        if fault.kind == ErrorKind::TargetTimeout || !in_time || !repeatable {
            return false;
        }
        // Nothing has reached a target yet, so this is no resend.
        if self.runs_sent + self.prefills_sent == 0 {
            return true;
        }
        let instances = self.app.member_view().fleet_size(now);
        // A prefilled prompt has to be prefilled again before it can run on another engine.
        let resends = 1 + u32::from(self.prefills_sent > 0);
        self.app.admission().take_resend(&self.request.routing.model, instances, resends, now)
    }

    /// Records a request whose answer was forwarded completely.
    pub(super) fn finish(self) {
        if self.request.proxied.is_some() {
            return self.finish_proxied();
        }
        let (app, request) = (&self.app, &self.request);
        let now = app.now();
        self.clear_blame();
        let length = Tokens(self.sent_tokens.len() as u64);
        app.admission().record_output(&request.routing.model, length);
        let class = &request.routing.class;
        let first = self.first_token.unwrap_or(now) - request.arrived;
        let steps = self.sent_tokens.len().saturating_sub(1).max(1) as u32;
        let between = (now - self.first_token.unwrap_or(now)) / steps;
        app.metrics.record_times(request.class.as_str(), first, between);
        let missed = match () {
            () if first > class.first.duration() => Some("first"),
            () if between > class.between.duration() => Some("between"),
            () if now - request.arrived > class.deadline.duration() => Some("deadline"),
            () => None,
        };
        let service = request.routing.model.as_str();
        app.metrics.record_end(service, request.class.as_str(), "whole", missed);
    }

    /// Logs and counts a request whose caller disconnected before the end of the answer.
    pub(super) fn caller_left(self) {
        self.log_early_end("left", "the caller has disconnected");
        let request = &self.request;
        if request.relayed.is_some() {
            return;
        }
        let (service, metrics) = (request.routing.model.as_str(), &self.app.metrics);
        metrics.requests.with_label_values(&[service, request.class.as_str(), "left"]).inc();
        if request.proxied.is_some() {
            metrics.record_workspace_end(request.workspace.as_ref(), "left");
        }
    }

    /// Ends the request with a fault, which is sent to the caller.
    pub(super) async fn fail(mut self, mut fault: Fault) {
        self.release_isolated();
        if self.maybe_ran && fault.outcome == Outcome::NotRun {
            fault.outcome = Outcome::Unknown;
        }
        // Once the head was sent, the caller gets a truncated answer and no error status.
        let event = if self.head_sent { "cut" } else { "given_up" };
        self.log_early_end(event, &fault.to_string());
        let request = &self.request;
        let (service, class) = (request.routing.model.as_str(), request.class.as_str());
        let code = fault.kind.answer().code;
        if request.relayed.is_none() {
            self.app.metrics.record_end(service, class, code, Some(code));
            if request.proxied.is_some() {
                self.app.metrics.record_workspace_end(request.workspace.as_ref(), code);
            }
        }
        // The caller may have disconnected.
        let _ = self.sender.send(Err(fault)).await;
    }
}
