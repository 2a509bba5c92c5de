//! Frames of version 2: every message survives the encoding, and what a later build adds is skipped.

use {
    lentil_core::{
        ids::Incarnation,
        mesh::{
            open, open_extensions, seal_extensions, ClearedRequests, Extension, ExtensionEnvelope,
            FrameError, PaceEntry, RoutesQuery, RoutesState, TargetCheck, TargetPace, TargetState,
            TrialReply, TrialRequest, UsageCounts, VersionRange, WindowCounts, WorkspaceCount,
            WorkspaceEntry, WorkspaceUse, MAX_DATAGRAM_BYTES,
        },
        order::Holder,
    },
    prost::Message,
};

const KEY: &[u8] = b"0123456789abcdef";

fn messages() -> Vec<Extension> {
    let entry = WorkspaceEntry { workspace: "huka270".into(), used: 1.25, share: 0.1 };
    let counts = vec![WorkspaceCount { workspace: "huka270".into(), count: 412 }];
    vec![
        Extension::WorkspaceUse(WorkspaceUse { entries: vec![entry], total: 2.5 }),
        Extension::UsageCounts(UsageCounts {
            sent_ms: 1_767_225_600_000,
            windows: vec![WindowCounts { window: 353_445_120, counts }],
            part: 0,
            parts: 1,
            holder: Some(4),
            next: Some(353_445_121),
        }),
        Extension::TargetPace(TargetPace {
            entries: vec![PaceEntry { target: "e7".into(), pace: 250, age_ms: 40 }],
        }),
        Extension::RoutesQuery(RoutesQuery { number: 9 }),
        Extension::RoutesState(RoutesState { number: 9, version: 4_300, age_ms: Some(820) }),
        Extension::ClearedRequests(ClearedRequests { requests: vec![u64::MAX, 7] }),
        Extension::TargetCheck(TargetCheck { number: 3, target: "e7".into(), boot: 41 }),
        Extension::TargetState(TargetState { number: 3, alive: true }),
        Extension::TrialRequest(TrialRequest {
            number: 4,
            requests: vec![u64::MAX],
            parts: vec![7],
        }),
        Extension::TrialReply(TrialReply { number: 4, granted: true }),
    ]
}

fn envelope(messages: Vec<Extension>) -> ExtensionEnvelope {
    ExtensionEnvelope {
        from: Holder { instance: "a".parse().unwrap(), start: Incarnation(7) },
        to: Some("b".parse().unwrap()),
        number: 3,
        versions: VersionRange::OWN,
        messages,
        unknown: 0,
    }
}

/// Guards against a variant that is missing from the list of tags: it would be encoded and then
/// counted as unknown by the receiver.
#[test]
fn open_extensions_returns_every_message_that_was_sealed() {
    let sent = envelope(messages());
    let frame = seal_extensions(sent.clone(), KEY, MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(open_extensions(&frame, KEY, MAX_DATAGRAM_BYTES), Ok(sent));
    assert_eq!(open(&frame, KEY, MAX_DATAGRAM_BYTES), Err(FrameError::UnsupportedVersion(2)));
    let mut altered = frame;
    altered[4] ^= 1;
    assert_eq!(open_extensions(&altered, KEY, MAX_DATAGRAM_BYTES), Err(FrameError::Mac));
}

/// A message and a field with tags that this build doesn't have, as a later build writes them.
#[derive(Clone, PartialEq, Message)]
struct LaterEnvelope {
    #[prost(string, tag = "1")]
    instance: String,
    #[prost(uint64, tag = "2")]
    start: u64,
    #[prost(uint64, tag = "4")]
    number: u64,
    #[prost(uint32, tag = "6")]
    max_version: u32,
    #[prost(message, repeated, tag = "7")]
    messages: Vec<LaterMessage>,
    #[prost(string, tag = "90")]
    added: String,
}

#[derive(Clone, PartialEq, Message)]
struct LaterMessage {
    #[prost(message, optional, tag = "3")]
    pace: Option<LaterPace>,
    #[prost(message, optional, tag = "80")]
    added: Option<LaterPace>,
}

#[derive(Clone, PartialEq, Message)]
struct LaterPace {
    #[prost(message, repeated, tag = "1")]
    entries: Vec<PaceEntry>,
    #[prost(double, repeated, tag = "70")]
    added: Vec<f64>,
}

/// Guards against a frame of a later build being refused as a whole.
#[test]
fn open_extensions_skips_messages_and_fields_that_it_does_not_know() {
    let entries = vec![PaceEntry { target: "e7".into(), pace: 90, age_ms: 5 }];
    let pace = LaterPace { entries: entries.clone(), added: vec![0.5, 1.5] };
    let messages = vec![
        LaterMessage { pace: None, added: Some(pace.clone()) },
        LaterMessage { pace: Some(pace), added: None },
    ];
    let later = LaterEnvelope {
        instance: "a".into(),
        start: 7,
        number: 1,
        max_version: 9,
        messages,
        added: "x".into(),
    };
    let frame = seal_raw(&later.encode_to_vec());
    let opened = open_extensions(&frame, KEY, MAX_DATAGRAM_BYTES).unwrap();
    assert_eq!(opened.unknown, 1);
    assert_eq!(opened.messages, [Extension::TargetPace(TargetPace { entries })]);
    assert!(opened.versions.contains(9));
}

/// Seals an encoded envelope as [`seal_extensions`] does.
fn seal_raw(body: &[u8]) -> Vec<u8> {
    use hmac::Mac;
    let mut frame = vec![2];
    frame.extend_from_slice(body);
    let mut mac = hmac::Hmac::<sha2::Sha256>::new_from_slice(KEY).unwrap();
    mac.update(b"mesh");
    mac.update(&frame);
    let tag = mac.finalize().into_bytes();
    frame.extend_from_slice(&tag[..16]);
    frame
}
