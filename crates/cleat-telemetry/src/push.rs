//! Sends the numbers to a statsd server, if one is set.

use std::net::{Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient};
use indexmap::IndexMap;
use snafu::ResultExt;

use crate::TelemetryError;
use crate::counters::{Counters, Kind};
use crate::error::{SinkSnafu, SocketSnafu};

const PREFIX: &str = "celerycleat";

/// Remembers what was sent, so that counters are sent as increases.
#[derive(Debug)]
pub(crate) struct Push {
    client: StatsdClient,
    counters: Counters,
    sent: IndexMap<Box<str>, u64>,
}

impl Push {
    /// Sends nothing yet.
    pub(crate) fn new(
        counters: Counters,
        statsd: Option<SocketAddr>,
    ) -> Result<Push, TelemetryError> {
        let client = match statsd {
            Some(address) => StatsdClient::from_sink(PREFIX, sink(address)?),
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        let sent = IndexMap::new();
        Ok(Push {
            client,
            counters,
            sent,
        })
    }

    /// Sends every number that changed, and every gauge.
    pub(crate) fn send(&mut self) {
        let Push {
            client,
            counters,
            sent,
        } = self;
        counters.visit(|name, kind, value| match kind {
            Kind::Counter => {
                let before = sent.get(name).copied().unwrap_or_default();
                let more = value.saturating_sub(before);
                // What does not fit now is sent next time.
                let more = i64::try_from(more).unwrap_or(i64::MAX);
                if more > 0 && client.count(name, more).is_ok() {
                    sent.insert(name.into(), before + more.unsigned_abs());
                }
            }
            Kind::Gauge => drop(client.gauge(name, value)),
        });
        // Datagrams may be lost; the numbers themselves stay in the registry.
        let _ = client.flush();
    }
}

fn sink(address: SocketAddr) -> Result<BufferedUdpMetricSink, TelemetryError> {
    let any: SocketAddr = match address {
        SocketAddr::V4(_) => (Ipv4Addr::UNSPECIFIED, 0).into(),
        SocketAddr::V6(_) => (Ipv6Addr::UNSPECIFIED, 0).into(),
    };
    let socket = UdpSocket::bind(any).context(SocketSnafu)?;
    socket.set_nonblocking(true).context(SocketSnafu)?;
    BufferedUdpMetricSink::from(address, socket).context(SinkSnafu)
}
