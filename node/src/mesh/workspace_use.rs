use {
    super::extensions::send_extension,
    crate::app::App,
    lentil_core::{
        admit::UseReport,
        mesh::{Extension, WorkspaceEntry, WorkspaceUse},
        order::Holder,
    },
    rand::seq::SliceRandom,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval between reports.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Instances that get each report. All get one in turn, so the bytes sent don't grow with their
/// number.
const REPORTS_PER_INTERVAL: usize = 2;
/// Bytes of an entry besides the workspace's name.
const ENTRY_BYTES: usize = 24;
/// Longest list of entries, which leaves room in a datagram for the envelope.
const MAX_ENTRY_BYTES: usize = 1_000;

/// Reports this instance's use of the workspaces to the others in turn, in a random order; never
/// returns. Nothing is sent while the configuration has no workspaces.
pub async fn report_workspace_use(app: Arc<App>) {
    let mut waiting = Vec::new();
    loop {
        sleep(REPORT_INTERVAL).await;
        if !app.routes().is_ok_and(|table| table.workspaces.is_some()) {
            continue;
        }
        let now = app.now();
        let (instances, live) = {
            let view = app.member_view();
            let live: Vec<_> = view.live().map(|m| (m.info.id.clone(), m.info.address)).collect();
            (view.fleet_size(now).unwrap_or(live.len() as u32 + 1), live)
        };
        if waiting.is_empty() {
            waiting = live;
            waiting.shuffle(&mut rand::thread_rng());
        }
        let message = {
            let mut admission = app.admission();
            admission.shares.set_instances(instances);
            Extension::WorkspaceUse(encode(admission.shares.report(now)))
        };
        for _ in 0..REPORTS_PER_INTERVAL {
            let Some((id, address)) = waiting.pop() else { break };
            // A lost report makes the receiver's estimate less accurate until the next one.
            send_extension(&app, address, &id, message.clone()).await;
        }
    }
}

fn encode(report: UseReport) -> WorkspaceUse {
    let mut bytes = 0;
    let entries = report.entries.into_iter().take_while(|(id, _)| {
        bytes += id.as_str().len() + ENTRY_BYTES;
        bytes <= MAX_ENTRY_BYTES
    });
    let entries =
        entries.map(|(id, used)| WorkspaceEntry { workspace: id.to_string(), used, share: 1.0 });
    WorkspaceUse { entries: entries.collect(), total: report.total }
}

/// Records another instance's use of the workspaces. Entries that no instance sends are skipped.
pub(super) fn record_workspace_use(
    app: &Arc<App>,
    from: &Holder,
    _address: SocketAddr,
    message: WorkspaceUse,
) {
    let valid = |used: f64| used.is_finite() && used >= 0.0;
    let entries = message.entries.into_iter().filter(|e| valid(e.used));
    let entries = entries.filter_map(|e| Some((e.workspace.parse().ok()?, e.used))).collect();
    let total = if valid(message.total) { message.total } else { 0.0 };
    let report = UseReport { entries, total };
    let now = app.now();
    app.admission().shares.record_report(from.instance.clone(), report, now);
}
