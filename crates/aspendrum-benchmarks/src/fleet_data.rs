//! Generates configurations, server lists and proxy lists of any size in the formats of the protocol. The output is
//! deterministic.

use crate::fleet_size::{zone, FleetSize};
use aspendrum_model::message::{ProxyEndpoint, Readiness};
use aspendrum_model::servers::ServerInstance;
use fastrand::Rng;
use std::fmt::Write;
use std::net::{Ipv4Addr, SocketAddrV4};

/// The port on which all servers listen.
pub const SERVER_PORT: u16 = 28_080;
/// The number of servers per page of the platform's server list, as in deployments.
pub const SERVERS_PER_PAGE: usize = 50;
/// The port on which all proxies listen.
const PROXY_PORT: u16 = 8202;
/// The number of proxies per /24 subnet.
const PROXIES_PER_SUBNET: usize = 250;
const SEED: u64 = 7;
/// The number of credentials per tenant, as in the example of the protocol.
const KEYS_PER_TENANT: usize = 2;
/// The request limits of a configuration, as in the example of the protocol.
const LIMITS: &str = r#"{"hdr-bytes":16384,"body-bytes":67108864,"hdr-ms":3000,"idle-ms":15000}"#;

/// Returns the name of a service.
pub fn service(number: usize) -> String {
    format!("svc{number:03}a")
}

/// Returns the text of a configuration whose routes are distributed over `hosts` hosts. Apart from the version number,
/// versions differ in the weights of one route.
pub fn config_text(size: &FleetSize, hosts: usize, version: u32) -> String {
    let mut rng = Rng::with_seed(SEED);
    let mut text = format!(r#"{{"gen":"{version:08x}","caps":{LIMITS},"tenants":["#);
    for number in 0..size.tenants {
        text += separator(number);
        push_tenant(&mut text, &mut rng, number);
    }
    text += r#"],"ports":["#;
    for host in 0..hosts.min(size.routes) {
        text += separator(host);
        push_host(&mut text, &mut rng, size, (host, hosts), version);
    }
    text += r#"],"pools":["#;
    for number in 0..size.services {
        text += separator(number);
        push_service(&mut text, number);
    }
    text += "]}";
    text
}

fn separator(index: usize) -> &'static str {
    if index == 0 {
        ""
    } else {
        ","
    }
}

fn random_word(rng: &mut Rng, length: usize) -> String {
    (0..length).map(|_| rng.lowercase()).collect()
}

fn random_key(rng: &mut Rng) -> String {
    (0..20)
        .map(|_| rng.alphanumeric().to_ascii_lowercase())
        .collect()
}

fn push_tenant(text: &mut String, rng: &mut Rng, number: usize) {
    let keys: Vec<String> = (0..KEYS_PER_TENANT)
        .map(|_| format!("\"{}\"", random_key(rng)))
        .collect();
    let rate = 1 + rng.u32(..400);
    let _ = write!(
        text,
        r#"{{"name":"{}{number}","keys":[{}],"prio":{},"rate-s":{rate},"burst":{rate},"homes":[]}}"#,
        random_word(rng, 4),
        keys.join(","),
        rng.u32(..3)
    );
}

/// `host` is the number of the host and the total number of hosts.
fn push_host(
    text: &mut String,
    rng: &mut Rng,
    size: &FleetSize,
    (host, hosts): (usize, usize),
    version: u32,
) {
    let _ = write!(
        text,
        r#"{{"vhost":"{}{host}.example","rules":["#,
        random_word(rng, 4)
    );
    for (index, route) in (host..size.routes).step_by(hosts).enumerate() {
        *text += separator(index);
        push_route(text, rng, size, route, version);
    }
    *text += "]}";
}

fn push_route(text: &mut String, rng: &mut Rng, size: &FleetSize, number: usize, version: u32) {
    let first_service = service(number % size.services);
    let second_service = service((number + 1) % size.services);
    let kind = if number.is_multiple_of(2) {
        "idem"
    } else {
        "mutating"
    };
    let weight = if number == 0 { 50 + version % 40 } else { 90 };
    let name = random_word(rng, 3);
    let priority = rng.u32(..3);
    let prefix = random_word(rng, 4);
    let _ = write!(
        text,
        r#"{{"name":"r-{name}{number}","type":"{kind}","goal-ms":500,"prio":{priority},"#
    );
    let _ = write!(
        text,
        r#""public":false,"match":{{"pfx":"/{prefix}{number}/"}},"#
    );
    let _ = write!(
        text,
        r#""action":{{"split":[{{"svc":"{first_service}","wt":{weight}}},"#
    );
    let _ = write!(
        text,
        r#"{{"svc":"{second_service}","wt":10}}],"limit-ms":2000,"tries":2,"homes":[]}}}}"#
    );
}

fn push_service(text: &mut String, number: usize) {
    let _ = write!(
        text,
        r#"{{"name":"{}","check":"/healthz","max-conns":440,"#,
        service(number)
    );
    *text += r#""proto":"h1","tls":false,"warmup-s":3.0,"warm-rate-s":6.7}"#;
}

/// Returns servers with unique addresses, distributed evenly over services and zones.
pub fn servers(size: &FleetSize) -> Vec<ServerInstance> {
    let server = |n: usize| ServerInstance {
        uid: format!("i-{:08x}", (n as u32).wrapping_mul(0x9e37_79b1)),
        service: service(n % size.services),
        addr: server_addr(n),
        zone: zone(n / size.services + n % size.services),
        slots: 2,
        is_draining: false,
        slow_start_left_ms: 0,
    };
    (0..size.servers).map(server).collect()
}

/// Returns the address of a server.
pub fn server_addr(number: usize) -> SocketAddrV4 {
    let ip = Ipv4Addr::new(127, 62, (number >> 8) as u8, number as u8);
    SocketAddrV4::new(ip, SERVER_PORT)
}

/// Returns the address of a proxy.
pub fn proxy_addr(number: usize) -> SocketAddrV4 {
    let subnet = 10 + (number / PROXIES_PER_SUBNET) as u8;
    let host = (number % PROXIES_PER_SUBNET + 1) as u8;
    SocketAddrV4::new(Ipv4Addr::new(127, 60, subnet, host), PROXY_PORT)
}

/// Returns `count` ready proxies, distributed evenly over the zones.
pub fn proxies(count: usize) -> Vec<ProxyEndpoint> {
    let proxy = |n| ProxyEndpoint {
        addr: proxy_addr(n),
        zone: zone(n),
        readiness: Readiness::Ready,
        is_current: true,
    };
    (0..count).map(proxy).collect()
}

/// Returns a page of the platform's server list, with the token of the next page.
pub fn server_page(servers: &[ServerInstance], next_page: Option<String>) -> String {
    let entry = |server: &ServerInstance| {
        serde_json::json!({
            "uid": server.uid,
            "svc": server.service,
            "addr": server.addr,
            "az": server.zone,
            "gen": "v1",
            "slots": server.slots,
            "phase": if server.is_draining { "drain" } else { "up" },
            "warm-left-ms": server.slow_start_left_ms,
        })
    };
    let entries: Vec<serde_json::Value> = servers.iter().map(entry).collect();
    serde_json::json!({"servers": entries, "next": next_page}).to_string()
}
