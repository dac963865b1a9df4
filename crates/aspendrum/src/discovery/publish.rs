//! Publishes server lists to the connection pool and the dispatcher.

use crate::event::DispatcherEvent;
use crate::server_list::{ListedServer, ServerList};
use crate::state::LimiterState;
use aspendrum_core::api::{Health, ListKind};
use std::collections::HashSet;

/// Publishes a list, first to the pool and then to the dispatcher: the decision engine must not choose a server whose
/// address the pool does not have.
pub(crate) fn publish(state: &LimiterState, kind: ListKind, list: ServerList) {
    let mut listed = HashSet::new();
    for ListedServer { entry, address } in &list.entries {
        if let Some(address) = address.filter(|_| entry.health != Health::Removed) {
            listed.insert(entry.server);
            state.pool.set_address(entry.server, address);
        } else {
            state.pool.remove_server(entry.server);
        }
    }
    if list.is_complete {
        state.pool.retain(&listed);
    }
    let entries = list
        .entries
        .into_iter()
        .map(|listed| listed.entry)
        .collect();
    let version = list.version as u32;
    state.dispatcher.send(DispatcherEvent::Servers {
        list: kind,
        version,
        entries,
    });
}
