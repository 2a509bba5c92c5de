//! Request timelines and burn reports from log lines in the format of instances.

use lentilctl::{
    logs::Logs,
    queries::{html_page, request_timeline, BurnReport, RequestEnd},
};

const LINES: &str = r#"
 4.0 edge-1 2026-01-11T20:30:20.5Z [INFO] directory: target=i-9 boot=7 service=s address=10.0.0.1:80 role=decode leaving=false
 5.0 edge-2 2026-01-11T20:30:21Z [INFO] run: id=aa chosen try=0 rank=1 routes=7 targets_age_ms=152 decode=i-9 prefill=- todo=215 hit=0 fetch=false first_ms=34 wait_ms=0
 5.1 edge-2 2026-01-11T20:30:21.12Z [INFO] run: id=aa failed at=i-9 begun=true sends=1 error="engine was lost: \"gone\" away"
 5.1 edge-2 2026-01-11T20:30:21.13Z [INFO] breaker: target=i-9 open after="it has crashed"
 5.1 edge-2 2026-01-11T20:30:21.13Z [INFO] breaker: target=i-8 open after="it has crashed"
 5.1 edge-2 2026-01-11T20:30:21.131Z [INFO] front: id=aa answered status=502 kind=target-lost outcome=unknown retry_ms=0 error="engine"
 5.2 edge-1 2026-01-11T20:30:21.2Z [INFO] run: id=bb route=r-a status=200 late=no rank=1 prompt=9 output=2 first_ms=40 total_ms=50 gap_ms=2 sends=1 events=5
 5.3 edge-1 2026-01-11T20:30:21.3Z [INFO] run: id=cc route=r-a workspace=acme status=200 late=yes rank=6 prompt=9 output=2 first_ms=900 total_ms=990 gap_ms=2 sends=1 events=5
 5.4 edge-1 2026-01-11T20:30:21.4Z [INFO] run: id=dd given_up route=r-a workspace=acme after_ms=0 routes=7 targets_age_ms=3 sends=0 events=0 why="no-capacity: the queue is 9 ms long"
 5.5 edge-1 2026-01-11T20:30:33.4Z [INFO] run: id=ee cut route=r-<b> after_ms=9 routes=7 targets_age_ms=3 sends=1 events=4 why="target-lost: x"
 5.6 edge-1 2026-01-11T20:30:33.5Z [INFO] run: id=ff left route=r-a after_ms=9 routes=7 targets_age_ms=3 sends=1 events=0 why="the caller has gone"
 6.0 edge-1 2026-01-11T20:31:00.0Z [WARN] reach: service=s cut_off=yes targets=9 answered=0 relays=1 reached_by_others=9 lost_requests=false
 6.1 edge-1 2026-01-11T20:31:00.1Z [INFO] run: id=gg relayed to=edge-2 sends=0 left_ms=1900
 6.1 edge-2 2026-01-11T20:31:00.102Z [INFO] run: id=gg relayed from=edge-1 routes=7 sends=0 left_ms=1900
 6.2 edge-2 2026-01-11T20:31:00.2Z [INFO] run: id=gg for=edge-1 route=r-c status=200 late=no rank=1 prompt=9 output=2 first_ms=40 total_ms=50 gap_ms=2 sends=1 events=5
 6.2 edge-1 2026-01-11T20:31:00.201Z [INFO] run: id=gg route=r-c status=200 late=no rank=1 prompt=9 output=2 first_ms=41 total_ms=51 gap_ms=2 sends=1 events=5
log: left_out=12
garbage that no instance wrote
"#;

fn logs() -> Logs {
    let mut logs = Logs::default();
    logs.read_lines(LINES.as_bytes(), "file").unwrap();
    logs.lines.sort_by_key(|l| l.at);
    logs
}

#[test]
fn timeline_shows_the_request_and_events_of_its_targets() {
    let timeline = request_timeline(&logs(), "aa").unwrap();
    let order: Vec<&str> =
        ["directory: target=i-9", "chosen", "failed at=i-9", "open after", "answered"]
            .into_iter()
            .filter(|part| timeline.contains(part))
            .collect();
    assert_eq!(order.len(), 5, "{timeline}");
    assert!(!timeline.contains("i-8") && !timeline.contains("id=bb"), "{timeline}");
    assert!(timeline.contains("it may have run"), "{timeline}");
    assert!(timeline.contains("12 lines were left out"), "{timeline}");
}

#[test]
fn timeline_of_an_unknown_request_is_none() {
    assert_eq!(request_timeline(&logs(), "a"), None);
}

#[test]
fn timeline_follows_a_relayed_request_over_both_instances() {
    let timeline = request_timeline(&logs(), "gg").unwrap();
    let parts = ["reach: service=s cut_off=yes", "relayed to=edge-2", "relayed from=edge-1"];
    let found: Vec<usize> = parts.iter().filter_map(|part| timeline.find(part)).collect();
    assert!(found.len() == 3 && found.is_sorted(), "{timeline}");
    assert!(timeline.contains("answered 200 by a target"), "{timeline}");
}

#[test]
fn report_counts_each_end_by_route_and_window() {
    let report = BurnReport::from_logs(&logs(), 10.0);
    let ends = report.routes["r-a"][&0];
    let counts = RequestEnd::ALL.map(|e| ends.count(e));
    assert_eq!((counts, ends.total()), ([1, 1, 1, 0, 0], 3));
    let relayed: usize = report.routes["r-c"].values().map(|ends| ends.total() as usize).sum();
    assert_eq!(relayed, 1, "only the instance that its caller sent it to counts it");
    // A request abandoned by its caller uses up no error budget.
    assert_eq!(report.routes["r-a"][&1].total(), 0);
    assert_eq!(report.routes["r-<b>"][&1].count(RequestEnd::Failed), 1);
    let text = report.text(0.9, 10.0);
    assert!(text.contains("33.33") && text.contains("6.7") && text.contains("12 lines"), "{text}");
}

#[test]
fn report_and_timeline_show_the_workspace() {
    let report = BurnReport::from_logs(&logs(), 10.0);
    let ends = report.workspaces["acme"];
    assert_eq!((ends.count(RequestEnd::Late), ends.count(RequestEnd::Refused)), (1, 1));
    assert_eq!(report.workspaces.len(), 1, "other requests have no workspace");
    let text = report.text(0.9, 10.0);
    assert!(text.lines().any(|l| l.starts_with("acme ")), "{text}");
    let timeline = request_timeline(&logs(), "cc").unwrap();
    assert!(timeline.starts_with("request cc of workspace acme, first seen"), "{timeline}");
}

#[test]
fn html_page_is_self_contained() {
    let page = html_page(&BurnReport::from_logs(&logs(), 10.0), 0.99, 10.0).unwrap();
    assert_eq!(page.matches("<svg").count(), 2);
    assert!(page.contains("r-&lt;b>") && !page.contains("r-<b>"));
    let outside = page.replace("http://www.w3.org/2000/svg", "");
    assert!(!outside.contains("http") && !outside.contains("src="), "the page loads no other file");
}
