use {super::*, std::collections::HashSet, std::time::Duration};

#[test]
fn answer_codes_are_distinct() {
    let codes: HashSet<_> = ErrorKind::ALL.iter().map(|k| k.answer().code).collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
}

#[test]
fn answer_refusals_for_load_say_when_to_return() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let busy = [429, 503].contains(&answer.status);
        assert!(!busy || answer.retry.is_some(), "{kind}");
    }
}

#[test]
fn answer_after_sending_is_never_not_run() {
    for kind in [ErrorKind::TargetLost, ErrorKind::TargetTimeout, ErrorKind::BadAnswer] {
        assert_eq!(kind.answer().outcome, Outcome::Unknown, "{kind}");
    }
}

#[test]
fn after_never_shortens_the_wait() {
    let fault = Fault::new(ErrorKind::NoClaims, "down").with_min_retry(Duration::from_millis(10));
    assert_eq!(fault.retry, ErrorKind::NoClaims.answer().retry);
}
