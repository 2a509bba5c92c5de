use {super::*, std::collections::HashSet, std::time::Duration};

#[test]
fn answers_have_distinct_codes() {
    let codes: HashSet<_> = ErrorKind::ALL.iter().map(|k| k.answer().code).collect();
    assert_eq!(codes.len(), ErrorKind::ALL.len());
}

#[test]
fn answers_429_and_503_have_a_retry_wait() {
    for kind in ErrorKind::ALL {
        let answer = kind.answer();
        let busy = [429, 503].contains(&answer.status);
        assert!(!busy || answer.retry.is_some(), "{kind}");
    }
}

#[test]
fn answer_after_sending_has_unknown_outcome() {
    for kind in [ErrorKind::TargetLost, ErrorKind::TargetTimeout, ErrorKind::BadAnswer] {
        assert_eq!(kind.answer().outcome, Outcome::Unknown, "{kind}");
    }
}

#[test]
fn with_min_retry_never_shortens_the_wait() {
    let fault = Fault::new(ErrorKind::NoClaims, "down").with_min_retry(Duration::from_millis(10));
    assert_eq!(fault.retry, ErrorKind::NoClaims.answer().retry);
}
