//! Handling of clients that disconnect while their requests are in flight, and a check that it is timely.

use crate::session::ClientSession;
use crate::state::ProxyState;
use aspendrum_core::api::RequestId;
use aspendrum_net::disconnect_metrics::REACTION_DEADLINE;
use aspendrum_net::forward::{ForwardStage, Progress, RequestKind};
use std::time::Duration;

/// How long an idempotent request may keep running after its client disconnected. Most requests end within this time,
/// so that their connections stay usable, and a wave of disconnects does not cause a wave of new connections.
const IDEMPOTENT_ABORT_DELAY: Duration = Duration::from_millis(90);

/// Detects clients that disconnected with a request in flight, and stops the work for them.
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
            enforce_disconnect_deadline(state, session, request, disconnected_for);
        }
    }
}

/// Handles the disconnect of a request's client.
pub(crate) fn client_disconnected(state: &ProxyState, request: RequestId) {
    if let Some((kind, stage)) = state.dispatcher.client_disconnected(request) {
        state.disconnect_metrics.record_disconnect(kind, stage);
    }
}

/// Aborts an idempotent request some time after its client disconnected, and records a violation if the request
/// has not ended in time.
fn enforce_disconnect_deadline(
    state: &ProxyState,
    session: &ClientSession,
    request: RequestId,
    disconnected_for: Duration,
) {
    if disconnected_for >= IDEMPOTENT_ABORT_DELAY {
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
        time_since_end,
    } = progress;
    let may_finish = (kind, stage) == (RequestKind::NonIdempotent, ForwardStage::AtServer);
    // A request that was allowed to finish is measured from the end of its attempt, since it takes a moment to
    // complete.
    let elapsed = time_since_end.map_or(disconnected_for, |time_since_end| {
        time_since_end.min(disconnected_for)
    });
    if elapsed > REACTION_DEADLINE && !may_finish && session.connection.mark_overdue() {
        state
            .disconnect_metrics
            .record_overdue(kind, stage, is_aborted);
    }
}
