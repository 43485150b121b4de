//! Moves and waves, against fakes of servers.

#[allow(dead_code)]
mod support;

use insta::assert_snapshot;
use serde_json::json;
use support::{FakeServer, Reply, ask};

const MOVING: Reply = Reply::Json(
    200,
    r#"{"instance":"r1","pool":"spare","state":"moving","epoch":9}"#,
);
const NO_ROOM: Reply = Reply::Json(
    409,
    r#"{"type":"urn:celerycleat:problem:over-budget","title":"No room","status":409,"detail":"1 away"}"#,
);
const NO_PATH: Reply = Reply::Json(
    404,
    r#"{"type":"urn:celerycleat:problem:not-found","title":"No path","status":404,"detail":""}"#,
);
const TOO_LONG: Reply = Reply::Json(
    422,
    r#"{"faults":[{"path":"$.command_id","message":"is too long"}]}"#,
);
const WAVES: &str = r#"{"waves":[
    {"pool":"a","wave":7,"state":"running","waiting_for":{"reason":"budget","budget":1,"away":["r2"]},
     "instances":[{"name":"r1","step":"done"},{"name":"r2","step":"probation"},{"name":"r3","step":"waiting"}]},
    {"pool":"b","wave":8,"state":"paused","waiting_for":{"reason":"paused"},
     "instances":[{"name":"r4","step":"failed"}]},
    {"pool":"c","wave":9,"state":"running","waiting_for":{"reason":"reserve","allowed":2,"away":["r7","r8"]},
     "instances":[]},
    {"pool":"d","wave":6,"state":"ended","waiting_for":null,"instances":[{"name":"r5","step":"done"}]}]}"#;

#[tokio::test(flavor = "multi_thread")]
async fn move_sends_its_id_and_tells_what_becomes_of_it() {
    let server = FakeServer::bind(MOVING).await;
    let done = ask(&[&server], "instance move r1 spare --command-id m-1");
    assert_eq!((done.code, done.stderr.as_str()), (Some(0), ""));
    assert_eq!(done.stdout, "r1 is moving to spare (command m-1)\n");
    let asked = &server.asked()[0];
    assert_eq!(asked.line, "POST /instances/r1/move");
    assert_eq!(asked.body, json!({"pool": "spare", "command_id": "m-1"}));
}

#[tokio::test(flavor = "multi_thread")]
async fn order_exit_codes_tell_refused_from_unknown() {
    let words = "maintenance start runners --command-id w-1";
    let lost = FakeServer::bind(Reply::HangUp).await;
    let cases = [(NO_ROOM, 1, 1), (NO_PATH, 2, 3), (TOO_LONG, 2, 3)];
    for (reply, alone, after_doubt) in cases {
        let server = FakeServer::bind(reply).await;
        assert_eq!(ask(&[&server], words).code, Some(alone), "{reply:?}");
        let both = ask(&[&lost, &server], words);
        assert_eq!(both.code, Some(after_doubt), "{reply:?}");
    }
    assert_eq!(ask(&[&lost], words).code, Some(3));
}

#[tokio::test(flavor = "multi_thread")]
async fn status_says_what_each_wave_waits_for() {
    let server = FakeServer::bind(Reply::Json(200, WAVES)).await;
    let shown = ask(&[&server], "maintenance status").stdout;
    assert_snapshot!(shown, @"
    POOL  STATE    DONE  UNDER WAY       FAILED       WAITS FOR
    a     running  1/3   r2 (probation)  -            one of r2 to come back; 1 may be away
    b     paused   0/1   -               r4 (failed)  an operator to resume it
    c     running  0/0   -               -            one of r7, r8 to come back; with more than 2 away a rack's loss would break the budget
    d     ended    1/1   -               -            -
    ");
}

#[tokio::test(flavor = "multi_thread")]
async fn pause_without_a_pool_pauses_what_runs() {
    let server = FakeServer::bind(Reply::Json(200, WAVES)).await;
    let done = ask(&[&server], "maintenance pause --command-id p");
    assert_eq!(done.code, Some(0));
    let lines: Vec<_> = server.asked().into_iter().map(|a| a.line).collect();
    let expected = [
        "GET /maintenance",
        "POST /maintenance/a/pause",
        "POST /maintenance/c/pause",
    ];
    assert_eq!(lines, expected);
    assert_eq!(server.asked()[2].body, json!({"command_id": "p-c"}));
}
