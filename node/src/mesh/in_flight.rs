use {
    super::send_datagram,
    crate::app::App,
    lentil_core::{
        fleet::{InFlight, PrefixNote},
        ids::{EngineId, InstanceId},
        mesh::{InFlightNote, Member, Message},
    },
    std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval between two reports; short compared with the prefill of a long prompt.
const REPORT_INTERVAL: Duration = Duration::from_millis(150);
/// Number of notes that fit one datagram.
const NOTES_PER_DATAGRAM: usize = 32;

/// Number of other instances in the own availability zone up to which each round reports to all of
/// them.
const NEAR_PEERS_PER_ROUND: usize = 32;
/// Number of other instances up to which each round reports to all of them. With more, those in
/// other availability zones get reports in fewer rounds: they seldom send to the same targets.
const PEERS_PER_ROUND: usize = 16;

/// Reports to the other instances what this one has in flight on each target, and which engines
/// hold shared prefixes.
pub async fn report_in_flight(app: Arc<App>) {
    let mut reported: [BTreeMap<EngineId, InFlight>; 2] = Default::default();
    let mut near_prefixes: Vec<PrefixNote> = Vec::new();
    let mut far_prefixes: Vec<PrefixNote> = Vec::new();
    for round in 0_u64.. {
        sleep(REPORT_INTERVAL).await;
        let prefixes = std::mem::take(&mut app.cache_index().pending_notes);
        far_prefixes.extend(prefixes.iter().cloned());
        near_prefixes.extend(prefixes);
        let (near_peers, far_peers) = peers(&app);
        let near_rounds = 1 + near_peers.len() / NEAR_PEERS_PER_ROUND;
        if round.is_multiple_of(near_rounds as u64) {
            send_notes(&app, &near_peers, &notes(&app, &mut reported[0]), &near_prefixes).await;
            near_prefixes.clear();
        }
        let rounds = 1 + (near_peers.len() + far_peers.len()) / PEERS_PER_ROUND;
        if round.is_multiple_of(rounds as u64) {
            send_notes(&app, &far_peers, &notes(&app, &mut reported[1]), &far_prefixes).await;
            far_prefixes.clear();
        }
    }
}

type Peer = (SocketAddr, InstanceId);

/// Returns the live instances in this one's availability zone, and those in other zones.
fn peers(app: &App) -> (Vec<Peer>, Vec<Peer>) {
    let view = app.member_view();
    let (near, far): (Vec<_>, Vec<_>) = view.live().partition(|m| m.info.zone == app.settings.zone);
    let peer = |m: &Member| (m.info.address, m.info.id.clone());
    (near.into_iter().map(peer).collect(), far.into_iter().map(peer).collect())
}

async fn send_notes(app: &App, peers: &[Peer], notes: &[InFlightNote], prefixes: &[PrefixNote]) {
    let in_flight = notes.chunks(NOTES_PER_DATAGRAM).map(|n| Message::InFlight(n.to_vec()));
    let locations =
        prefixes.chunks(NOTES_PER_DATAGRAM).map(|p| Message::PrefixLocations(p.to_vec()));
    for message in in_flight.chain(locations) {
        for (address, id) in peers {
            send_datagram(app, *address, Some(id.clone()), message.clone()).await;
        }
    }
}

/// Returns notes of the targets with requests in flight, or with a change since the last report.
/// They carry totals, so that the next datagram makes up for a lost one.
fn notes(app: &App, reported: &mut BTreeMap<EngineId, InFlight>) -> Vec<InFlightNote> {
    let mut notes = Vec::new();
    for engine in &app.fleet().engines {
        let Some(current) = engine.load.in_flight.as_ref().map(|s| s.own) else { continue };
        let previous = reported.insert(engine.id.clone(), current).unwrap_or_default();
        if current != InFlight::default() || previous != current {
            notes.push(InFlightNote { engine: engine.id.clone(), in_flight: current });
        }
    }
    notes
}
