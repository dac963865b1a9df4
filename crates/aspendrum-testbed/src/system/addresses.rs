//! Addresses of the machines of a run: each machine has its own loopback address, and all use the same ports.

use super::scenario::Scenario;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// The first and last port of the range that the processes use among themselves.
pub(super) const PORT_RANGE: [u16; 2] = [7600, 7615];
// Ports within the range, at the offsets that the programs use.
pub(super) const CONTROL_PORT: u16 = PORT_RANGE[0];
pub(super) const COUNTER_PORT: u16 = PORT_RANGE[0] + 1;
pub(super) const AGENT_PORT: u16 = PORT_RANGE[0] + 2;
pub(super) const GOSSIP_PORT: u16 = PORT_RANGE[0] + 3;
pub(super) const SNAPSHOT_PORT: u16 = PORT_RANGE[0] + 4;
const OPERATOR_PORT: u16 = 8200;
const DIRECTORY_PORT: u16 = 8201;
const PROXY_PORT: u16 = 8202;
const READINESS_PORT: u16 = 8203;
/// Bound for the duration of a run, so that no other run uses the same addresses.
const CLAIM_PORT: u16 = 9;

/// The second octet of control node addresses.
const CONTROL_OCTET: u8 = 100;
/// The second octet of edge machine addresses.
const EDGE_OCTET: u8 = 101;
/// The second octet of the agents' listen addresses. All machines of a run share one host, so each agent needs its own
/// address in place of `127.0.0.1`.
const AGENT_OCTET: u8 = 102;
/// The second octet of the address of the fake services.
const SERVICES_OCTET: u8 = 200;

/// The loopback addresses reserved for one run.
pub(super) struct Addresses {
    subnet: u8,
    _claim: TcpListener,
}

impl Addresses {
    /// Claims a subnet that no other run uses.
    ///
    /// # Errors
    /// `AddrInUse` if all subnets are taken.
    pub(super) fn claim() -> io::Result<Addresses> {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        for _ in 0..=u8::MAX {
            let subnet = NEXT.fetch_add(1, Ordering::Relaxed);
            let claimed = TcpListener::bind((address(SERVICES_OCTET, subnet, 0), CLAIM_PORT));
            if let Ok(claim) = claimed {
                return Ok(Addresses {
                    subnet,
                    _claim: claim,
                });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Returns the address of the fake servers and of the platform's server list.
    pub(super) fn services(&self) -> IpAddr {
        IpAddr::V4(address(SERVICES_OCTET, self.subnet, 0))
    }

    /// Returns the address of a control node.
    pub(super) fn control(&self, number: usize) -> Ipv4Addr {
        address(CONTROL_OCTET, self.subnet, number)
    }

    /// Returns the address of an edge machine.
    pub(super) fn edge(&self, number: usize) -> Ipv4Addr {
        address(EDGE_OCTET, self.subnet, number)
    }

    /// Returns the address on which the agent of an edge machine listens for its proxy.
    pub(super) fn agent(&self, number: usize) -> SocketAddr {
        (address(AGENT_OCTET, self.subnet, number), AGENT_PORT).into()
    }

    /// Returns the address on which a control node accepts operator calls.
    pub(super) fn operator(&self, number: usize) -> SocketAddr {
        (self.control(number), OPERATOR_PORT).into()
    }

    /// Returns the address on which a control node accepts lookups.
    pub(super) fn directory(&self, number: usize) -> SocketAddr {
        (self.control(number), DIRECTORY_PORT).into()
    }

    /// Returns the address on which a proxy accepts requests.
    pub(super) fn proxy(&self, number: usize) -> SocketAddr {
        (self.edge(number), PROXY_PORT).into()
    }

    /// Returns the address of a proxy's readiness endpoint.
    pub(super) fn readiness(&self, number: usize) -> SocketAddr {
        (self.edge(number), READINESS_PORT).into()
    }

    /// Returns the addresses of all edge machines.
    pub(super) fn edges(&self, s: &Scenario) -> Vec<IpAddr> {
        (0..s.edges).map(|n| IpAddr::V4(self.edge(n))).collect()
    }
}

fn address(second_octet: u8, subnet: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, second_octet, subnet, number as u8 + 1)
}
