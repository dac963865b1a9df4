//! The loopback addresses of a run. Each limiter has its own address, and concurrent runs share none.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

const CLIENT_PORT: u16 = 9000;
const PEER_PORT: u16 = 7946;
/// A run listens on this port of the last address of its block for its whole duration, so that no other run uses the block.
const RESERVATION_PORT: u16 = 9;
const RESERVATION_HOST: u8 = 254;
/// The blocks range from 127.64.0.0/24 to 127.163.249.0/24.
const FIRST_SECOND_OCTET: u8 = 64;
const SECOND_OCTETS: u32 = 100;
const THIRD_OCTETS: u32 = 250;
const MAX_ATTEMPTS: u32 = 200;
/// Spreads the first blocks tried by different processes.
const PROCESS_ID_STEP: u32 = 31;

/// A block of loopback addresses that no other run on this machine uses.
pub(super) struct AddressBlock {
    octets: (u8, u8),
    _reservation: TcpListener,
}

impl AddressBlock {
    /// Reserves a free block.
    ///
    /// # Errors
    /// The last I/O error if none of [`MAX_ATTEMPTS`] blocks could be reserved.
    pub(super) fn reserve() -> io::Result<AddressBlock> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
        for _ in 0..MAX_ATTEMPTS {
            let number = std::process::id()
                .wrapping_mul(PROCESS_ID_STEP)
                .wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed));
            match AddressBlock::reserve_number(number) {
                Ok(block) => return Ok(block),
                Err(e) => last_error = e,
            }
        }
        Err(last_error)
    }

    fn reserve_number(number: u32) -> io::Result<AddressBlock> {
        let second = FIRST_SECOND_OCTET + (number / THIRD_OCTETS % SECOND_OCTETS) as u8;
        let third = (number % THIRD_OCTETS) as u8;
        let address = Ipv4Addr::new(127, second, third, RESERVATION_HOST);
        Ok(AddressBlock {
            octets: (second, third),
            _reservation: TcpListener::bind((address, RESERVATION_PORT))?,
        })
    }

    /// Returns the address on which a limiter listens for clients.
    pub(super) fn client_listener(&self, limiter: usize) -> SocketAddr {
        self.limiter(limiter, CLIENT_PORT)
    }

    /// Returns the address on which a limiter receives datagrams from its peers.
    pub(super) fn peer_listener(&self, limiter: usize) -> SocketAddr {
        self.limiter(limiter, PEER_PORT)
    }

    fn limiter(&self, limiter: usize, port: u16) -> SocketAddr {
        let (second, third) = self.octets;
        SocketAddr::from((Ipv4Addr::new(127, second, third, limiter as u8 + 1), port))
    }
}
