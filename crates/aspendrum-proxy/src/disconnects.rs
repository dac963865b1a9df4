//! Clients that leave while their requests are in flight: what the proxy does about them, and how it checks itself.

use crate::session::ClientSession;
use crate::state::ProxyState;
use aspendrum_core::api::RequestId;
use aspendrum_net::disconnect_metrics::REACTION_DEADLINE;
use aspendrum_net::forward::{ForwardStage, Progress, RequestKind};
use std::time::Duration;

/// How long an execution may continue after its client disconnected: most end within this time, and their connections are kept. A crowd
/// that leaves servers at their usual pace costs no new connections.
const FINISH_WITHIN: Duration = Duration::from_millis(90);

/// Looks whether clients with a request in flight are still there, and gives up what is done for those that have left.
pub(crate) fn check_clients(state: &ProxyState) {
    let sessions = state.sessions.in_flight();
    for session in state.disconnect_watcher.poll_disconnects(&sessions) {
        if let Some(request) = session.connection.request() {
            client_disconnected(state, request);
        }
    }
    for session in &sessions {
        let disconnected_for = session
            .connection
            .time_since_disconnect(&state.disconnect_watcher);
        if let (Some(disconnected_for), Some(request)) =
            (disconnected_for, session.connection.request())
        {
            follow_up(state, session, request, disconnected_for);
        }
    }
}

/// A request's client has left.
pub(crate) fn client_disconnected(state: &ProxyState, request: RequestId) {
    if let Some((kind, stage)) = state.dispatcher.client_disconnected(request) {
        state.disconnect_metrics.record_disconnect(kind, stage);
    }
}

/// What is due this long after a disconnect, and a check of the invariant that the request is over by then.
fn follow_up(
    state: &ProxyState,
    session: &ClientSession,
    request: RequestId,
    disconnected_for: Duration,
) {
    if disconnected_for >= FINISH_WITHIN {
        state.dispatcher.abort_idempotent(request);
    }
    let progress = state.dispatcher.progress(request);
    let Some((kind, progress)) = progress.filter(|_| !state.disconnect_watcher.was_suspended())
    else {
        return;
    };
    let Progress {
        stage,
        is_aborted,
        ended_ago,
    } = progress;
    let may_finish = (kind, stage) == (RequestKind::OnceOnly, ForwardStage::AtServer);
    // A run that was let finish, and has just come back, ends a moment later.
    let due_for = ended_ago.map_or(disconnected_for, |ended_ago| {
        ended_ago.min(disconnected_for)
    });
    if due_for > REACTION_DEADLINE && !may_finish && session.connection.mark_overdue() {
        state
            .disconnect_metrics
            .record_overdue(kind, stage, is_aborted);
    }
}
