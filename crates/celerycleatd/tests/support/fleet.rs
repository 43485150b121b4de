//! Several daemons and what operators and callers ask of them.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cleat_fakes::{FreeAddresses, StandInTarget, TargetOptions, fetch};
use http::{Method, Request, Response};
use http_body_util::Full;
use indexmap::IndexMap;
use serde_json::{Value, json};
use tempfile::TempDir;

use super::Daemon;

/// Generous: only a test that fails waits this long.
const PATIENCE: Duration = Duration::from_secs(60);
const PAUSE: Duration = Duration::from_millis(20);
const CALL_LIMIT: Duration = Duration::from_secs(15);

/// A request of a caller.
#[derive(Clone, Copy)]
pub(crate) struct Call<'a> {
    pub(crate) method: CallMethod,
    pub(crate) path: &'a str,
    pub(crate) key: Option<&'a str>,
}

/// The methods that the tests use.
#[derive(Clone, Copy)]
pub(crate) enum CallMethod {
    Get,
    Post,
}

pub(crate) struct Fleet {
    folder: TempDir,
    settings: IndexMap<Box<str>, PathBuf>,
    pub(crate) daemons: IndexMap<Box<str>, Daemon>,
}

impl Fleet {
    /// Starts instances `e1`, `e2`… in data centres `dc1`, `dc2`…; the first
    /// `voters` of them have a disk.
    pub(crate) async fn start(count: usize, voters: usize) -> Fleet {
        let folder = TempDir::new().expect("a folder");
        let peers: Vec<_> = (1..=count).map(|i| peer(i, i <= voters)).collect();
        let mut fleet = Fleet {
            folder,
            settings: IndexMap::new(),
            daemons: IndexMap::new(),
        };
        for i in 1..=count {
            fleet.write_settings(i, &peers, i <= voters);
        }
        for i in 1..=count {
            fleet.start_daemon(&format!("e{i}"));
        }
        for i in 1..=count {
            fleet.wait_ready(&format!("e{i}")).await;
        }
        fleet
    }

    fn write_settings(&mut self, i: usize, peers: &[Value], votes: bool) {
        let name = format!("e{i}");
        let any = "127.0.0.1:0";
        let data_folder = votes.then(|| self.data_folder(&name));
        let settings = json!({
            "name": name, "data_centre": format!("dc{i}"),
            "listen": {"callers": any, "targets": any, "operators": any, "peers": peers[i - 1]["address"]},
            "peers": peers, "data_folder": data_folder,
        });
        let path = self.folder.path().join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("settings");
        self.settings.insert(name.into(), path);
    }

    pub(crate) fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.path().join("data").join(name)
    }

    /// Starts the instance, again if it ran before.
    pub(crate) fn start_daemon(&mut self, name: &str) {
        let log = self.folder.path().join(format!("{name}.log"));
        let daemon = Daemon::start(&self.settings[name], log);
        self.daemons.insert(name.into(), daemon);
    }

    pub(crate) fn names(&self) -> Vec<Box<str>> {
        self.daemons.keys().cloned().collect()
    }

    pub(crate) async fn wait_ready(&self, name: &str) {
        let address = self.daemons[name].callers;
        patiently(&format!("{name} to be ready"), async || {
            let req = request(&Method::GET, "/-/ready", Bytes::new());
            bounded(address, req).await.filter(|a| a.status() == 200)
        })
        .await;
    }

    /// The instance that leads.
    pub(crate) async fn leader(&self) -> Box<str> {
        patiently("a leader", async || {
            for name in self.daemons.keys() {
                let status = self
                    .operator(name, Method::GET, "/status", &Value::Null)
                    .await;
                if status.is_some_and(|(_, body)| body["role"] == "leader") {
                    return Some(name.clone());
                }
            }
            None
        })
        .await
    }

    /// Asks an instance as an operator; `None` without an answer.
    pub(crate) async fn operator(
        &self,
        name: &str,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<(u16, Value)> {
        let address = self.daemons[name].operators;
        let req = request(&method, path, body.to_string().into());
        let answer = bounded(address, req).await?;
        let body = serde_json::from_slice(answer.body()).unwrap_or_default();
        Some((answer.status().as_u16(), body))
    }

    /// Puts a configuration into force through `name`.
    pub(crate) async fn configure(&self, name: &str, expect: u64, config: &Value) -> (u16, Value) {
        let id = format!(
            "{name}-{expect}-{}",
            config["services"]["dock"]["deadline_ms"]
        );
        let change = json!({"expect": expect, "command_id": id, "config": config});
        patiently("a configuration to be decided", async || {
            let answer = self.operator(name, Method::PUT, "/config", &change).await;
            answer.filter(|(status, _)| *status < 500)
        })
        .await
    }

    /// The version in force on an instance, by its own account.
    pub(crate) async fn version(&self, name: &str) -> Option<u64> {
        let (_, status) = self
            .operator(name, Method::GET, "/status", &Value::Null)
            .await?;
        status["version"].as_u64()
    }

    /// Binds a target on `instance` that announces itself to `entry` only.
    pub(crate) async fn target(&self, name: &str, instance: usize, entry: &str) -> StandInTarget {
        let options = TargetOptions {
            name: name.into(),
            instance: format!("r{instance}").into(),
            data_centre: format!("dc{instance}").into(),
            announce: vec![self.daemons[entry].targets],
            ..TargetOptions::default()
        };
        let target = StandInTarget::bind(options).await.expect("a target");
        target.wait_announced(PATIENCE).await.expect("announced");
        target
    }

    /// Sends a caller's request through `name`.
    pub(crate) async fn call(&self, name: &str, call: Call<'_>) -> Option<Response<Bytes>> {
        send_call(self.daemons[name].callers, call).await
    }

    /// Calls through `name` until the answer has this outcome.
    pub(crate) async fn call_until(&self, name: &str, outcome: &str, call: Call<'_>) {
        let what = format!("an outcome {outcome} through {name}");
        patiently(&what, async || {
            let answer = self.call(name, call).await?;
            (outcome_of(&answer) == outcome).then_some(())
        })
        .await;
    }
}

impl<'a> Call<'a> {
    pub(crate) fn get(path: &'a str) -> Call<'a> {
        Call {
            method: CallMethod::Get,
            path,
            key: None,
        }
    }

    pub(crate) fn post(path: &'a str, key: &'a str) -> Call<'a> {
        Call {
            method: CallMethod::Post,
            path,
            key: Some(key),
        }
    }
}

pub(crate) async fn send_call(address: SocketAddr, call: Call<'_>) -> Option<Response<Bytes>> {
    let method = match call.method {
        CallMethod::Get => Method::GET,
        CallMethod::Post => Method::POST,
    };
    let mut req = request(&method, call.path, Bytes::new());
    if let Some(key) = call.key {
        let key = key.parse().expect("a header value");
        req.headers_mut().insert("idempotency-key", key);
    }
    bounded(address, req).await
}

pub(crate) fn outcome_of(answer: &Response<Bytes>) -> &str {
    let value = answer.headers().get("celerycleat-outcome");
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

/// A configuration with an instance and a data centre for each of three.
pub(crate) fn example_config(deadline_ms: u64) -> Value {
    let instance = |i: u32| json!({"data_centre": format!("dc{i}"), "rack": format!("k{i}")});
    json!({
        "data_centres": {"dc1": {}, "dc2": {}, "dc3": {}},
        "pools": {"runners": {"instances": {"r1": instance(1), "r2": instance(2), "r3": instance(3)}}},
        "services": {"dock": {"pool": "runners", "deadline_ms": deadline_ms}},
        "targets": {"lease_ms": 3000},
    })
}

/// Asks again and again until there is an answer.
pub(crate) async fn patiently<T>(what: &str, ask: impl AsyncFn() -> Option<T>) -> T {
    let start = Instant::now();
    loop {
        if let Some(value) = ask().await {
            return value;
        }
        assert!(start.elapsed() < PATIENCE, "waited in vain for {what}");
        tokio::time::sleep(PAUSE).await;
    }
}

fn peer(i: usize, votes: bool) -> Value {
    let address = FreeAddresses.next();
    json!({"name": format!("e{i}"), "data_centre": format!("dc{i}"), "address": address, "votes": votes})
}

fn request(method: &Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "instance")
        .body(Full::new(body))
        .expect("a request")
}

async fn bounded(address: SocketAddr, req: Request<Full<Bytes>>) -> Option<Response<Bytes>> {
    let answer = tokio::time::timeout(CALL_LIMIT, fetch(address, req)).await;
    answer.ok()?.ok()
}
