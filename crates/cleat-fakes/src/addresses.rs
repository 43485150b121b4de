//! Loopback addresses that no other test process uses.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

/// Hosts used of each /24 network: `.1` to `.254`.
const HOSTS: u32 = 254;
/// Below the range from which the system takes ephemeral ports.
const FIRST_PORT: u16 = 7_000;
const PORTS: u32 = 20_000;

/// Counts over the whole process, so that parallel tests share it.
static TAKEN: AtomicU32 = AtomicU32::new(0);

/// Hands out addresses `127.x.y.z:PORT` with a fixed port, for settings that
/// have to state a port before it is bound.
///
/// Invariant: no address is handed out twice in one process, and two
/// processes share a network only if their ids agree modulo 64,516.
#[derive(Debug, Clone, Copy, Default)]
pub struct FreeAddresses;

impl FreeAddresses {
    /// An address that this process has not used yet.
    pub fn next(self) -> SocketAddr {
        let n = TAKEN.fetch_add(1, Ordering::Relaxed);
        address(std::process::id(), n)
    }
}

fn address(pid: u32, n: u32) -> SocketAddr {
    // A zero in the second octet is left to ordinary uses of 127.0.0.1.
    let second = octet(pid / HOSTS);
    let third = octet(pid);
    let host = Ipv4Addr::new(127, second, third, octet(n));
    let offset = u16::try_from(n / HOSTS % PORTS).unwrap_or(0);
    SocketAddr::new(IpAddr::V4(host), FIRST_PORT + offset)
}

fn octet(n: u32) -> u8 {
    u8::try_from(n % HOSTS + 1).unwrap_or(1)
}
