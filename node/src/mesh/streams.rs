use {
    super::{ask, send_datagram},
    crate::app::App,
    futures_util::{stream::FuturesUnordered, StreamExt},
    lentil_core::{
        ids::{InstanceId, Millis, ModelId},
        mesh::{MemberInfo, Message, Question, Reply, StreamNote},
        stream::{OriginAnswer, OriginSearch, StreamKey, StreamOrigin},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc},
};

/// Other instances that keep the origin of a stream.
const HOLDERS: usize = 3;
/// Instances that are asked first. The instance that began the stream may come before its holders by
/// the hash.
const FIRST_ASKED: usize = HOLDERS + 1;
/// Number of notes that fit one datagram, also with the longest names.
const NOTES_PER_DATAGRAM: usize = 4;

/// Records the origin of a stream that this instance begins or continues. If the service has several
/// software versions, other instances learn it too: the caller may resume the stream through any
/// instance, and after the loss of this one.
pub async fn announce_stream(app: &App, stream: StreamKey, origin: StreamOrigin) {
    let now = app.now();
    let several = app.fleet().software_versions(&origin.service, now).len() > 1;
    app.stream_origins().record(stream, origin.clone(), now, now);
    if several {
        send_to_holders(app, vec![StreamNote { stream, origin, age: Millis(0) }]).await;
    }
}

/// Tells other instances the origins that this one knows, each time that a service gets another
/// version; never returns. Those of a single version were not told before.
pub async fn share_stream_origins(app: Arc<App>) {
    loop {
        app.versions_changed.notified().await;
        hand_over_streams(&app).await;
    }
}

/// Tells other instances all recent origins that this one knows.
pub async fn hand_over_streams(app: &App) {
    let now = app.now();
    let notes = {
        let origins = app.stream_origins();
        let notes = origins.recent(now).map(|(stream, origin, age)| {
            let age = Millis(age.as_millis() as u64);
            StreamNote { stream, origin: origin.clone(), age }
        });
        notes.collect()
    };
    send_to_holders(app, notes).await;
}

async fn send_to_holders(app: &App, notes: Vec<StreamNote>) {
    let mut by_holder: BTreeMap<(InstanceId, SocketAddr), Vec<StreamNote>> = BTreeMap::new();
    {
        let view = app.member_view();
        for note in notes {
            for holder in view.first_by_hash(&note.stream.to_string(), HOLDERS) {
                let notes = by_holder.entry((holder.id, holder.address)).or_default();
                notes.push(note.clone());
            }
        }
    }
    for ((id, address), notes) in by_holder {
        for notes in notes.chunks(NOTES_PER_DATAGRAM) {
            let message = Message::StreamOrigins(notes.to_vec());
            send_datagram(app, address, Some(id.clone()), message).await;
        }
    }
}

/// Records origins that this instance keeps for others.
pub(super) fn record_stream_origins(app: &App, notes: Vec<StreamNote>) {
    let now = app.now();
    let mut origins = app.stream_origins();
    for StreamNote { stream, origin, age } in notes {
        origins.record(stream, origin, now.earlier(age.duration()), now);
    }
}

/// Returns what this instance knows about the origin of a stream that is to go on in `service`;
/// `stream` is `None` if its caller does not name it.
pub(super) fn own_answer(app: &App, stream: Option<StreamKey>, service: &ModelId) -> OriginAnswer {
    let now = app.now();
    let origin = stream.and_then(|stream| app.stream_origins().find(stream, now).cloned());
    let sole = app.fleet().sole_software(service, now).cloned();
    OriginAnswer { origin, sole }
}

/// Searches the origin of a stream that is to go on in `service`: first at the instances that should
/// keep it, then at all others.
pub async fn search_origin(
    app: &App,
    stream: Option<StreamKey>,
    service: &ModelId,
) -> OriginSearch {
    let mut search = OriginSearch::new(service.clone(), own_answer(app, stream, service));
    let Some(stream) = stream.filter(|_| !search.found()) else { return search };
    let (first, others) = {
        let mut all = app.member_view().first_by_hash(&stream.to_string(), usize::MAX);
        let others = all.split_off(all.len().min(FIRST_ASKED));
        (all, others)
    };
    let question = Question::StreamOrigin { stream, service: service.clone() };
    ask_each(app, first, &question, &mut search).await;
    if search.resume_at(|_| true).is_none() {
        ask_each(app, others, &question, &mut search).await;
    }
    search
}

/// Asks all of these instances at once, until one knows the origin.
async fn ask_each(
    app: &App,
    members: Vec<MemberInfo>,
    question: &Question,
    search: &mut OriginSearch,
) {
    let asked = members.iter().map(|member| ask(app, &member.id, member.address, question));
    let mut replies: FuturesUnordered<_> = asked.collect();
    while let Some(reply) = replies.next().await {
        if let Some(Reply::StreamOrigin(answer)) = reply {
            search.add(answer);
        }
        if search.found() {
            return;
        }
    }
}
