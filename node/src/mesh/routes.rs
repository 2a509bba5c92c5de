use {
    super::extensions::send_extension,
    crate::app::App,
    lentil_core::{
        clock::Time,
        ids::Revision,
        mesh::{Extension, MemberInfo, RoutesQuery, RoutesState},
        order::Holder,
        routes::PeerTable,
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{sleep, timeout},
};

/// Duty of watching the routes closely, for which the instances are ranked by hash.
const WATCH_DUTY: &str = "routes";
/// Number of instances that watch closely. The loss of one leaves the others an answer.
const ROUTE_WATCHERS: usize = 2;
/// Interval between two questions to a close watcher.
const QUERY_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a question or its answer counts as lost. An instance whose processor quota is
/// used up answers late.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns whether this instance watches the routes closely, and tells the others whether theirs are
/// the current ones.
pub fn is_route_watcher(app: &App) -> bool {
    app.member_view().shared_rank(WATCH_DUTY) < ROUTE_WATCHERS
}

/// Compares this instance's routes with those of a close watcher periodically; never returns.
pub async fn compare_routes(app: Arc<App>) {
    loop {
        sleep(QUERY_INTERVAL).await;
        if is_route_watcher(&app) {
            app.peer_routes.notify_one();
            continue;
        }
        let watchers = app.member_view().first_for(WATCH_DUTY, ROUTE_WATCHERS);
        for watcher in &watchers {
            if query_routes(&app, watcher).await {
                break;
            }
        }
    }
}

/// Asks an instance for its routes; returns whether it answered.
async fn query_routes(app: &App, member: &MemberInfo) -> bool {
    let (waiting, receiver) = app.route_questions.begin();
    let query = Extension::RoutesQuery(RoutesQuery { number: waiting.number });
    let asked = app.now();
    if !send_extension(app, member.address, &member.id, query).await {
        return false;
    }
    let Ok(Ok(state)) = timeout(REPLY_TIMEOUT, receiver).await else { return false };
    record(app, &state, Some(asked));
    true
}

pub(super) fn answer_routes_query(
    app: &Arc<App>,
    from: &Holder,
    address: SocketAddr,
    message: RoutesQuery,
) {
    let (app, to) = (app.clone(), from.instance.clone());
    tokio::spawn(async move {
        let state = Extension::RoutesState(own_state(&app, message.number));
        send_extension(&app, address, &to, state).await;
    });
}

/// Tells the other instances of the region that this one has newer routes.
pub async fn announce_routes(app: &App) {
    let state = Extension::RoutesState(own_state(app, 0));
    let region = &app.settings.region;
    let members: Vec<_> = {
        let view = app.member_view();
        let here = view.live().filter(|m| m.info.region == *region);
        here.map(|m| (m.info.address, m.info.id.clone())).collect()
    };
    for (address, id) in members {
        send_extension(app, address, &id, state.clone()).await;
    }
}

fn own_state(app: &App, number: u64) -> RoutesState {
    let age = app.table_freshness().age(app.now());
    let age_ms = (age < Duration::MAX).then_some(age.as_millis() as u64);
    RoutesState { number, version: app.route_version().0, age_ms }
}

/// Records an answer, or the newer routes of an instance that was not asked.
pub(super) fn record_routes_state(app: &Arc<App>, _from: &Holder, message: RoutesState) {
    match message.number {
        0 => record(app, &message, None),
        number => app.route_questions.record_reply(number, message),
    }
}

fn record(app: &App, state: &RoutesState, asked: Option<Time>) {
    let peer = PeerTable {
        version: Revision(state.version),
        age: state.age_ms.map(Duration::from_millis),
    };
    let own = app.route_version();
    app.table_freshness().record_peer(own, peer, asked, app.now());
    app.peer_routes.notify_one();
}
