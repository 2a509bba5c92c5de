//! Frames and records that a build of commit 51ddb42 wrote: the present build reads them and writes
//! the same bytes. Guards against a change of a type that builds of both sides of an upgrade share.

mod values;

use {
    lentil_core::{
        claim::Bucket,
        manifest::ManifestRecord,
        mesh::{open, seal, Message, PullReply, Question, Reply, Update, MAX_FRAME_BYTES},
        order::Ledger,
        stream::Ticket,
    },
    serde::{de::DeserializeOwned, Serialize},
    std::{collections::BTreeSet, fmt::Debug},
    values::{envelope, KEY},
};

fn bytes(hex: &str) -> Vec<u8> {
    let digit = |i: usize| u8::from_str_radix(&hex[i..i + 2], 16).unwrap();
    (0..hex.len()).step_by(2).map(digit).collect()
}

/// The recorded frames by name.
fn frames() -> Vec<(&'static str, Vec<u8>)> {
    let lines = include_str!("../data/frames-51ddb42.txt").lines();
    let row = |line: &'static str| line.split_once(' ').map(|(name, hex)| (name, bytes(hex)));
    lines.filter_map(row).collect()
}

#[test]
fn frame_is_decoded_and_encoded_as_recorded() {
    let values = values::messages();
    let frames = frames();
    assert_eq!(frames.len(), values.len());
    let mut wrong = Vec::new();
    for ((name, frame), (value_name, message)) in frames.iter().zip(values) {
        assert_eq!(*name, value_name);
        let expected = envelope(message);
        if open(frame, KEY, MAX_FRAME_BYTES).as_ref() != Ok(&expected) {
            wrong.push(format!("{name} is decoded as another value"));
        }
        if seal(&expected, KEY, MAX_FRAME_BYTES).as_ref() != Ok(frame) {
            wrong.push(format!("{name} is encoded otherwise"));
        }
    }
    assert!(wrong.is_empty(), "{}", wrong.join("\n"));
}

/// Returns the path of a message's variants. Without a wildcard, so that a variant added to a type
/// of version 1 does not compile here.
fn variants(message: &Message) -> String {
    match message {
        Message::Heartbeat(heartbeat) => {
            let updates = heartbeat.updates.iter().map(|update| match update {
                Update::Member { state, .. } => format!("member-{state:?}"),
                Update::Crashed { .. } => "crashed".into(),
                Update::Leaving { .. } => "leaving".into(),
                Update::Paused { .. } => "paused".into(),
                Update::CellHolder { .. } => "cell_holder".into(),
            });
            format!("heartbeat/{}", updates.collect::<Vec<_>>().join(","))
        }
        Message::Demand(_) => "demand".into(),
        Message::Pull { .. } => "pull".into(),
        Message::PullReply(reply) => match reply {
            PullReply::Unchanged => "pull_reply/unchanged".into(),
            PullReply::Edits { .. } => "pull_reply/edits".into(),
            PullReply::Full { .. } => "pull_reply/full".into(),
        },
        Message::StepDown { .. } => "step_down".into(),
        Message::SteppedDown => "stepped_down".into(),
        Message::Refused => "refused".into(),
        Message::InFlight(_) => "in_flight".into(),
        Message::PrefixLocations(_) => "prefix_locations".into(),
        Message::Targets(_) => "targets".into(),
        Message::Crashes(_) => "crashes".into(),
        Message::QuarantineDigest(_) => "quarantine_digest".into(),
        Message::PullQuarantine => "pull_quarantine".into(),
        Message::Limits(_) => "limits".into(),
        Message::StreamOrigins(_) => "stream_origins".into(),
        Message::Question { question, .. } => match question {
            Question::Permit(_) => "question/permit".into(),
            Question::StreamOrigin { .. } => "question/stream_origin".into(),
            Question::Reach(_) => "question/reach".into(),
        },
        Message::Reply { reply, .. } => match reply {
            Reply::Permit(_) => "reply/permit".into(),
            Reply::AskInstead(..) => "reply/ask_instead".into(),
            Reply::StreamOrigin(_) => "reply/stream_origin".into(),
            Reply::Unknown => "reply/unknown".into(),
            Reply::Reach(_) => "reply/reach".into(),
        },
        Message::ClearedParts(_) => "cleared_parts".into(),
        Message::Relayed(_) => "relayed".into(),
    }
}

/// Guards against a variant without a recorded frame.
#[test]
fn frames_cover_each_variant() {
    let recorded: BTreeSet<String> =
        values::messages().iter().map(|(_, message)| variants(message)).collect();
    // 15 messages without variants of their own, 3 pull replies, 3 questions, 5 replies; heartbeats:
    // one without updates, 8 with one (4 states of a member and 4 other updates) and one with all.
    assert_eq!(recorded.len(), 15 + 3 + 3 + 5 + 10, "{recorded:?}");
}

/// Asserts that `text` is decoded to `value`, which is encoded as `text`.
fn assert_record<T: DeserializeOwned + Serialize + PartialEq + Debug>(text: &str, value: &T) {
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), value);
    assert_eq!(serde_json::to_string(value).unwrap(), text);
}

#[test]
fn stored_record_is_decoded_and_encoded_as_recorded() {
    assert_record::<Ledger>(include_str!("../data/ledger-51ddb42.json"), &values::ledger());
    assert_record::<Bucket>(include_str!("../data/claims-51ddb42.json"), &values::bucket());
    let manifest = include_str!("../data/manifest-51ddb42.json");
    assert_record::<ManifestRecord>(manifest, &values::manifest_record());
}

#[test]
fn stream_id_is_decoded_and_encoded_as_recorded() {
    let text = include_str!("../data/ticket-51ddb42.txt");
    assert_eq!(Ticket::open(text, KEY).as_ref(), Ok(&values::ticket()));
    assert_eq!(values::ticket().seal(KEY), text);
}

/// Guards against builds that choose different instances for one duty.
#[test]
fn duties_are_assigned_as_recorded() {
    let recorded: Vec<&str> = include_str!("../data/duties-51ddb42.txt").lines().collect();
    assert_eq!(values::duties(), recorded);
}
