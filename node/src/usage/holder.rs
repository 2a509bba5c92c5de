use {
    super::{
        duty::CANDIDATES,
        record_store::{RecordError, RecordStore, WriteEnd},
        Usage,
    },
    crate::{
        app::{random_id, App, CellHolder, Phase},
        control::HeldCell,
        mesh::{broadcast_usage, send_usage},
        ports::{ApiError, DutyCall, PlatformApi, UsageReport},
    },
    lentil_core::{
        clock::Time,
        mesh::Update,
        usage::{CallEnd, FixedReport, ReportTiming, Reporter, UnixTime, UsageMessage, WindowId},
    },
    std::{fmt, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval at which the holder looks for what is due; this makes no calls.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the holder tells the candidates that it holds the duty.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
/// Announcements after the acquisition that go to all instances of the view. Gossip tells those that
/// get none of them.
const BROADCASTS: u32 = 2;
/// Time after the acquisition from which the holder's time was compared with enough others.
const TIME_SETTLE: Duration = Duration::from_secs(1);
/// Time without most of the other instances after which the holder gives the duty up.
const MAX_ISOLATION: Duration = Duration::from_secs(2);
/// Multiple of the lease for which the holder tries to renew one that may have expired.
const EXPIRED_LEASES: u32 = 2;

/// Why the duty is no longer held.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Lost {
    /// The instance stops.
    Stopping,
    /// The instance no longer sees most of the others.
    Isolated,
    /// The lease has ended.
    Lease,
    /// There is a later holder.
    Superseded,
    /// The stored record can't be decoded; holds the error.
    Unreadable(String),
}

impl fmt::Display for Lost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stopping => f.write_str("the instance stops"),
            Self::Isolated => f.write_str("most instances are not seen"),
            Self::Lease => f.write_str("the lease has ended"),
            Self::Superseded => f.write_str("there is a later holder"),
            Self::Unreadable(error) => write!(f, "{error}"),
        }
    }
}

/// The duty while this instance holds it.
pub(super) struct HeldDuty<'a> {
    app: &'a Arc<App>,
    held: Arc<HeldCell>,
    api: Arc<dyn PlatformApi>,
    reporter: Reporter,
    record: RecordStore,
    acquired: Time,
    announced: Option<Time>,
    announcements: u32,
    /// When most of the other instances were last seen.
    connected: Time,
}

/// Returns this instance's announcement that it holds the duty, if it does.
pub(super) fn announcement(app: &App) -> Option<UsageMessage> {
    let now = app.now();
    let cell = app.usage()?.cell.clone();
    let fence = app.holders().holder(&cell).filter(|h| h.holder == app.identity)?.fence;
    if !app.cell_leases.get(&cell).valid(now) {
        return None;
    }
    let usage = app.usage()?;
    let time = usage.time_compared.then(|| usage.time.at(now));
    Some(UsageMessage { time, fence: Some(fence), from: usage.next, windows: Vec::new() })
}

impl<'a> HeldDuty<'a> {
    /// Begins to do the duty after its cell was acquired.
    pub(super) fn new(
        app: &'a Arc<App>,
        held: HeldCell,
        api: Arc<dyn PlatformApi>,
        timing: ReportTiming,
    ) -> Self {
        let now = app.now();
        let number = held.ledger.number;
        log::info!("usage: acquired the duty fence={number}");
        let address = app.settings.mesh.listen;
        let record = CellHolder { holder: app.identity.clone(), address, fence: number };
        app.holders().record_holder(&held.cell, record);
        let (cell, holder) = (held.cell.clone(), app.identity.clone());
        app.member_view().queue_update(Update::CellHolder { cell, holder, address, number });
        if let Some(mut usage) = app.usage() {
            usage.time_compared = false;
        }
        Self {
            app,
            held: Arc::new(held),
            api,
            reporter: Reporter::new(timing, number, None, now),
            record: RecordStore::new(now),
            acquired: now,
            announced: None,
            announcements: 0,
            connected: now,
        }
    }

    /// Does the duty until it is lost or the instance stops.
    pub(super) async fn run(mut self) -> Lost {
        let (app, held) = (self.app, self.held.clone());
        // Renewals do not wait for the other calls, which may take longer than the lease.
        let renewals = async {
            let renewable = || {
                let lease = held.cell_lease.lease();
                lease.is_some_and(|l| app.now() < l.sent + l.ttl * EXPIRED_LEASES)
            };
            while renewable() {
                held.renew(app).await;
                sleep(CHECK_INTERVAL).await;
            }
        };
        let lost = tokio::select! {
            () = renewals => Lost::Lease,
            lost = self.work() => lost,
        };
        let level = match &lost {
            Lost::Stopping => log::Level::Info,
            Lost::Isolated | Lost::Lease | Lost::Superseded => log::Level::Warn,
            Lost::Unreadable(_) => log::Level::Error,
        };
        let fence = self.reporter.number();
        log::log!(level, "usage: gave up the duty fence={fence} why={:?}", lost.to_string());
        self.held.release(app).await;
        lost
    }

    async fn work(&mut self) -> Lost {
        loop {
            if *self.app.phase.borrow() != Phase::Serving {
                return Lost::Stopping;
            }
            if let Err(lost) = self.tick().await {
                return lost;
            }
            sleep(CHECK_INTERVAL).await;
        }
    }

    async fn tick(&mut self) -> Result<(), Lost> {
        let now = self.app.now();
        if self.app.member_view().held_share(now).is_some() {
            self.connected = now;
        } else if now - self.connected > MAX_ISOLATION {
            return Err(Lost::Isolated);
        }
        if !self.held.cell_lease.valid(now) || !self.read_record(now).await? {
            return Ok(());
        }
        if self.reporter.is_superseded() {
            return Err(Lost::Superseded);
        }
        self.announce(now).await;
        self.compare_time(now);
        self.fix_reports(now).await?;
        self.send_next().await
    }

    /// Reads the record once; returns whether it was read.
    async fn read_record(&mut self, now: Time) -> Result<bool, Lost> {
        if self.record.is_read() {
            return Ok(true);
        }
        if !self.record.may_call(now) {
            return Ok(false);
        }
        let result = self.record.read(self.app).await;
        self.record.record_call(&result, self.app.now());
        match result {
            Ok(record) => {
                self.reporter.set_record(record);
                Ok(true)
            }
            Err(error @ RecordError::Invalid(_)) => Err(Lost::Unreadable(error.to_string())),
            Err(error) => {
                log::debug!("usage: record not read: {error}");
                Ok(false)
            }
        }
    }

    /// Announces regularly that this instance holds the duty.
    async fn announce(&mut self, now: Time) {
        if self.announced.is_some_and(|t| now - t < ANNOUNCE_INTERVAL) {
            return;
        }
        self.announced = Some(now);
        if let Some(mut usage) = self.app.usage() {
            // Without a record, counts of earlier windows may still be on their way.
            let next = self.next_window(&usage, (now, usage.time.at(now)));
            usage.next = self.reporter.has_record().then_some(next);
        }
        let Some(message) = announcement(self.app) else { return };
        if self.announcements < BROADCASTS {
            self.announcements += 1;
            return broadcast_usage(self.app, message).await;
        }
        // One more than there are candidates, as the holder may be one of them.
        let cell = self.held.cell.as_str();
        let members = self.app.member_view().first_by_hash(cell, CANDIDATES + 1);
        for member in members {
            send_usage(self.app, member.address, &member.id, vec![message.clone()]).await;
        }
    }

    /// Corrects the own time by the median of all instances' times.
    fn compare_time(&self, now: Time) {
        let Some(mut usage) = self.app.usage().filter(|_| now - self.acquired >= TIME_SETTLE)
        else {
            return;
        };
        if let Some(correction) = usage.clocks.own_correction(now) {
            usage.time.correct(correction);
            self.app.metrics.wrong_clocks.with_label_values(&["estimate"]).inc();
            log::warn!("usage: the own estimate of true time was wrong by_ms={correction}");
        }
        usage.time_compared = true;
    }

    /// Returns the first window whose report is not fixed.
    fn next_window(&self, usage: &Usage, at: (Time, UnixTime)) -> WindowId {
        let next = self.reporter.next_window(|from| usage.first_window(from), at);
        next.max(usage.fixed_before)
    }

    /// Fixes the reports that are due, in one write.
    async fn fix_reports(&mut self, now: Time) -> Result<(), Lost> {
        let app = self.app;
        if !self.record.may_call(now) {
            return Ok(());
        }
        let (counts, skipped, time) = {
            let Some(usage) = app.usage() else { return Ok(()) };
            let time = usage.time.at(now);
            let next = self.next_window(&usage, (now, time));
            let (windows, skipped) = self.reporter.due_windows(next, (now, time));
            let counts: Vec<_> = windows.iter().map(|w| (*w, usage.total(*w))).collect();
            (counts, skipped, time)
        };
        if counts.is_empty() {
            return Ok(());
        }
        let writer = (app.identity.clone(), random_id("w"));
        let (record, given_up) = self.reporter.propose(counts, writer, time);
        let result = self.record.write(app, &self.held.cell_lease, &record).await;
        self.record.record_call(&result, app.now());
        match result {
            Ok(WriteEnd::Written) => {
                let lost = skipped + given_up.len() as u64;
                if lost > 0 {
                    let next = record.next;
                    log::warn!("usage: gave up reports count={lost} before={next}");
                    app.metrics.usage_reports.with_label_values(&["given_up"]).inc_by(lost);
                }
                if let Some(mut usage) = app.usage() {
                    usage.fixed_before = record.next;
                    usage.next = Some(record.next);
                }
                self.reporter.set_record(Some(record));
                Ok(())
            }
            Ok(WriteEnd::Conflict(stored)) => {
                self.reporter.set_record(stored);
                Ok(())
            }
            Err(error @ RecordError::Invalid(_)) => Err(Lost::Unreadable(error.to_string())),
            Err(error) => {
                log::info!("usage: reports not fixed: {error}");
                Ok(())
            }
        }
    }

    /// Sends the next report that is not known to be accepted.
    async fn send_next(&mut self) -> Result<(), Lost> {
        let app = self.app;
        let now = app.now();
        let Some(time) = app.usage().map(|u| u.time.at(now)) else { return Ok(()) };
        let Some(report) = self.reporter.next_call((now, time)).cloned() else { return Ok(()) };
        let lease = self.held.cell_lease.clone();
        let holder = app.identity.instance.clone();
        let call = DutyCall { holder, fence: self.reporter.number() };
        let body = UsageReport { window: report.window, counts: report.counts.clone() };
        let result = {
            let _in_flight = lease.order_lock.lock().await;
            let authority = || lease.valid(app.clock.now());
            self.api.report_usage(&call, &body, &authority).await
        };
        let (end, label) = match &result {
            Ok(()) => (CallEnd::Accepted, "accepted"),
            Err(ApiError::NoAuthority) => return Ok(()),
            Err(ApiError::Conflict) => (CallEnd::Open, "conflict"),
            Err(ApiError::Refused(_)) => (CallEnd::Open, "refused"),
            Err(ApiError::NotSent(_)) => (CallEnd::Open, "not_sent"),
            Err(ApiError::Unknown(_)) => (CallEnd::Open, "unknown"),
        };
        app.metrics.usage_reports.with_label_values(&[label]).inc();
        self.reporter.record_call(report.window, end, rand::random(), app.now());
        self.log_call(&report, label, result.err());
        match label {
            "conflict" => Err(Lost::Superseded),
            _ => Ok(()),
        }
    }

    fn log_call(&self, report: &FixedReport, label: &str, error: Option<ApiError>) {
        let Some(usage) = self.app.usage() else { return };
        let end = usage.timing.length.end(report.window);
        let after = usage.time.at(self.app.now()).millis_since(end);
        log::info!(
            "usage: window={} requests={} workspaces={} sent={label} calls={} after_ms={after} fence={}{}",
            report.window,
            report.counts.values().sum::<u64>(),
            report.counts.len(),
            self.reporter.calls(report.window),
            self.reporter.number(),
            error.map_or_else(String::new, |e| format!(" error={:?}", e.to_string())),
        );
    }
}
