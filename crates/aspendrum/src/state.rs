//! State shared by the limiter's threads.

use crate::dispatcher_handle::DispatcherHandle;
use crate::http::{parse_server_response, MessageSchema, ServerResponse};
use crate::lifecycle::Lifecycle;
use crate::limits::Limits;
use crate::sessions::Sessions;
use aspendrum_core::api::Outcome;
use aspendrum_net::connection::Connection;
use aspendrum_net::disconnect_metrics::DisconnectMetrics;
use aspendrum_net::disconnects::DisconnectWatcher;
use aspendrum_net::pool::Pool;
use aspendrum_net::ring_buffer::RingBuffer;
use aspendrum_net::upload::Upload;
use aspendrum_net::worker_pool::WorkerPool;
use std::sync::Arc;
use std::time::Instant;

/// The shared state of one limiter.
pub(crate) struct LimiterState {
    pub(crate) limits: Arc<Limits>,
    pub(crate) schema: MessageSchema,
    pub(crate) dispatcher: Arc<DispatcherHandle>,
    /// Connections to servers.
    pub(crate) pool: Pool,
    pub(crate) sessions: Sessions,
    pub(crate) disconnect_watcher: DisconnectWatcher,
    pub(crate) disconnect_metrics: DisconnectMetrics,
    pub(crate) workers: WorkerPool,
    pub(crate) lifecycle: Lifecycle,
}

impl LimiterState {
    pub(crate) fn new(
        limits: Arc<Limits>,
        schema: MessageSchema,
        dispatcher: Arc<DispatcherHandle>,
    ) -> LimiterState {
        LimiterState {
            schema,
            dispatcher,
            pool: Pool::new(limits.pool_limits()),
            sessions: Sessions::default(),
            disconnect_watcher: DisconnectWatcher::default(),
            disconnect_metrics: DisconnectMetrics::default(),
            workers: WorkerPool::new(limits.threads.stack_bytes, limits.threads.idle_timeout),
            lifecycle: Lifecycle::start(),
            limits,
        }
    }

    /// Reads one complete response from a server or from discovery, and sends the rest of the request meanwhile.
    pub(crate) fn receive(
        &self,
        connection: &mut Connection,
        upload: &mut Upload<'_>,
        deadline: Instant,
    ) -> Result<ServerResponse, Outcome> {
        let parse = |buffer: &mut RingBuffer| {
            parse_server_response(buffer, &self.schema, &self.limits.messages)
        };
        connection.receive(upload, deadline, self.pool.connection_options(), parse)
    }
}
