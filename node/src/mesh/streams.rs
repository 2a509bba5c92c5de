use {
    super::{ask, send_datagram},
    crate::{app::App, follow::refresh_software},
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
/// keep it, then at all others. If none knows it, the stream goes on at the service's only version.
/// The store tells which versions have begun streams. Without the store, the instances' own knowledge
/// does if all answer and none was lost since this one last read the record: an instance knows the
/// origins of its own streams.
pub async fn search_origin(
    app: &App,
    stream: Option<StreamKey>,
    service: &ModelId,
) -> OriginSearch {
    let began = app.now();
    let mut search = OriginSearch::new(service.clone(), own_answer(app, stream, service));
    if search.found() {
        return search;
    }
    // The others still tell which version they call the only one if the caller does not name the stream.
    let stream = stream.unwrap_or_else(|| StreamKey::of(""));
    let (first, mut others) = {
        let mut all = app.member_view().first_by_hash(&stream.to_string(), usize::MAX);
        let others = all.split_off(all.len().min(FIRST_ASKED));
        (all, others)
    };
    let question = Question::StreamOrigin { stream, service: service.clone() };
    let mut answered = ask_each(app, first, &question, &mut search).await;
    if search.resume_at(|_| true).is_none() {
        answered &= ask_each(app, std::mem::take(&mut others), &question, &mut search).await;
    }
    if search.found() || search.resume_at(|_| true).is_none() {
        return search;
    }
    let Err(error) = refresh_software(app, began).await else {
        search.add(own_answer(app, Some(stream), service));
        if search.resume_at(|_| true).is_none() {
            // The others may know the origin, also before they know the version that was recorded last.
            ask_each(app, others, &question, &mut search).await;
        }
        return search;
    };
    answered &= ask_each(app, others, &question, &mut search).await;
    let known = app.fleet().software.known();
    let whole = known.is_some_and(|at| app.member_view().is_whole_since(at));
    if !(answered && whole || search.found()) {
        log::info!("software: recorded versions not read for a resumed stream: {error}");
        search.add(OriginAnswer::default());
    }
    search
}

/// Asks all of these instances at once, until one knows the origin. Returns whether all have answered.
async fn ask_each(
    app: &App,
    members: Vec<MemberInfo>,
    question: &Question,
    search: &mut OriginSearch,
) -> bool {
    let asked = members.iter().map(|member| ask(app, &member.id, member.address, question));
    let mut replies: FuturesUnordered<_> = asked.collect();
    let mut all = true;
    while let Some(reply) = replies.next().await {
        match reply {
            Some(Reply::StreamOrigin(answer)) => search.add(answer),
            _ => all = false,
        }
        if search.found() {
            return true;
        }
    }
    all
}
