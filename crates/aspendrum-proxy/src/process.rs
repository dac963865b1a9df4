//! The lifecycle of a proxy process.

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

/// The interval at which readiness is polled.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a proxy until it receives a termination signal and has drained.
///
/// # Errors
///
/// Returns an error if the settings cannot be loaded, an address cannot be bound, or a thread cannot be started.
pub fn serve(signals: ProcessSignals) -> Result<(), ProxyError> {
    let settings = Settings::load().map_err(ProxyError::Settings)?;
    let listen_address = settings.proxy_addr.ok_or(ProxyError::NoListenAddress)?;
    let counter_address = SocketAddrV4::new(settings.ip, settings.counter_port());
    let socket =
        UdpSocket::bind(counter_address).map_err(ProxyError::for_component("counter port"))?;
    let state = Arc::new(ProxyState::new(&settings, socket));
    start_http_servers(&state, &settings)?;
    start_threads(&state, &settings, listen_address)?;
    log::info!(
        "event=started host={} proxy={listen_address}",
        settings.host_name
    );
    // A reload only validates the settings: the proxy uses none that may change at runtime. The seeds, which may, are
    // used by its agent.
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

/// Starts the HTTP servers for the readiness and metrics pages.
fn start_http_servers(state: &Arc<ProxyState>, settings: &Settings) -> Result<(), ProxyError> {
    let options = http_server_options(state);
    if let Some(address) = settings.readiness_addr {
        let state = state.clone();
        let page = move |request: Request| readiness_page(&state, &request);
        http_server::listen(address, options.clone(), page)
            .map_err(ProxyError::for_component("readyz"))?;
    }
    let state = state.clone();
    let page = move |request: Request| metrics_page(&state, &request);
    let address = SocketAddrV4::new(settings.ip, settings.metrics_port());
    if let Err(e) = http_server::listen(address, options, page) {
        // The proxy can serve requests without its metrics page.
        log::warn!("event=metrics_not_bound at={address} why=\"{e}\"");
    }
    Ok(())
}

fn readiness_page(state: &ProxyState, request: &Request) -> Reply {
    match request.path.as_str() {
        "/api/readyz" if state.is_ready() => Reply::empty(200),
        "/api/readyz" => Reply::empty(503),
        _ => Reply::empty(404),
    }
}

fn metrics_page(state: &ProxyState, request: &Request) -> Reply {
    match request.path.as_str() {
        "/metrics" => Reply::text(state.disconnect_metrics.text()),
        _ => Reply::empty(404),
    }
}

/// Returns the options of the HTTP servers, which handle short calls by the platform and operators.
fn http_server_options(state: &ProxyState) -> ServerOptions {
    ServerOptions {
        stack_bytes: STACK_BYTES,
        limits: MessageLimits {
            head_bytes: 8 << 10,
            body_bytes: 1 << 10,
        },
        idle_timeout: Duration::from_secs(10),
        worker_idle_timeout: Duration::from_secs(5),
        memory: state.memory.pages.clone(),
    }
}

fn start_threads(
    state: &Arc<ProxyState>,
    settings: &Settings,
    listen_address: SocketAddrV4,
) -> Result<(), ProxyError> {
    let thread_state = state.clone();
    spawn("counters", STACK_BYTES, move || {
        serve_counters(&thread_state)
    })
    .map_err(ProxyError::for_component("counters"))?;
    agent::start(state, settings, listen_address).map_err(ProxyError::for_component("agent"))?;
    let thread_state = state.clone();
    spawn("periodic", STACK_BYTES, move || {
        periodic::run(&thread_state)
    })
    .map_err(ProxyError::for_component("periodic"))?;
    let thread_state = state.clone();
    spawn("listener", STACK_BYTES, move || {
        listen(&thread_state, listen_address)
    })
    .map_err(ProxyError::for_component("listener"))?;
    Ok(())
}

/// Handles counter datagrams from other proxies.
fn serve_counters(state: &ProxyState) {
    let socket = state.dispatcher.counter_socket();
    loop {
        let Some((from, message)) = socket.receive() else {
            continue;
        };
        if let Some(reply) = state.dispatcher.receive_counter_message(from, message) {
            socket.send(from, &reply);
        }
    }
}

/// Waits until the proxy is ready, then listens for clients.
fn listen(state: &Arc<ProxyState>, address: SocketAddrV4) {
    while !state.is_ready() {
        sleep(READY_POLL_INTERVAL);
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
