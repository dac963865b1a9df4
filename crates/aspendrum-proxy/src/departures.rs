//! Clients that leave while their requests are in hand: what the proxy does about them, and how it holds itself to that.

use crate::door::Client;
use crate::Shop;
use aspendrum_core::api::RequestId;
use aspendrum_net::disconnect_metrics::REACTION_DEADLINE;
use aspendrum_net::forward::{ForwardStage, Progress, RequestKind};
use std::time::Duration;

/// A run goes on for so long after its client's departure was heard: most end within that, and their connections are
/// kept. A crowd that leaves servers at their usual pace costs no new connections.
const LET_END: Duration = Duration::from_millis(90);

/// Looks after all clients with a request in hand, and gives up what is done for those that have left.
pub fn look(shop: &Shop) {
    let clients = shop.clients.in_hand();
    for client in shop.watch.poll_disconnects(&clients) {
        if let Some(request) = client.presence.request() {
            depart(shop, request);
        }
    }
    for client in &clients {
        let left_for = client.presence.time_since_disconnect(&shop.watch);
        if let (Some(left_for), Some(request)) = (left_for, client.presence.request()) {
            follow_up(shop, client, request, left_for);
        }
    }
}

/// A request's client has left.
pub fn depart(shop: &Shop, request: RequestId) {
    if let Some((kind, stage)) = shop.desk.depart(request) {
        shop.departures.record_disconnect(kind, stage);
    }
}

/// What is due so long after a departure, and the invariant.
fn follow_up(shop: &Shop, client: &Client, request: RequestId, left_for: Duration) {
    if left_for >= LET_END {
        shop.desk.break_off(request);
    }
    let Some((kind, progress)) = shop
        .desk
        .progress(request)
        .filter(|_| !shop.watch.was_suspended())
    else {
        return;
    };
    let Progress {
        stage,
        is_aborted: broken_off,
        ended_ago: returned_for,
    } = progress;
    let let_finish = (kind, stage) == (RequestKind::OnceOnly, ForwardStage::AtServer);
    // A run that was let finish, and has just come back, ends a moment later.
    let due_for = returned_for.map_or(left_for, |returned_for| returned_for.min(left_for));
    if due_for > REACTION_DEADLINE && !let_finish && client.presence.mark_overdue() {
        shop.departures.record_overdue(kind, stage, broken_off);
    }
}
