//! The cost of targets that only renew their leases.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cleat_fakes::HttpConnection;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::support::{Fleet, patiently};
use crate::{REPEATS, sample};

const SETTLE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(10);
const LEASE_MS: u64 = 5_000;
const RENEW_EVERY: Duration = Duration::from_millis(LEASE_MS / 3);

pub(crate) async fn measure() {
    for size in [50, 200, 800] {
        for _ in 0..REPEATS {
            let fleet = Fleet::start(3, 3).await;
            let (status, body) = fleet.configure("e1", 0, &fleet_config(size, 2_000)).await;
            assert_eq!(status, 200, "{body}");
            let renewing = announce(&fleet, size);
            patiently("every target to be known", async || {
                let answer = fleet
                    .operator("e1", Method::GET, "/status", &Value::Null)
                    .await;
                (answer?.1["targets"] == json!(size)).then_some(())
            })
            .await;
            tokio::time::sleep(SETTLE).await;
            sample::window(&fleet, "targets", size, WINDOW).await;
            drop(renewing);
        }
    }
}

/// A configuration of `instances`, twelve a pool, four a rack.
pub(crate) fn fleet_config(instances: usize, deadline_ms: u64) -> Value {
    let pools = instances.div_ceil(12);
    let mut config = json!({
        "data_centres": {}, "pools": {}, "services": {}, "targets": {"lease_ms": LEASE_MS},
    });
    for dc in 0..11 {
        config["data_centres"][format!("dc{dc}")] = json!({});
    }
    for i in 0..instances {
        let pool = format!("pool{}", i % pools);
        let place = json!({"data_centre": format!("dc{}", i % 11), "rack": format!("k{}", i / 44)});
        config["pools"][&pool]["instances"][format!("r{i}")] = place;
    }
    for pool in 0..pools {
        let service = json!({"pool": format!("pool{pool}"), "deadline_ms": deadline_ms});
        config["services"][format!("service{pool}")] = service;
    }
    config["services"]["dock"] = json!({"pool": "pool0", "deadline_ms": deadline_ms});
    config
}

/// Targets that renew in turn at all instances, over one connection each.
fn announce(fleet: &Fleet, count: usize) -> JoinSet<()> {
    let pools = count.div_ceil(12);
    let entries: Vec<_> = fleet
        .daemons
        .values()
        .map(|daemon| daemon.targets)
        .collect();
    let mut renewing = JoinSet::new();
    for i in 0..count {
        let port = 20_000 + u16::try_from(i).expect("few targets");
        let announcement = json!({
            "service": format!("service{}", i % pools), "address": format!("127.9.9.9:{port}"),
            "instance": format!("r{i}"), "data_centre": format!("dc{}", i % 11),
        });
        renewing.spawn(renew(entries[i % entries.len()], i, announcement));
    }
    renewing
}

async fn renew(entry: SocketAddr, i: usize, announcement: Value) {
    let mut connection = HttpConnection::open(entry).await.expect("a connection");
    loop {
        let req = Request::builder()
            .method(Method::PUT)
            .uri(format!("/targets/t{i}"))
            .header("host", "instance")
            .body(Full::new(Bytes::from(announcement.to_string())))
            .expect("a request");
        let answer = connection.send(req).await.expect("an answer");
        let _ = answer.into_body().collect().await;
        tokio::time::sleep(RENEW_EVERY).await;
    }
}
