//! Reports of the workspaces' usage to the platform.
//!
//! Each instance counts its requests and sends the counts to the holder of the duty. The holder
//! fixes the report of each window in the store and sends it.

mod counts;
mod duty;
mod holder;
mod record_store;
mod state;

pub(crate) use counts::{record_message, repeat_holder};
pub use {counts::send_counts, state::Usage};

use {
    crate::app::App,
    lentil_core::ids::CellId,
    std::{sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Cell whose holder reports the usage.
const CELL: &str = "usage";
/// Interval at which an instance sends its counts.
const SEND_INTERVAL: Duration = Duration::from_secs(1);

fn usage_cell() -> Option<CellId> {
    CELL.parse().ok()
}

/// Sends this instance's counts to the holder, and takes part in holding the duty; returns once the
/// instance stops, or at once if usage is not reported.
pub async fn run_usage_reports(app: Arc<App>) {
    let Some(api) = app.ports.api.clone().filter(|_| app.usage().is_some()) else { return };
    let counts = async {
        // The instances send at different moments of a second.
        sleep(SEND_INTERVAL.mul_f64(rand::random())).await;
        loop {
            send_counts(&app).await;
            sleep(SEND_INTERVAL).await;
        }
    };
    tokio::select! {
        () = counts => {}
        () = duty::hold_duty(&app, api) => {}
    }
}
