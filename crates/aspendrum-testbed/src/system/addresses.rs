//! Where the machines of a run are: each has a loopback address of its own, and all use the same ports.

use super::scenario::Scenario;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU8, Ordering};

/// The first and the last of the ports that processes keep free for each other.
pub(super) const PORT_RANGE: [u16; 2] = [7600, 7615];
/// Within these, as the programs use them.
pub(super) const CONTROL_PORT: u16 = PORT_RANGE[0];
pub(super) const COUNTER_PORT: u16 = PORT_RANGE[0] + 1;
pub(super) const AGENT_PORT: u16 = PORT_RANGE[0] + 2;
pub(super) const GOSSIP_PORT: u16 = PORT_RANGE[0] + 3;
pub(super) const SNAPSHOT_PORT: u16 = PORT_RANGE[0] + 4;
const OPERATOR_PORT: u16 = 8200;
const DIRECTORY_PORT: u16 = 8201;
const PROXY_PORT: u16 = 8202;
const READINESS_PORT: u16 = 8203;
/// Held as long as a run goes on, so that no other run takes the same addresses.
const CLAIM_PORT: u16 = 9;

/// The second number of the addresses of each kind of machine.
const CONTROL: u8 = 100;
const EDGE: u8 = 101;
/// The machines of a run are one in truth: each agent has a loopback of its own.
const AGENT: u8 = 102;
const SERVICES: u8 = 200;

/// The part of the loopback addresses that one run has for itself.
pub(super) struct Addresses {
    subnet: u8,
    _claim: TcpListener,
}

impl Addresses {
    /// Claims a part that no other run has.
    pub(super) fn claim() -> io::Result<Addresses> {
        static NEXT: AtomicU8 = AtomicU8::new(0);
        for _ in 0..=u8::MAX {
            let subnet = NEXT.fetch_add(1, Ordering::Relaxed);
            let claimed = TcpListener::bind((address(SERVICES, subnet, 0), CLAIM_PORT));
            if let Ok(claim) = claimed {
                return Ok(Addresses {
                    subnet,
                    _claim: claim,
                });
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Of servers and the platform's list.
    pub(super) fn services(&self) -> IpAddr {
        IpAddr::V4(address(SERVICES, self.subnet, 0))
    }

    pub(super) fn control(&self, number: usize) -> Ipv4Addr {
        address(CONTROL, self.subnet, number)
    }

    pub(super) fn edge(&self, number: usize) -> Ipv4Addr {
        address(EDGE, self.subnet, number)
    }

    /// Where the agent of a machine listens for its proxy.
    pub(super) fn agent(&self, number: usize) -> SocketAddr {
        (address(AGENT, self.subnet, number), AGENT_PORT).into()
    }

    /// Where a control node takes operators' calls.
    pub(super) fn operator(&self, number: usize) -> SocketAddr {
        (self.control(number), OPERATOR_PORT).into()
    }

    /// Where a control node takes lookups.
    pub(super) fn directory(&self, number: usize) -> SocketAddr {
        (self.control(number), DIRECTORY_PORT).into()
    }

    /// Where a proxy takes requests.
    pub(super) fn proxy(&self, number: usize) -> SocketAddr {
        (self.edge(number), PROXY_PORT).into()
    }

    /// Where a proxy says whether it is ready.
    pub(super) fn readiness(&self, number: usize) -> SocketAddr {
        (self.edge(number), READINESS_PORT).into()
    }

    /// The addresses of all machines at the edge.
    pub(super) fn edges(&self, s: &Scenario) -> Vec<IpAddr> {
        (0..s.edges).map(|n| IpAddr::V4(self.edge(n))).collect()
    }
}

fn address(kind: u8, subnet: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, kind, subnet, number as u8 + 1)
}
