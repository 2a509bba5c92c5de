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

/// Time between two notes: a small part of a long prompt's prefill.
const PERIOD: Duration = Duration::from_millis(150);
/// Notes that fit one datagram.
const NOTES: usize = 32;

/// Other instances that are told in each round. With more of them, those in other availability
/// zones are told in fewer rounds: they seldom send to the same targets.
const EACH_ROUND: usize = 16;

/// Tells the other instances what this one has in work on each target, and where shared parts are.
pub async fn report_in_flight(app: Arc<App>) {
    let mut told: [BTreeMap<EngineId, InFlight>; 2] = Default::default();
    let mut far_parts: Vec<PrefixNote> = Vec::new();
    for round in 0_u64.. {
        sleep(PERIOD).await;
        let parts = std::mem::take(&mut app.cache().pending_notes);
        far_parts.extend(parts.iter().cloned());
        let (near_peers, far_peers) = peers(&app);
        tell(&app, &near_peers, &notes(&app, &mut told[0]), &parts).await;
        let rounds = 1 + (near_peers.len() + far_peers.len()) / EACH_ROUND;
        if round.is_multiple_of(rounds as u64) {
            tell(&app, &far_peers, &notes(&app, &mut told[1]), &far_parts).await;
            far_parts.clear();
        }
    }
}

type Peer = (SocketAddr, InstanceId);

/// Live instances in this one's availability zone, and the others.
fn peers(app: &App) -> (Vec<Peer>, Vec<Peer>) {
    let view = app.view();
    let (near, far): (Vec<_>, Vec<_>) = view.live().partition(|m| m.info.zone == app.settings.zone);
    let peer = |m: &Member| (m.info.address, m.info.id.clone());
    (near.into_iter().map(peer).collect(), far.into_iter().map(peer).collect())
}

async fn tell(app: &App, peers: &[Peer], notes: &[InFlightNote], parts: &[PrefixNote]) {
    let sends = notes.chunks(NOTES).map(|n| Message::InFlight(n.to_vec()));
    let placed = parts.chunks(NOTES).map(|p| Message::PrefixLocations(p.to_vec()));
    for message in sends.chain(placed) {
        for (address, id) in peers {
            send_datagram(app, *address, Some(id.clone()), message.clone()).await;
        }
    }
}

/// What is in work, and what has just ended: a lost datagram is made good by the next one.
fn notes(app: &App, told: &mut BTreeMap<EngineId, InFlight>) -> Vec<InFlightNote> {
    let mut notes = Vec::new();
    for engine in &app.fleet().engines {
        let Some(held) = engine.load.in_flight.as_ref().map(|s| s.own) else { continue };
        let before = told.insert(engine.id.clone(), held).unwrap_or_default();
        if held != InFlight::default() || before != held {
            notes.push(InFlightNote { engine: engine.id.clone(), in_flight: held });
        }
    }
    notes
}
