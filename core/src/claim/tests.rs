use {
    super::*,
    crate::{
        ids::{Fingerprint, Incarnation, Millis, RunId},
        order::Holder,
    },
};

fn holder(name: &str) -> Holder {
    Holder { instance: name.parse().unwrap(), start: Incarnation(1) }
}

fn key(text: &str) -> ClaimKey {
    ClaimKey::new(&"c".parse().unwrap(), "s", text)
}

fn ask(by: &str, body: u64) -> ClaimEdit {
    ClaimEdit::Claim { body: Fingerprint(body), by: holder(by), run: run(by) }
}

fn run(name: &str) -> RunId {
    format!("run-{name}").parse().unwrap()
}

fn ended() -> ClaimStage {
    ClaimStage::Answered(StoredAnswer { status: 200, kind: None, body: Some("ok".into()) })
}

#[test]
fn apply_grants_a_key_once() {
    let mut bucket = Bucket::empty("w".parse().unwrap());
    let k = key("1");
    assert_eq!(bucket.apply(k, &ask("a", 1), Millis(0)), ClaimResult::Granted);
    assert_eq!(bucket.apply(k, &ask("b", 1), Millis(1)), ClaimResult::Taken(holder("a")));
    assert_eq!(bucket.apply(k, &ask("a", 1), Millis(1)), ClaimResult::Granted, "the same run");
    assert_eq!(bucket.apply(k, &ask("b", 2), Millis(1)), ClaimResult::KeyReused);
    let end = ClaimEdit::End { run: run("a"), stage: ended() };
    bucket.apply(k, &end, Millis(2));
    assert!(matches!(bucket.apply(k, &ask("b", 1), Millis(3)), ClaimResult::Answered(_)));
}

#[test]
fn apply_lets_only_the_holder_end_or_release() {
    let mut bucket = Bucket::empty("w".parse().unwrap());
    let k = key("1");
    bucket.apply(k, &ask("a", 1), Millis(0));
    bucket.apply(k, &ClaimEdit::Release { run: run("b") }, Millis(1));
    bucket.apply(k, &ClaimEdit::End { run: run("b"), stage: ended() }, Millis(1));
    assert_eq!(bucket.claims[&k].stage, ClaimStage::Claimed);
    bucket.apply(k, &ClaimEdit::Release { run: run("a") }, Millis(1));
    assert!(bucket.claims.is_empty());
}

#[test]
fn prune_keeps_open_claims() {
    let mut bucket = Bucket::empty("w".parse().unwrap());
    bucket.apply(key("open"), &ask("a", 1), Millis(0));
    bucket.apply(key("done"), &ask("a", 1), Millis(0));
    bucket.apply(key("done"), &ClaimEdit::End { run: run("a"), stage: ended() }, Millis(0));
    bucket.prune(Millis(5_000), Millis(1_000));
    assert_eq!(bucket.claims.keys().collect::<Vec<_>>(), [&key("open")]);
}

#[test]
fn bucket_of_the_largest_answers_fits_a_store_value() {
    let mut bucket = Bucket::empty("w".parse().unwrap());
    for i in 0..=MAX_BUCKET_CLAIMS {
        let k = key(&i.to_string());
        let verdict = bucket.apply(k, &ask("a", 1), Millis(0));
        assert_eq!(verdict == ClaimResult::Full, i == MAX_BUCKET_CLAIMS);
        let answer = StoredAnswer {
            status: 200,
            kind: Some("application/json".into()),
            body: Some("x".repeat(MAX_STORED_BODY_BYTES)),
        };
        let end = ClaimEdit::End { run: run("a"), stage: ClaimStage::Answered(answer) };
        bucket.apply(k, &end, Millis(0));
    }
    assert!(serde_json::to_vec(&bucket).unwrap().len() < 1_000_000);
}
