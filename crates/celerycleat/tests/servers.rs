//! The commands that ask servers, against fakes of them.

#[allow(dead_code)]
mod support;

use insta::assert_snapshot;
use serde_json::json;
use support::{FakeServer, Reply, ask};

const APPLY: &str = "config apply base.json overlay.json --expect 4 --command-id c-1";
const ACCEPTED: Reply = Reply::Json(200, r#"{"version":5}"#);
const LOST: Reply = Reply::Json(409, r#"{"winner":6,"winner_command_id":"c-9"}"#);
const INVALID: Reply = Reply::Json(
    422,
    r#"{"faults":[{"path":"$.services.tides.pool","message":"is wrong"},
                  {"path":"$.services.dock.deadline_ms","message":"is wrong too"}]}"#,
);
const NO_QUORUM: Reply = Reply::Json(
    503,
    r#"{"type":"urn:t","title":"No quorum","status":503,"detail":"nothing was changed"}"#,
);
const OVERLOADED: Reply = Reply::Json(
    503,
    r#"{"type":"urn:celerycleat:problem:overloaded","title":"The job could not be completed in time",
        "status":503,"detail":"job 0000000000000001 was not stored; submit it again in 3 s"}"#,
);
const IN_DOUBT: Reply = Reply::Json(
    504,
    r#"{"type":"urn:t","title":"The outcome is unknown","status":504,"detail":"no majority"}"#,
);

async fn unreachable() -> FakeServer {
    let mut server = FakeServer::bind(Reply::HangUp).await;
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    server.address = listener.local_addr().expect("an address");
    server
}

/// Applies to servers that reply so, and returns the exit code with how often
/// each was asked.
async fn apply(replies: &[Option<Reply>]) -> (i32, Vec<usize>) {
    let mut servers = Vec::new();
    for reply in replies {
        servers.push(match reply {
            Some(reply) => FakeServer::bind(*reply).await,
            None => unreachable().await,
        });
    }
    let done = ask(&servers.iter().collect::<Vec<_>>(), APPLY);
    let ids = servers.iter().flat_map(FakeServer::asked);
    assert!(
        ids.into_iter()
            .all(|asked| asked.body["command_id"] == "c-1")
    );
    let asked = servers.iter().map(|server| server.asked().len());
    (done.code.expect("no signal"), asked.collect())
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_sends_the_merged_configuration() {
    let server = FakeServer::bind(ACCEPTED).await;
    assert_snapshot!("apply_accepted", ask(&[&server], APPLY).text(&[&server]));
    let asked = server.asked();
    assert_eq!(asked[0].line, "PUT /config");
    assert_eq!(
        (&asked[0].body["expect"], &asked[0].body["command_id"]),
        (&json!(4), &json!("c-1"))
    );
    let services = &asked[0].body["config"]["services"];
    assert_eq!(services["dock"]["deadline_ms"], 2000);
    assert_eq!(services["tides"]["deadline_ms"], 500);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_makes_an_id_and_tells_it_before_it_sends() {
    let server = FakeServer::bind(ACCEPTED).await;
    let mut ids = Vec::new();
    for _ in 0..2 {
        let done = ask(&[&server], "--json config apply base.json --expect 0");
        let shown = done
            .stderr
            .trim()
            .strip_prefix("command id: ")
            .unwrap()
            .to_owned();
        let json: serde_json::Value = serde_json::from_str(&done.stdout).unwrap();
        assert_eq!(json, json!({"version": 5, "command_id": shown}));
        assert_eq!(server.asked().last().unwrap().body["command_id"], *shown);
        ids.push(shown);
    }
    assert_ne!(ids[0], ids[1]);
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_tells_what_went_wrong_and_how_to_mend_it() {
    let cases = [
        ("apply_lost", LOST),
        ("apply_invalid", INVALID),
        ("apply_no_quorum", NO_QUORUM),
        ("apply_unknown", IN_DOUBT),
        ("apply_not_understood", Reply::Json(200, "no JSON")),
    ];
    for (name, reply) in cases {
        let server = FakeServer::bind(reply).await;
        assert_snapshot!(name, ask(&[&server], APPLY).text(&[&server]));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_goes_on_only_where_that_is_safe() {
    let (some, none) = (Some, None::<Reply>);
    // Not sent, or not proposed: another server may do it.
    assert_eq!(apply(&[none, some(ACCEPTED)]).await, (0, vec![0, 1]));
    assert_eq!(
        apply(&[some(NO_QUORUM), some(ACCEPTED)]).await,
        (0, vec![1, 1])
    );
    // In doubt: the same id gets the answer from another server.
    assert_eq!(
        apply(&[some(Reply::HangUp), some(ACCEPTED)]).await,
        (0, vec![1, 1])
    );
    assert_eq!(apply(&[some(IN_DOUBT), some(LOST)]).await, (1, vec![1, 1]));
    // Decided or invalid: nobody else is asked.
    assert_eq!(apply(&[some(LOST), some(ACCEPTED)]).await, (1, vec![1, 0]));
    assert_eq!(
        apply(&[some(INVALID), some(ACCEPTED)]).await,
        (2, vec![1, 0])
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn apply_in_doubt_stays_unknown() {
    let (some, none) = (Some, None::<Reply>);
    assert_eq!(apply(&[some(Reply::HangUp)]).await, (3, vec![1]));
    // What a later server says of its own attempt ends no doubt.
    assert_eq!(
        apply(&[some(Reply::HangUp), some(NO_QUORUM)]).await,
        (3, vec![1, 1])
    );
    assert_eq!(
        apply(&[some(IN_DOUBT), some(INVALID)]).await,
        (3, vec![1, 1])
    );
    assert_eq!(apply(&[some(IN_DOUBT), none]).await, (3, vec![1, 0]));
    // Never in doubt.
    assert_eq!(apply(&[none, none]).await, (4, vec![0, 0]));
    assert_eq!(apply(&[some(NO_QUORUM), none]).await, (1, vec![1, 0]));
}

#[tokio::test(flavor = "multi_thread")]
async fn query_shows_a_table_or_the_json() {
    let cases = [
        (
            "config show",
            "/config",
            r#"{"version":3,"config":{"pools":{}}}"#,
        ),
        ("config show", "/config", r#"{"version":0,"config":null}"#),
        (
            "config history",
            "/config/history",
            r#"{"history":[{"version":1,"command_id":null,"at_ms":1000,"bytes":20,"index":2},
                {"version":2,"command_id":"c-1","at_ms":2000,"bytes":300,"index":3}]}"#,
        ),
        (
            "config status",
            "/config/status",
            r#"{"version":3,"instances":[
                {"name":"e1","data_centre":"dc1","version":3,"lease":"live","votes":true},
                {"name":"e2","data_centre":null,"version":null,"lease":"lapsed","votes":false}]}"#,
        ),
        (
            "pool list",
            "/pools",
            r#"{"pools":[{"name":"runners","availability_budget":1,"instances":10,"away":2}]}"#,
        ),
        (
            "instance list",
            "/instances",
            r#"{"instances":[{"name":"r1","pool":"runners","data_centre":"dc1","rack":"k1","targets":2,
                "phase":"leaving","moves_to":"spare","maintenance":null}]}"#,
        ),
        (
            "target list",
            "/targets",
            r#"{"targets":[{"name":"t1","service":"dock","address":"127.0.0.1:81","instance":"r1",
                "data_centre":"dc1","slots":8,"connections":64,"incarnation":7}]}"#,
        ),
        (
            "status",
            "/status",
            r#"{"name":"e1","data_centre":"dc1","role":"follower","term":3,"leader":null,"applied":9,
                "version":2,"in_service":true,"targets":4,"members":null}"#,
        ),
    ];
    let mut shown = String::new();
    for (words, path, answer) in cases {
        let server = FakeServer::bind(Reply::Json(200, answer)).await;
        let done = ask(&[&server], words);
        assert_eq!((done.code, done.stderr.as_str()), (Some(0), ""), "{words}");
        shown.push_str(&format!("$ {words}\n{}", done.stdout));
        assert_eq!(server.asked()[0].line, format!("GET {path}"));
        let json = ask(&[&server], &format!("--json {words}")).stdout;
        let json: serde_json::Value = serde_json::from_str(&json).unwrap();
        assert_eq!(
            json,
            serde_json::from_str::<serde_json::Value>(answer).unwrap()
        );
    }
    assert_snapshot!("query_tables", shown);
}

#[tokio::test(flavor = "multi_thread")]
async fn query_tries_the_next_server() {
    let good = FakeServer::bind(Reply::Json(200, r#"{"pools":[]}"#)).await;
    let gone = unreachable().await;
    let rude = FakeServer::bind(Reply::HangUp).await;
    let weak = FakeServer::bind(NO_QUORUM).await;
    assert_eq!(
        ask(&[&gone, &rude, &weak, &good], "pool list").code,
        Some(0)
    );
    assert_eq!((rude.asked().len(), weak.asked().len()), (1, 1));
    let refused = ask(&[&weak, &gone], "pool list");
    assert_snapshot!("query_refused", refused.text(&[&weak, &gone]));
    let none = ask(&[&gone, &rude], "pool list");
    assert_snapshot!("query_no_server", none.text(&[&gone, &rude]));
}

/// Guards against an overload that is reported as success or as unknown, against asking
/// further servers that forward the job to the same leader, and against a refusal that
/// hides an earlier attempt without answer.
#[tokio::test(flavor = "multi_thread")]
async fn job_refused_for_lack_of_capacity_names_the_time() {
    let submit = "job submit job.json --id 0000000000000001";
    let (first, second) = (
        FakeServer::bind(OVERLOADED).await,
        FakeServer::bind(OVERLOADED).await,
    );
    let done = ask(&[&first, &second], submit);
    assert_eq!(done.code, Some(1), "{}", done.stderr);
    assert!(
        done.stderr.contains("submit it again in 3 s"),
        "{}",
        done.stderr
    );
    assert_eq!((first.asked().len(), second.asked().len()), (1, 0));
    let silent = FakeServer::bind(Reply::HangUp).await;
    let done = ask(&[&silent, &second], submit);
    assert_eq!(done.code, Some(3), "{}", done.stderr);
}
