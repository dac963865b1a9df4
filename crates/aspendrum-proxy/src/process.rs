//! A proxy process from its start to its end.

use crate::error::ProxyError;
use crate::state::{ProxyState, STACK_BYTES};
use crate::{agent, listener, periodic, shutdown};
use aspendrum_model::settings::{Settings, SETTINGS_VARIABLE};
use aspendrum_model::time::duration_from_millis;
use aspendrum_net::http1::{MessageLimits, Request};
use aspendrum_net::http_server::{self, Reply, ServerOptions};
use aspendrum_net::process_signals::ProcessSignals;
use aspendrum_net::threads::spawn;
use std::net::{SocketAddrV4, TcpListener, UdpSocket};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// Between two looks whether the proxy has become ready.
const READY_POLL: Duration = Duration::from_millis(20);

/// Runs a proxy until a termination signal.
///
/// # Errors
///
/// The settings cannot be read, an address cannot be bound, or a thread cannot be started.
pub fn serve(signals: ProcessSignals) -> Result<(), ProxyError> {
    let settings = Settings::load().map_err(ProxyError::Settings)?;
    let listen_address = settings.proxy_addr.ok_or(ProxyError::NoListenAddress)?;
    let counter_address = SocketAddrV4::new(settings.ip, settings.counter_port());
    let socket =
        UdpSocket::bind(counter_address).map_err(ProxyError::of_component("count port"))?;
    let state = Arc::new(ProxyState::new(&settings, socket));
    open_pages(&state, &settings)?;
    start_threads(&state, &settings, listen_address)?;
    log::info!(
        "event=started host={} proxy={listen_address}",
        settings.host_name
    );
    // Nothing in the settings that a proxy uses may change while it runs: seeds are its agent's.
    let reload = || {
        Settings::load()
            .map(|settings| log::info!("event=settings_read host={}", settings.host_name))
    };
    let settings_file = std::env::var(SETTINGS_VARIABLE).unwrap_or_default();
    signals
        .wait_for_shutdown(settings_file, reload)
        .map_err(ProxyError::Signals)?;
    shutdown::drain(
        &state,
        listen_address,
        duration_from_millis(settings.shutdown_grace_s * 1000.0),
    );
    log::info!("event=ended");
    Ok(())
}

/// The pages for the platform and for operators.
fn open_pages(state: &Arc<ProxyState>, settings: &Settings) -> Result<(), ProxyError> {
    if let Some(address) = settings.readiness_addr {
        let state = state.clone();
        let page = move |request: Request| readiness_page(&state, &request);
        http_server::listen(address, page_options(), page)
            .map_err(ProxyError::of_component("readyz"))?;
    }
    let state = state.clone();
    let page = move |request: Request| metrics_page(&state, &request);
    let address = SocketAddrV4::new(settings.ip, settings.metrics_port());
    if let Err(e) = http_server::listen(address, page_options(), page) {
        // Requests are served without metrics too.
        log::warn!("event=metrics_not_bound at={address} why=\"{e}\"");
    }
    Ok(())
}

fn readiness_page(state: &ProxyState, request: &Request) -> Reply {
    match request.path.as_str() {
        "/api/readyz" if state.is_ready() => Reply::plain(200),
        "/api/readyz" => Reply::plain(503),
        _ => Reply::plain(404),
    }
}

fn metrics_page(state: &ProxyState, request: &Request) -> Reply {
    match request.path.as_str() {
        "/metrics" => Reply::text(state.disconnect_metrics.text()),
        _ => Reply::plain(404),
    }
}

/// For short calls by the platform and by operators.
fn page_options() -> ServerOptions {
    ServerOptions {
        stack_bytes: STACK_BYTES,
        limits: MessageLimits {
            head_bytes: 8 << 10,
            body_bytes: 1 << 10,
        },
        idle_timeout: Duration::from_secs(10),
        worker_idle_timeout: Duration::from_secs(5),
    }
}

fn start_threads(
    state: &Arc<ProxyState>,
    settings: &Settings,
    listen_address: SocketAddrV4,
) -> Result<(), ProxyError> {
    let own = state.clone();
    spawn("counters", STACK_BYTES, move || serve_counters(&own))
        .map_err(ProxyError::of_component("counters"))?;
    agent::start(state, settings, listen_address).map_err(ProxyError::of_component("agent"))?;
    let own = state.clone();
    spawn("periodic", STACK_BYTES, move || periodic::run(&own))
        .map_err(ProxyError::of_component("periodic"))?;
    let own = state.clone();
    spawn("listener", STACK_BYTES, move || {
        listen(&own, listen_address)
    })
    .map_err(ProxyError::of_component("listener"))?;
    Ok(())
}

/// Answers datagrams of other proxies.
fn serve_counters(state: &ProxyState) {
    let socket = state.dispatcher.counter_socket();
    loop {
        let Some((from, message)) = socket.receive() else {
            continue;
        };
        if let Some(answer) = state.dispatcher.receive_counter_message(from, message) {
            socket.send(from, &answer);
        }
    }
}

/// Listens for clients once all that requests need is known.
fn listen(state: &Arc<ProxyState>, address: SocketAddrV4) {
    while !state.is_ready() {
        sleep(READY_POLL);
    }
    state.record_listening();
    match TcpListener::bind(address) {
        Ok(listener) => {
            log::info!("event=open proxy={address}");
            listener::accept(state, listener);
        }
        Err(e) => {
            log::error!("event=proxy_not_bound why=\"{e}\"");
            std::process::exit(1);
        }
    }
}
