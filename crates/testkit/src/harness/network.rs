//! Loopback addresses that no other fleet uses.

use std::{
    net::SocketAddr,
    process,
    sync::atomic::{AtomicU16, Ordering},
};

/// The first port; all ports stay below those that the system gives to clients.
const FIRST_PORT: u16 = 10_000;
/// The ports of one fleet.
const FLEET_PORTS: u16 = 8;

/// The port of what a host serves to everyone.
const PUBLIC_PORT: u16 = 0;
/// The port of what a host serves to its peers or its tests.
const INTERNAL_PORT: u16 = 1;

/// The port at which a host listens for its peers behind a relay.
const RELAYED_PORT: u16 = 2;

static FLEETS: AtomicU16 = AtomicU16::new(0);

/// The addresses of one fleet: a /24 of its process and a range of ports of its own.
#[derive(Clone, Copy, Debug)]
pub struct Network {
    subnet: [u8; 3],
    port: u16,
}

impl Network {
    /// Draws a network from the process's number and a counter.
    #[must_use]
    pub fn allocate() -> Self {
        let fleet = FLEETS.fetch_add(1, Ordering::Relaxed);
        // Process numbers have 22 bits, and two that run at once seldom differ in the upper ones.
        let [_, upper, middle, lower] = process::id().to_be_bytes();
        Self {
            subnet: [127, middle, lower ^ upper],
            port: FIRST_PORT + FLEET_PORTS * fleet,
        }
    }

    /// Returns the address of what a host serves to everyone.
    #[must_use]
    pub fn public(self, host: u8) -> SocketAddr {
        self.address(host, PUBLIC_PORT)
    }

    /// Returns the address of what a host serves to its peers or its tests.
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
