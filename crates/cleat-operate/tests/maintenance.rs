//! Moves and maintenance waves over HTTP.

#[allow(dead_code)]
mod support;

use http::Method;
use serde_json::{Value, json};
use support::Fixture;

fn config(budget: u64) -> Value {
    let instance = json!({"data_centre": "dc1", "rack": "k1"});
    json!({
        "data_centres": {"dc1": {}},
        "pools": {
            "a": {"instances": {"r1": instance, "r2": instance}, "availability_budget": budget},
            "b": {"instances": {"r3": instance}, "availability_budget": 1},
        },
        "services": {"dock": {"pool": "a"}},
        "platform": {"address": "127.0.0.1:9"},
    })
}

async fn serving() -> Fixture {
    let f = Fixture::start().await;
    let change = json!({"expect": 0, "config": config(1)});
    assert_eq!(f.operator(Method::PUT, "/config", &change).await.0, 200);
    for i in 1..=2 {
        let announcement = json!({"service": "dock", "address": format!("127.0.0.1:900{i}"),
            "instance": format!("r{i}"), "data_centre": "dc1"});
        let path = format!("/targets/t{i}");
        assert_eq!(f.target(Method::PUT, &path, &announcement).await.0, 200);
    }
    f
}

fn problem(body: &Value) -> &str {
    let kind = body["type"].as_str().unwrap_or("");
    kind.trim_start_matches("urn:celerycleat:problem:")
}

#[tokio::test]
async fn move_is_listed_and_repeats_its_answer() {
    let f = serving().await;
    let order = json!({"pool": "b", "command_id": "m-1"});
    let first = f.operator(Method::POST, "/instances/r1/move", &order).await;
    assert_eq!((first.0, &first.1["state"]), (200, &json!("moving")));
    let again = f.operator(Method::POST, "/instances/r1/move", &order).await;
    assert_eq!(again, first);
    let (_, body) = f.operator(Method::GET, "/instances", &Value::Null).await;
    let shown = &body["instances"][0];
    assert_eq!(
        (&shown["pool"], &shown["phase"], &shown["moves_to"]),
        (&json!("a"), &json!("leaving"), &json!("b"))
    );
    let (_, body) = f.operator(Method::GET, "/pools", &Value::Null).await;
    assert_eq!(body["pools"][0]["away"], 1);
    // The target of a leaving instance is rejected with a problem that asks it to retry.
    let announcement = json!({"service": "dock", "address": "127.0.0.1:9001",
        "instance": "r1", "data_centre": "dc1"});
    let (status, body) = f.target(Method::PUT, "/targets/t1", &announcement).await;
    assert_eq!((status, problem(&body)), (409, "instance-away"));
}

#[tokio::test]
async fn move_rejection_is_a_typed_problem() {
    let f = serving().await;
    f.operator(Method::POST, "/instances/r1/move", &json!({"pool": "b"}))
        .await;
    let cases = [
        ("r9", json!({"pool": "b"}), 404, "unknown-instance"),
        ("r2", json!({"pool": "z"}), 404, "unknown-pool"),
        ("r2", json!({"pool": "b"}), 409, "over-budget"),
        ("r1", json!({"pool": "a"}), 409, "move-in-progress"),
        ("r2", json!({}), 422, ""),
    ];
    for (instance, order, status, kind) in cases {
        let path = format!("/instances/{instance}/move");
        let (got, body) = f.operator(Method::POST, &path, &order).await;
        assert_eq!((got, problem(&body)), (status, kind), "{instance} {order}");
    }
}

#[tokio::test]
async fn wave_starts_pauses_and_reports_its_wait_reason() {
    let f = serving().await;
    let id = |id: &str| json!({"command_id": id});
    let post = async |path: &str, id: &Value| f.operator(Method::POST, path, id).await;
    let (status, started) = post("/maintenance/a/start", &id("w-1")).await;
    assert_eq!((status, &started["state"]), (200, &json!("started")));
    assert_eq!(post("/maintenance/a/start", &id("w-1")).await.1, started);
    let (status, body) = post("/maintenance/a/start", &id("w-2")).await;
    assert_eq!((status, problem(&body)), (409, "wave-in-progress"));
    assert_eq!(post("/maintenance/a/pause", &id("p")).await.0, 200);
    let (_, shown) = f.operator(Method::GET, "/maintenance", &Value::Null).await;
    let wave = &shown["waves"][0];
    assert_eq!(
        (&wave["state"], &wave["waiting_for"]["reason"]),
        (&json!("paused"), &json!("paused"))
    );
    assert_eq!(post("/maintenance/a/resume", &id("r")).await.0, 200);
    // A command id cannot be reused for another kind of command.
    let (status, body) = post(
        "/instances/r1/move",
        &json!({"pool": "b", "command_id": "r"}),
    )
    .await;
    assert_eq!((status, problem(&body)), (409, "command-id-taken"));
    let (status, body) = post("/maintenance/z/start", &id("z")).await;
    assert_eq!((status, problem(&body)), (404, "unknown-pool"));
    assert_eq!(post("/maintenance/a/stop", &id("s")).await.0, 404);
}

#[tokio::test]
async fn config_over_budget_names_the_pool() {
    let f = serving().await;
    f.operator(Method::POST, "/instances/r1/move", &json!({"pool": "b"}))
        .await;
    let change = json!({"expect": 1, "config": config(0)});
    let (status, body) = f.operator(Method::PUT, "/config", &change).await;
    assert_eq!(status, 422);
    let path = &body["faults"][0]["path"];
    assert_eq!(path, "$.pools.a.availability_budget");
}
