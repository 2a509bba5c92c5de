//! The values of the recorded frames and records. Commit 51ddb42 wrote the files in `tests/data`
//! from these values; both the values and the files stay as they are.

use {
    lentil_core::{
        claim::{Bucket, Claim, ClaimKey, ClaimStage, StoredAnswer},
        fleet::{
            prefix_blocks, InFlight, PrefixNote, PrefixProgress, QueuedTokens, Registration,
            TargetBatch, TargetChange,
        },
        ids::{
            Fence, Fingerprint, Incarnation, Millis, PrefixHash, Rank, RequestRate, Revision,
            Tokens,
        },
        limit::Permit,
        manifest::{Change, ClassSpec, Edit, Manifest, ManifestRecord, Repeat, Role},
        mesh::{
            CrashNote, DemandNote, DetectorTiming, Envelope, Heartbeat, InFlightNote, LimitNote,
            MemberInfo, MemberState, MemberView, Message, PermitRequest, PullReply, Question,
            RelayOffer, RelayedRequest, Reply, StreamNote, Update,
        },
        order::{Entry, Holder, Ledger, Order, Stage},
        plan::Demand,
        poison::{Crash, Quarantine, Subject},
        route::RoutingRequest,
        routes::Route,
        stream::{OriginAnswer, StreamKey, StreamOrigin, Ticket},
    },
    std::{collections::BTreeMap, net::SocketAddr, str::FromStr, time::Duration},
};

pub const KEY: &[u8] = b"0123456789abcdef";

fn name<T: FromStr>(text: &str) -> T {
    text.parse().ok().expect("valid name")
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 2, 3], port))
}

fn holder() -> Holder {
    Holder { instance: name("e-1"), start: Incarnation(1_767_225_600_123) }
}

fn info(id: &str) -> MemberInfo {
    MemberInfo {
        id: name(id),
        start: Incarnation(1_767_225_600_456),
        refutations: 3,
        address: "[::1]:7201".parse().expect("valid address"),
        region: name("north"),
        zone: name("north-a"),
    }
}

fn crash() -> Crash {
    Crash { engine: name("s-17"), boot: Incarnation(44) }
}

fn class() -> ClassSpec {
    ClassSpec { first: Millis(800), between: Millis(45), deadline: Millis(30_000), priority: 7 }
}

fn route() -> Route {
    Route {
        name: name("chat"),
        host: "api.example".into(),
        prefix: "/v1/".into(),
        services: [(name("large"), 3.0), (name("small"), 0.5)].into_iter().collect(),
        repeat: Repeat::Keyed,
        streams: true,
        resumable: true,
        attempts: 3,
        timeout: Millis(60_000),
        idle_timeout: Millis(9_000),
        class: class(),
    }
}

fn routing(full: bool) -> RoutingRequest {
    RoutingRequest {
        model: name("large"),
        adapter: full.then(|| name("fr")),
        prompt: Tokens(17_020),
        output: Tokens(212),
        blocks: if full {
            [1, u64::MAX, 77].map(PrefixHash).into_iter().collect()
        } else {
            Default::default()
        },
        lengths: if full { [13_300, 3_720].into_iter().collect() } else { Default::default() },
        resumable: full,
        software: full.then(|| name("2026.1-rc3")),
        excluded: if full {
            [name("s-1"), name("s-2"), name("s-3")].into_iter().collect()
        } else {
            Default::default()
        },
        class: class(),
        rank: Rank::new(6),
    }
}

fn relayed(full: bool) -> Message {
    Message::Relayed(Box::new(RelayedRequest {
        id: "q-81".into(),
        method: "POST".into(),
        path: "/v1/run?x=1".into(),
        headers: vec![("host".into(), b"api.example".to_vec()), ("x-bin".into(), vec![0, 255])],
        checksum: Fingerprint(0xfeed_beef_0102_0304),
        route: route(),
        version: Revision(4_711),
        routing: routing(full),
        max: 512,
        waited: Millis(12),
        remaining: Millis(29_000),
        sends: 2,
        last_event: full.then_some(300),
        resumes: full.then(|| "q-80".into()),
    }))
}

fn in_flight() -> InFlight {
    let mut tokens = QueuedTokens::default();
    tokens.add(Rank::new(1), Tokens(500));
    tokens.add(Rank::new(6), Tokens(70_000));
    InFlight { tokens, runs: 9 }
}

fn registration(full: bool) -> Registration {
    Registration {
        id: name("s-17"),
        boot: Incarnation(44),
        service: name("large"),
        address: address(8_080),
        region: name("north"),
        zone: name("north-a"),
        role: if full { Role::Prefill } else { Role::Decode },
        slots: 48,
        software: name("2026.1-rc3"),
        leaving: full,
        spot: None,
        leaves: None,
        weights: full.then_some(12),
    }
}

fn origin() -> StreamOrigin {
    StreamOrigin { service: name("large"), software: name("2026.1-rc3") }
}

fn heartbeat(updates: Vec<Update>) -> Message {
    Message::Heartbeat(Heartbeat { me: info("e-1"), reply: true, revision: Revision(300), updates })
}

fn updates() -> Vec<(&'static str, Update)> {
    let member = |state| Update::Member { info: info("e-2"), state };
    let paused =
        |paused, role| Update::Paused { engine: name("s-17"), number: 1 << 40, paused, role };
    let part = Subject::Part(PrefixHash(99));
    let request = Subject::Request(Fingerprint(98));
    vec![
        ("alive", member(MemberState::Alive)),
        ("suspect", member(MemberState::Suspect)),
        ("dead", member(MemberState::Dead)),
        ("left", member(MemberState::Left)),
        ("crashed_request", Update::Crashed { subject: request, crash: crash() }),
        ("crashed_part", Update::Crashed { subject: part, crash: crash() }),
        ("leaving", Update::Leaving { engine: name("s-17"), boot: Incarnation(44) }),
        ("paused", paused(true, None)),
        ("resumed_prefill", paused(false, Some(Role::Prefill))),
        ("resumed_decode", paused(false, Some(Role::Decode))),
        (
            "cell_holder",
            Update::CellHolder {
                cell: name("roles-large"),
                holder: holder(),
                address: address(7_201),
                number: Fence(8_000),
            },
        ),
    ]
}

fn manifest() -> Manifest {
    Manifest::parse(include_str!("manifest.json")).expect("valid manifest")
}

fn edit() -> Edit {
    let change = Change {
        section: "callers".into(),
        entry: "app".into(),
        old: None,
        new: Some("{}".into()),
    };
    Edit { base: Revision(7), writer: name("w-1"), changes: vec![change] }
}

pub fn manifest_record() -> ManifestRecord {
    ManifestRecord { writer: name("w-2"), manifest: manifest(), recent: [edit()].into() }
}

fn digest() -> lentil_core::poison::QuarantineDigest {
    let now = lentil_core::clock::Time::from_millis(5_000);
    let mut quarantine = Quarantine::default();
    for boot in 1..5 {
        let crash = Crash { engine: name(&format!("s-{boot}")), boot: Incarnation(boot) };
        quarantine.record_past_crash(Fingerprint(98), crash, Duration::ZERO, now);
    }
    quarantine.digest(now)
}

/// Every message, and every variant in it, with a name.
pub fn messages() -> Vec<(String, Message)> {
    let mut all: Vec<(String, Message)> = vec![("heartbeat".into(), heartbeat(Vec::new()))];
    for (name, update) in updates() {
        all.push((format!("update_{name}"), heartbeat(vec![update])));
    }
    let all_updates = updates().into_iter().map(|(_, update)| update).collect();
    let demand = Demand {
        prefill: 1.5,
        mixed: 0.25,
        decode: 4_000.0,
        long: 36.0,
        short: 652.0,
        ttft_budget: 28.8,
    };
    let demand = DemandNote { cell: name("roles-large"), model: name("large"), demand };
    let rate = RequestRate::new(2.5).expect("valid rate");
    let limit =
        |rate| LimitNote { engine: name("s-17"), boot: Incarnation(44), rate, age: Millis(21) };
    let prefix = |progress| PrefixNote { prefix: PrefixHash(5), engine: name("s-17"), progress };
    let stream = StreamKey::of("q-80");
    let batch = TargetBatch {
        from: Revision(10),
        to: Revision(13),
        changes: vec![
            TargetChange::Present(registration(true)),
            TargetChange::Present(registration(false)),
            TargetChange::Gone(name("s-3")),
        ],
    };
    let crash_note = |subject| CrashNote { subject, crash: crash(), age: Millis(900) };
    let permit = PermitRequest {
        engine: name("s-17"),
        boot: Incarnation(44),
        rate,
        wait: Duration::from_micros(1_234_567),
    };
    let question = |question| Message::Question { number: 81, question };
    let reply = |reply| Message::Reply { number: 81, reply };
    let granted =
        Permit::Granted { wait: Duration::from_millis(7), next: Duration::from_nanos(400_000_001) };
    let known = OriginAnswer { origin: Some(origin()), sole: Some(name("2026.1")) };
    let record = Box::new(manifest_record());
    let rows: Vec<(&str, Message)> = vec![
        ("heartbeat_all_updates", heartbeat(all_updates)),
        ("demand", Message::Demand(vec![demand])),
        ("pull", Message::Pull { have: Revision(3) }),
        ("pull_reply_unchanged", Message::PullReply(PullReply::Unchanged)),
        (
            "pull_reply_edits",
            Message::PullReply(PullReply::Edits { revision: Revision(8), edits: vec![edit()] }),
        ),
        ("pull_reply_full", Message::PullReply(PullReply::Full { revision: Revision(8), record })),
        ("step_down", Message::StepDown { cell: name("roles-large"), holder: holder() }),
        ("stepped_down", Message::SteppedDown),
        ("refused", Message::Refused),
        (
            "in_flight",
            Message::InFlight(vec![InFlightNote { engine: name("s-17"), in_flight: in_flight() }]),
        ),
        (
            "prefix_locations",
            Message::PrefixLocations(vec![
                prefix(PrefixProgress::Prefilling),
                prefix(PrefixProgress::Ready),
            ]),
        ),
        ("targets", Message::Targets(vec![batch])),
        (
            "crashes",
            Message::Crashes(vec![
                crash_note(Fingerprint(98).into()),
                crash_note(PrefixHash(99).into()),
            ]),
        ),
        ("quarantine_digest", Message::QuarantineDigest(digest())),
        ("pull_quarantine", Message::PullQuarantine),
        ("limits", Message::Limits(vec![limit(Some(rate)), limit(None)])),
        (
            "stream_origins",
            Message::StreamOrigins(vec![StreamNote { stream, origin: origin(), age: Millis(77) }]),
        ),
        ("question_permit", question(Question::Permit(permit))),
        (
            "question_stream_origin",
            question(Question::StreamOrigin { stream, service: name("large") }),
        ),
        ("question_reach", question(Question::Reach(name("large")))),
        ("reply_permit_granted", reply(Reply::Permit(granted))),
        (
            "reply_permit_denied",
            reply(Reply::Permit(Permit::Denied { next: Duration::from_secs(3) })),
        ),
        ("reply_ask_instead", reply(Reply::AskInstead(name("e-2"), address(7_201)))),
        ("reply_stream_origin", reply(Reply::StreamOrigin(known))),
        ("reply_stream_origin_none", reply(Reply::StreamOrigin(OriginAnswer::default()))),
        ("reply_unknown", reply(Reply::Unknown)),
        ("reply_reach", reply(Reply::Reach(RelayOffer { address: address(7_202), targets: 4 }))),
        ("cleared_parts", Message::ClearedParts(vec![PrefixHash(1), PrefixHash(u64::MAX)])),
        ("relayed", relayed(true)),
        ("relayed_minimal", relayed(false)),
    ];
    all.extend(rows.into_iter().map(|(name, message)| (name.to_owned(), message)));
    all
}

/// The envelope of the recorded frame with a message.
pub fn envelope(body: Message) -> Envelope {
    Envelope { from: holder(), to: Some(name("e-9")), number: 70_000, body }
}

pub fn ledger() -> Ledger {
    let entry = |order, stage, before| Entry {
        number: Fence(12),
        order,
        by: holder(),
        boot: Incarnation(44),
        before,
        stage,
    };
    let load = Order::Load { adapter: name("fr"), version: name("3") };
    Ledger {
        writer: name("w-3"),
        holder: holder(),
        number: Fence(14),
        entries: BTreeMap::from([
            (name("s-1"), entry(Order::Hold, Stage::Settled, None)),
            (name("s-2"), entry(Order::Role(Role::Prefill), Stage::Open, Some(4))),
            (name("s-3"), entry(load, Stage::Sent, None)),
            (name("s-4"), entry(Order::Model(name("12")), Stage::Restarted, None)),
        ]),
    }
}

pub fn bucket() -> Bucket {
    let answer =
        StoredAnswer { status: 201, kind: Some("text/plain".into()), body: Some("done".into()) };
    let claim = |stage| Claim {
        body: Fingerprint(11),
        by: holder(),
        run: name("r-1"),
        at: Millis(1_767_225_600_000),
        stage,
    };
    let key = |n: &str| ClaimKey::new(&name("app"), "bookings", n);
    Bucket {
        writer: name("w-4"),
        claims: BTreeMap::from([
            (key("1"), claim(ClaimStage::Claimed)),
            (key("2"), claim(ClaimStage::Answered(answer))),
            (key("3"), claim(ClaimStage::Unknown)),
        ]),
    }
}

pub fn ticket() -> Ticket {
    Ticket { engine: name("s-17"), run: name("r-1"), base: 300, caller: name("app") }
}

/// Results of the functions that assign duties, for the members `e-0` to `e-39` in three zones of
/// two regions, as each of the first instances sees them.
pub fn duties() -> Vec<String> {
    let member = |i: usize| MemberInfo {
        id: name(&format!("e-{i}")),
        start: Incarnation(1),
        refutations: 0,
        address: address(7_000 + i as u16),
        region: name(["north", "south"][usize::from(i >= 30)]),
        zone: name(&format!("z{}", i % 3)),
    };
    let now = lentil_core::clock::Time::from_millis(1_000);
    let timing = DetectorTiming { interval: Duration::from_millis(100) };
    let trial = Subject::Part(PrefixHash(0xfeed)).to_string();
    let origin = StreamKey::of("q-80").to_string();
    let duties =
        ["targets", "software", "manifest", "suspects", "roles-large", "s-17", &trial, &origin];
    let mut lines = vec![format!("trial={trial} origin={origin}")];
    let prompt: String = (0..300).map(|i| format!("word{i} ")).collect();
    let blocks = prefix_blocks(&prompt);
    lines.push(format!("blocks={:?}", blocks.iter().map(|b| b.0).collect::<Vec<_>>()));
    for (listed, me) in [(1, 0), (2, 0), (2, 1), (7, 3), (40, 0), (40, 5), (40, 13), (40, 29)] {
        let mut view = MemberView::new(member(me), timing);
        for i in (0..listed).filter(|i| *i != me) {
            let state = if i % 8 == 6 { MemberState::Suspect } else { MemberState::Alive };
            view.apply(&member(i), state, now);
        }
        let (north, south) = (name("north"), name("south"));
        for duty in duties {
            let holder = |region| match view.duty_holder(duty, region) {
                Some(m) => m.id.to_string(),
                None => "none".into(),
            };
            let first: Vec<String> =
                view.first_by_hash(duty, 4).iter().map(|m| m.id.to_string()).collect();
            lines.push(format!(
                "members={listed} me=e-{me} duty={duty} rank_for={} rank_among_live={} rank_in_zone={} holder={},{} first={}",
                view.rank_for(duty, &north),
                view.rank_among_live(duty, &north),
                view.rank_in_zone(duty),
                holder(&north),
                holder(&south),
                first.join(","),
            ));
        }
    }
    lines
}
