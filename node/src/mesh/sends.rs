use {
    super::send,
    crate::app::App,
    lentil_core::{
        fleet::Held,
        ids::EngineId,
        mesh::{Message, SendNote},
    },
    std::{collections::BTreeMap, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Time between two notes: a small part of a long prompt's prefill.
const PERIOD: Duration = Duration::from_millis(150);
/// Notes that fit one datagram.
const NOTES: usize = 32;

/// Tells the other instances what this one has in work on each target.
pub async fn tell_sends(app: Arc<App>) {
    let mut told: BTreeMap<EngineId, Held> = BTreeMap::new();
    loop {
        sleep(PERIOD).await;
        let notes = notes(&app, &mut told);
        let placed = std::mem::take(&mut app.cache().told);
        let members: Vec<_> =
            app.view().live().map(|m| (m.info.address, m.info.id.clone())).collect();
        for part in placed.chunks(NOTES) {
            for (address, id) in &members {
                send(&app, *address, Some(id.clone()), Message::Placed(part.to_vec())).await;
            }
        }
        for part in notes.chunks(NOTES) {
            for (address, id) in &members {
                send(&app, *address, Some(id.clone()), Message::Sends(part.to_vec())).await;
            }
        }
    }
}

/// What is in work, and what has just ended: a lost datagram is made good by the next one.
fn notes(app: &App, told: &mut BTreeMap<EngineId, Held>) -> Vec<SendNote> {
    let mut notes = Vec::new();
    for engine in &app.fleet().engines {
        let Some(held) = engine.load.shared.as_ref().map(|s| s.own) else { continue };
        let before = told.insert(engine.id.clone(), held).unwrap_or_default();
        if held != Held::default() || before != held {
            notes.push(SendNote { engine: engine.id.clone(), held });
        }
    }
    notes
}
