//! Loopback addresses of a fleet that no other fleet uses.

use std::{
    net::SocketAddr,
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// The first port; all ports stay below the system's range of ephemeral ports.
const FIRST_PORT: u16 = 10_000;
/// The number of ports of one fleet.
const FLEET_PORTS: u16 = 8;

/// The offset of the port on which a host serves everyone.
const PUBLIC_PORT: u16 = 0;
/// The offset of the port on which a host serves its peers or the tests.
const INTERNAL_PORT: u16 = 1;

/// The offset of the port on which a host listens for its peers behind a relay.
const RELAYED_PORT: u16 = 2;

/// The number of the next fleet.
static NEXT_FLEET: AtomicU16 = AtomicU16::new(0);

/// The addresses of one fleet: a /24 network of its test process and a range of ports of its own.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    subnet: [u8; 3],
    port: u16,
}

impl Network {
    /// Allocates a network from the process id and a counter.
    #[must_use]
    pub fn allocate() -> Self {
        let fleet = NEXT_FLEET.fetch_add(1, Ordering::Relaxed);
        // Process ids have 22 bits, and those of two processes that run at once seldom differ in the
        // upper bits.
        let [_, upper, middle, lower] = process::id().to_be_bytes();
        Self {
            subnet: [127, middle, lower ^ upper],
            port: FIRST_PORT + FLEET_PORTS * fleet,
        }
    }

    /// Returns the address at which a host serves everyone.
    #[must_use]
    pub fn public(self, host: u8) -> SocketAddr {
        self.address(host, PUBLIC_PORT)
    }

    /// Returns the address at which a host serves its peers or the tests.
    #[must_use]
    pub fn internal(self, host: u8) -> SocketAddr {
        self.address(host, INTERNAL_PORT)
    }

    /// Returns the address at which a host listens for its peers behind a relay.
    #[must_use]
    pub fn behind_relay(self, host: u8) -> SocketAddr {
        self.address(host, RELAYED_PORT)
    }

    fn address(self, host: u8, offset: u16) -> SocketAddr {
        let [a, b, c] = self.subnet;
        SocketAddr::from(([a, b, c, host], self.port + offset))
    }
}
