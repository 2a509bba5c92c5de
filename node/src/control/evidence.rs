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

/// Time between two questions to a predecessor.
const ASK_EVERY: Duration = Duration::from_secs(2);

#[derive(Debug, Default, Clone, Copy)]
struct Trace {
    asked: Option<Time>,
    ended: Option<Time>,
}

/// What is known of predecessors that may still send orders.
#[derive(Debug, Default)]
pub(super) struct EvidenceSearch {
    traces: HashMap<(Holder, Fence), Trace>,
}

impl EvidenceSearch {
    /// Looks for a sign that the sender of `entry` can't send it any more.
    ///
    /// The sign counts only after `quiet`, the longest time for which an order that has left its
    /// sender may be on its way.
    pub(super) async fn find(
        &mut self,
        app: &Arc<App>,
        cell: &CellId,
        entry: &Entry,
        quiet: Duration,
    ) -> ReleaseEvidence {
        let now = app.now();
        let holder = &entry.by;
        // For each order anew: a process that stepped down may hold the cell again later.
        let trace = self.traces.entry((holder.clone(), entry.number)).or_default();
        if trace.ended.is_none() && has_ended(app, holder) {
            trace.ended = Some(now);
        }
        let due = trace.asked.is_none_or(|t| now - t >= ASK_EVERY);
        if trace.ended.is_none() && due {
            trace.asked = Some(now);
            if acknowledges(app, cell, holder).await {
                trace.ended = Some(app.now());
            }
        }
        match trace.ended {
            Some(ended) if app.now() - ended >= quiet => ReleaseEvidence::Ended,
            _ => ReleaseEvidence::None,
        }
    }
}

/// A process has ended when the list says so, or when another runs under its name: the second
/// can't bind the name's address before the first has ended.
fn has_ended(app: &App, holder: &Holder) -> bool {
    if holder.instance == app.me.instance {
        return holder.start < app.me.start;
    }
    let start = app.view().member(&holder.instance).map(|m| m.info.start);
    start.is_some_and(|s| s > holder.start) || app.holders().gone.contains(&holder.instance)
}

async fn acknowledges(app: &Arc<App>, cell: &CellId, holder: &Holder) -> bool {
    let address = app.view().member(&holder.instance).map(|m| m.info.address);
    let Some(address) = address else { return false };
    let question = Message::StepDown { cell: cell.clone(), holder: holder.clone() };
    let answer = mesh::request(app, address, Some(holder.instance.clone()), question).await;
    matches!(answer, Ok(Message::SteppedDown))
}
