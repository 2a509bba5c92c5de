use {
    super::*,
    crate::{
        clock::Time,
        error::ErrorKind,
        ids::{Millis, Tokens, WorkspaceId},
        manifest::ClassSpec,
        route::{Pick, Wait},
    },
    std::time::Duration,
};

const CLASS: ClassSpec =
    ClassSpec { first: Millis(480), between: Millis(78), deadline: Millis(10_000), priority: 1 };

fn pick(first: u64, end: u64) -> Pick {
    let millis = Duration::from_millis;
    Pick {
        assumed: false,
        decode: 0,
        prefill: None,
        first_token: millis(first),
        queue_wait: millis(first / 2),
        wait: Wait::default(),
        end: millis(end),
        hit: Tokens(0),
        fetch: None,
    }
}

fn refusal(waited: u64, pick: &Pick, usage: &WorkspaceUsage) -> Option<ErrorKind> {
    let workspace: WorkspaceId = "w".parse().unwrap();
    let waited = Duration::from_millis(waited);
    let request = AdmissionRequest { workspace: &workspace, share: 1.0, class: &CLASS, waited };
    admit(&request, pick, usage, Time::ZERO).err().map(|f| f.kind)
}

#[test]
fn admit_refuses_requests_that_would_be_late() {
    let usage = WorkspaceUsage::default();
    assert_eq!(refusal(0, &pick(480, 10_000), &usage), None);
    assert_eq!(refusal(0, &pick(481, 1_000), &usage), Some(ErrorKind::NoCapacity));
    assert_eq!(refusal(0, &pick(100, 10_001), &usage), Some(ErrorKind::NoCapacity));
    assert_eq!(refusal(400, &pick(100, 1_000), &usage), Some(ErrorKind::NoCapacity));
}

#[test]
fn admit_enforces_shares_only_under_contention() {
    let now = Time::ZERO;
    let mut usage = WorkspaceUsage::default();
    usage.record_use(&"w".parse().unwrap(), 1.0, 10.0, now);
    assert_eq!(refusal(0, &pick(400, 1_000), &usage), None, "only one workspace");
    usage.record_use(&"x".parse().unwrap(), 1.0, 1.0, now);
    assert_eq!(refusal(0, &pick(400, 1_000), &usage), Some(ErrorKind::OverShare));
    assert_eq!(refusal(0, &pick(100, 1_000), &usage), None, "no contention");
}

#[test]
fn recorded_use_decays() {
    let (w, x) = ("w".parse().unwrap(), "x".parse().unwrap());
    let mut usage = WorkspaceUsage::default();
    usage.record_use(&w, 1.0, 10.0, Time::ZERO);
    let later = Time::from_secs_f64(60.0);
    usage.record_use(&x, 1.0, 1.0, later);
    assert!(!usage.is_over_share(&w, 1.0, later));
    assert!(usage.is_over_share(&x, 1.0, later));
}
