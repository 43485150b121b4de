//! The operators' and targets' interfaces over HTTP, with a control plane of
//! one replica in memory.

mod support;

use cleat_operate::ControlError;
use http::Method;
use serde_json::{Value, json};
use support::Fixture;

fn config() -> Value {
    json!({
        "data_centres": {"dc1": {}},
        "pools": {"runners": {"instances": {"r1": {"data_centre": "dc1", "rack": "k1"}}}},
        "services": {"dock": {"pool": "runners"}}
    })
}

fn announcement() -> Value {
    json!({"service": "dock", "address": "127.0.0.1:9001", "instance": "r1", "data_centre": "dc1"})
}

async fn configured() -> Fixture {
    let fixture = Fixture::start().await;
    let change = json!({"expect": 0, "command_id": "a", "config": config()});
    let (status, body) = fixture.operator(Method::PUT, "/config", &change).await;
    assert_eq!((status, body), (200, json!({"version": 1})));
    fixture
}

#[tokio::test]
async fn config_race_names_the_winner() {
    let f = configured().await;
    let late = json!({"expect": 0, "command_id": "b", "config": config()});
    let (status, body) = f.operator(Method::PUT, "/config", &late).await;
    assert_eq!(status, 409);
    assert_eq!(body, json!({"winner": 1, "winner_command_id": "a"}));
    let again = json!({"expect": 0, "command_id": "a", "config": config()});
    let (status, body) = f.operator(Method::PUT, "/config", &again).await;
    assert_eq!((status, body), (200, json!({"version": 1})));
}

#[tokio::test]
async fn config_faults_are_all_listed() {
    let f = Fixture::start().await;
    let change = json!({"expect": 0, "config": {"data_centres": {}, "pools": {}, "services": {"s": {"pool": "p"}}, "x": 1}});
    let (status, body) = f.operator(Method::PUT, "/config", &change).await;
    assert_eq!(status, 422);
    let paths: Vec<_> = body["faults"].as_array().into_iter().flatten().collect();
    let paths: Vec<_> = paths
        .iter()
        .filter_map(|fault| fault["path"].as_str())
        .collect();
    assert_eq!(paths, ["$.x", "$.services.s.pool"]);
    let (status, body) = f
        .operator(Method::PUT, "/config", &json!({"expect": -1}))
        .await;
    assert_eq!(status, 422);
    assert_eq!(body["faults"].as_array().map(Vec::len), Some(2));
}

#[tokio::test]
async fn config_without_quorum_changes_nothing() {
    let f = configured().await;
    f.control.fail_with(Some(ControlError::NoQuorum));
    let change = json!({"expect": 1, "config": config()});
    let (status, body) = f.operator(Method::PUT, "/config", &change).await;
    assert_eq!(status, 503);
    assert_eq!(body["type"], "urn:celerycleat:problem:no-quorum");
    f.control.fail_with(None);
    let (_, body) = f.operator(Method::GET, "/config", &Value::Null).await;
    assert_eq!(body["version"], 1);
}

#[tokio::test]
async fn config_not_in_force_is_unknown() {
    let f = configured().await;
    f.control.block_in_force(true);
    let change = json!({"expect": 1, "config": config()});
    let (status, _) = f.operator(Method::PUT, "/config", &change).await;
    assert_eq!(status, 504);
}

#[tokio::test]
async fn request_bad_is_a_typed_problem() {
    let f = Fixture::start().await;
    let (status, body) = f.operator(Method::GET, "/nothing", &Value::Null).await;
    assert_eq!(
        (status, &body["type"]),
        (404, &json!("urn:celerycleat:problem:not-found"))
    );
    let (status, _) = f.operator(Method::DELETE, "/config", &Value::Null).await;
    assert_eq!(status, 405);
    let (status, _) = f.operator_text(Method::PUT, "/config", "{").await;
    assert_eq!(status, 400);
    let large = "x".repeat((4 << 20) + 1);
    let (status, _) = f.operator_text(Method::PUT, "/config", &large).await;
    assert_eq!(status, 413);
}

#[tokio::test]
async fn target_announces_renews_and_leaves() {
    let f = configured().await;
    let (status, first) = f.target(Method::PUT, "/targets/t1", &announcement()).await;
    assert_eq!((status, &first["lease_ms"]), (200, &json!(5000)));
    let (_, again) = f.target(Method::PUT, "/targets/t1", &announcement()).await;
    assert_eq!(first, again);
    assert_eq!(f.control.renewals(), 1);
    let (_, body) = f.operator(Method::GET, "/targets", &Value::Null).await;
    assert_eq!(body["targets"][0]["slots"], 8);
    let (_, body) = f.operator(Method::GET, "/pools", &Value::Null).await;
    assert_eq!(body["pools"][0]["away"], 0);
    let (status, _) = f.target(Method::DELETE, "/targets/t1", &Value::Null).await;
    assert_eq!(status, 200);
    let (_, body) = f.operator(Method::GET, "/targets", &Value::Null).await;
    assert_eq!(body, json!({"targets": []}));
}

#[tokio::test]
async fn target_with_a_bad_address_is_refused() {
    let f = configured().await;
    for address in ["nowhere", "127.0.0.1:0", "0.0.0.0:80"] {
        let mut bad = announcement();
        bad["address"] = json!(address);
        let (status, body) = f.target(Method::PUT, "/targets/t1", &bad).await;
        assert_eq!(
            (status, &body["faults"][0]["path"]),
            (422, &json!("$.address"))
        );
    }
    let mut bad = announcement();
    bad["service"] = json!("nothing");
    let (status, body) = f.target(Method::PUT, "/targets/t1", &bad).await;
    assert_eq!(
        (status, &body["type"]),
        (404, &json!("urn:celerycleat:problem:unknown-service"))
    );
}
