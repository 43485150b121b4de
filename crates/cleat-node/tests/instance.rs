//! A single instance without peers.
#![allow(clippy::unwrap_used)]

use cleat_node::Instance;
use cleat_settings::Settings;
use cleat_telemetry::Counters;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const REQUEST: &[u8] = b"GET /dock/x HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\r\n";

#[tokio::test]
async fn start_counts_requests_in_the_given_registry() {
    let counters = Counters::default();
    let started = Instance::start(&Settings::dev(), counters.clone()).await;
    let instance = started.unwrap();
    let mut caller = TcpStream::connect(instance.addresses().callers)
        .await
        .unwrap();
    caller.write_all(REQUEST).await.unwrap();
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.unwrap();
    instance.stop().await;
    // The same registry is exported to statsd.
    assert_eq!(counters.counter("entry.requests").get(), 1);
    assert_eq!(counters.counter("entry.not_run").get(), 1);
}
