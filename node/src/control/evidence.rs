use {
    crate::{app::App, mesh},
    lentil_core::{
        clock::Time,
        ids::{CellId, Fence},
        mesh::Message,
        order::{Entry, Holder, ReleaseEvidence},
    },
    std::{collections::HashMap, sync::Arc, time::Duration},
};

/// Interval between two requests to step down that are sent to an earlier holder.
const STEP_DOWN_INTERVAL: Duration = Duration::from_secs(2);

/// State of the search for one order.
#[derive(Debug, Default, Clone, Copy)]
struct SenderState {
    /// When the sender was last asked to step down.
    last_request: Option<Time>,
    /// When evidence was first found that the sender can no longer send the order.
    ended: Option<Time>,
}

/// Search for evidence that earlier holders can no longer send their open orders.
#[derive(Debug, Default)]
pub(super) struct EvidenceSearch {
    senders: HashMap<(Holder, Fence), SenderState>,
}

impl EvidenceSearch {
    /// Looks for evidence that the sender of `entry` can no longer send it.
    ///
    /// The evidence counts only after `max_delivery`, the longest time that a sent order may take
    /// to arrive.
    pub(super) async fn find(
        &mut self,
        app: &Arc<App>,
        cell: &CellId,
        entry: &Entry,
        max_delivery: Duration,
    ) -> ReleaseEvidence {
        let now = app.now();
        let holder = &entry.by;
        // One search per order: a process that stepped down may hold the cell again later.
        let sender = self.senders.entry((holder.clone(), entry.number)).or_default();
        if sender.ended.is_none() && has_ended(app, holder) {
            sender.ended = Some(now);
        }
        let due = sender.last_request.is_none_or(|t| now - t >= STEP_DOWN_INTERVAL);
        if sender.ended.is_none() && due {
            sender.last_request = Some(now);
            if request_step_down(app, cell, holder).await {
                sender.ended = Some(app.now());
            }
        }
        match sender.ended {
            Some(ended) if app.now() - ended >= max_delivery => ReleaseEvidence::Ended,
            _ => ReleaseEvidence::None,
        }
    }
}

/// Returns whether a process has ended: the instance list shows it as gone, or a later process runs
/// under its instance name. The later one can't bind the instance's address before the earlier one
/// has ended.
fn has_ended(app: &App, holder: &Holder) -> bool {
    if holder.instance == app.identity.instance {
        return holder.start < app.identity.start;
    }
    let start = app.member_view().member(&holder.instance).map(|m| m.info.start);
    start.is_some_and(|s| s > holder.start) || app.holders().gone.contains(&holder.instance)
}

/// Asks an earlier holder to step down; returns whether it acknowledged.
async fn request_step_down(app: &Arc<App>, cell: &CellId, holder: &Holder) -> bool {
    let address = app.member_view().member(&holder.instance).map(|m| m.info.address);
    let Some(address) = address else { return false };
    let message = Message::StepDown { cell: cell.clone(), holder: holder.clone() };
    let reply = mesh::request(app, address, Some(holder.instance.clone()), message).await;
    matches!(reply, Ok(Message::SteppedDown))
}
