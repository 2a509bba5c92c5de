use {
    super::{duty::CANDIDATES, Usage},
    crate::{
        app::{App, CellHolder},
        mesh::send_usage,
    },
    lentil_core::{
        clock::Time,
        ids::{Fence, Millis},
        mesh::Update,
        order::Holder,
        usage::{UnixTime, UsageMessage, WindowId},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::sleep,
};

/// Interval at which an instance without new counts sends its time.
const TIME_INTERVAL: Duration = Duration::from_secs(5);
/// Most instances with which the counts of a window in progress are sent. With more, the holder gets
/// only the counts of ended windows, and what is lost with one instance is a smaller part of all.
const MAX_CONTINUOUS: u32 = 400;
/// Age of the windows whose counts are sent again after a message could not be sent; those of older
/// windows are not expected any more.
const RESEND_AGE: Duration = Duration::from_secs(15);
/// Deviation of the own time from the holder's from which it is corrected.
const MAX_DEVIATION_MS: i64 = 200;
/// Longest delay of the counts that a new holder gets, so that they do not all arrive at once.
const NEW_HOLDER_DELAY: Duration = Duration::from_millis(500);

/// Sends this instance's new counts to the holder of the duty. The holder sends its own ones to the
/// candidates, so that they are not lost with it.
pub async fn send_counts(app: &App) {
    let now = app.now();
    let wall = app.clock.unix_time();
    let open = app.member_view().fleet_size(now).is_none_or(|size| size <= MAX_CONTINUOUS);
    let Some(cell) = app.usage().map(|u| u.cell.clone()) else { return };
    let holder = app.holders().holder(&cell).cloned();
    let windows = {
        let Some(mut usage) = app.usage() else { return };
        check_wall_clock(app, &mut usage, wall, now);
        let time = usage.time.at(now);
        usage.remove_old(time);
        let Some(holder) = &holder else { return };
        if usage.served.is_none_or(|f| f < holder.fence) {
            usage.serve_holder(holder.fence, WindowId(0));
        }
        let windows = usage.counter.take_changes(time, open);
        let due = usage.sent.is_none_or(|t| now - t >= TIME_INTERVAL);
        if windows.is_empty() && !due {
            return;
        }
        usage.sent = Some(now);
        windows
    };
    let Some(holder) = holder else { return };
    let receivers = match holder.holder == app.identity {
        false => vec![(holder.holder.instance, holder.address)],
        true => {
            let candidates = app.member_view().first_by_hash(cell.as_str(), CANDIDATES);
            candidates.into_iter().map(|m| (m.id, m.address)).collect()
        }
    };
    let mut sent = true;
    for (id, address) in receivers {
        let Some(time) = app.usage().map(|u| u.time.at(app.now())) else { return };
        let names = [&app.identity.instance, &id];
        let messages = UsageMessage::messages(time, windows.clone(), names);
        sent &= send_usage(app, address, &id, messages).await;
    }
    if let Some(mut usage) = app.usage().filter(|_| !sent) {
        let from = usage.time.at(app.now()).earlier(RESEND_AGE);
        let from = usage.timing.length.window_at(from);
        usage.counter.send_again(from);
    }
}

/// Gossips the holder of the duty again, for instances that were not members when it acquired it.
pub(crate) fn repeat_holder(app: &App) {
    let Some(cell) = app.usage().map(|u| u.cell.clone()) else { return };
    let Some(held) = app.holders().holder(&cell).cloned() else { return };
    let CellHolder { holder, address, fence: number } = held;
    app.member_view().queue_update(Update::CellHolder { cell, holder, address, number });
}

/// Follows the wall clock, and logs when it begins to be wrong.
fn check_wall_clock(app: &App, usage: &mut Usage, wall: Millis, now: Time) {
    let wrong = usage.time.follow(wall, now);
    if wrong && !usage.wall_wrong {
        let ahead = UnixTime(wall.0).millis_since(usage.time.at(now));
        log::warn!("usage: the wall clock is wrong ahead_ms={ahead}");
        app.metrics.wrong_clocks.with_label_values(&["wall"]).inc();
    }
    usage.wall_wrong = wrong;
}

/// Handles a message of another instance.
pub(crate) fn record_message(
    app: &Arc<App>,
    address: SocketAddr,
    from: &Holder,
    message: UsageMessage,
) {
    match message.fence {
        Some(fence) => record_announcement(app, address, from, (fence, message)),
        None => record_counts(app, address, from, message),
    }
}

/// Records that another instance holds the duty, corrects the own time, and sends a new holder the
/// counts that it needs.
fn record_announcement(
    app: &Arc<App>,
    address: SocketAddr,
    from: &Holder,
    (fence, message): (Fence, UsageMessage),
) {
    let now = app.now();
    let Some(cell) = app.usage().map(|u| u.cell.clone()) else { return };
    let known = app.holders().holder(&cell).map(|h| h.fence);
    if known.is_some_and(|k| k > fence) {
        return;
    }
    let record = CellHolder { holder: from.clone(), address, fence };
    if app.holders().record_holder(&cell, record) {
        // The holder announces itself to its view only; gossip reaches the others.
        let (cell, holder) = (cell.clone(), from.clone());
        app.member_view().queue_update(Update::CellHolder { cell, holder, address, number: fence });
    }
    let Some(mut usage) = app.usage() else { return };
    usage.heard = Some(now);
    if let Some(time) = message.time {
        correct_time(app, &mut usage, time, now);
    }
    if usage.served.is_some_and(|f| f >= fence) {
        return;
    }
    usage.serve_holder(fence, message.from.unwrap_or_default());
    drop(usage);
    let app = app.clone();
    tokio::spawn(async move {
        sleep(NEW_HOLDER_DELAY.mul_f64(rand::random())).await;
        send_counts(&app).await;
    });
}

fn correct_time(app: &App, usage: &mut Usage, time: UnixTime, now: Time) {
    let deviation = time.millis_since(usage.time.at(now));
    if deviation.abs() > MAX_DEVIATION_MS {
        usage.time.correct(deviation);
        app.metrics.wrong_clocks.with_label_values(&["estimate"]).inc();
        log::warn!("usage: the own estimate of true time was wrong by_ms={deviation}");
    }
}

/// Merges another instance's counts, if this one holds the duty, and answers with the time if the
/// other one's is wrong.
fn record_counts(app: &Arc<App>, address: SocketAddr, from: &Holder, message: UsageMessage) {
    let now = app.now();
    let Some(mut usage) = app.usage() else { return };
    if let Some(time) = message.time {
        let deviation = time.millis_since(usage.time.at(now));
        usage.clocks.record(&from.instance, deviation, now);
    }
    let next = usage.next;
    for counts in message.windows {
        let fixed = next.is_some_and(|next| counts.window < next);
        let increase = usage.tally.merge(from, counts);
        if fixed && increase > 0 {
            app.metrics.usage_lost.with_label_values(&["late"]).inc_by(increase);
        }
    }
    if !usage.clocks.is_wrong(&from.instance, now) {
        return;
    }
    drop(usage);
    let (app, id) = (app.clone(), from.instance.clone());
    tokio::spawn(async move {
        if let Some(message) = super::holder::announcement(&app) {
            send_usage(&app, address, &id, vec![message]).await;
        }
    });
}
