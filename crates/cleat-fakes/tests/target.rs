//! The stand-in target: counts, faults, announcements.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use cleat_fakes::{FakeError, HttpConnection, StandInTarget, TargetOptions, fetch};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(20);

fn get(path: &str, id: &str) -> Request<Full<Bytes>> {
    let req = Request::get(path)
        .header("host", "t")
        .header("request-id", id);
    req.body(Full::default()).expect("a valid request")
}

async fn target() -> StandInTarget {
    let bound = StandInTarget::bind(TargetOptions::default());
    bound.await.expect("a free port")
}

async fn eventually(mut holds: impl FnMut() -> bool) {
    for _ in 0..2_000 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("it never held");
}

#[tokio::test]
async fn answer_belongs_to_request() {
    let target = target().await;
    let req = get("/a?bytes=20&status=201", "id-7");
    let answer = fetch(target.address(), req).await.unwrap();
    assert_eq!(answer.status(), 201);
    assert_eq!(answer.headers()["request-id"], "id-7");
    assert_eq!(answer.headers()["target-name"], "t1");
    assert_eq!(answer.body().as_ref(), b"id-7................");
    assert_eq!((target.runs("id-7"), target.runs("other")), (1, 0));
    let refused = fetch(target.address(), get("/?fault=none", "x")).await;
    assert_eq!(refused.unwrap().status(), 400);
}

#[tokio::test]
async fn counts_see_requests_at_once_and_repeated_ids() {
    let target = target().await;
    let address = target.address();
    let ask = |id: &str| tokio::spawn(fetch(address, get("/?bytes=1&sleep_ms=3000", id)));
    let tasks = [ask("a"), ask("b"), ask("b")];
    eventually(|| target.counts().in_progress == 3).await;
    for task in tasks {
        task.await.unwrap().unwrap();
    }
    let counts = target.counts();
    assert_eq!((counts.in_progress, counts.most_in_progress), (0, 3));
    assert_eq!((counts.distinct, counts.repeated), (2, 1));
    assert_eq!((counts.received, counts.most_connections), (3, 3));
    let seen = fetch(address, get("/-/counts", "c")).await.unwrap();
    let seen: cleat_fakes::TargetCounts = serde_json::from_slice(seen.body()).unwrap();
    assert_eq!(seen.received, 3);
}

#[tokio::test]
async fn detached_work_outlives_its_connection() {
    let target = target().await;
    for (detached, left) in [(false, 0), (true, 1)] {
        let path = format!("/?sleep_ms=600000&detached={detached}");
        let asked = tokio::spawn(fetch(target.address(), get(&path, "a")));
        eventually(|| target.counts().in_progress == 1).await;
        asked.abort();
        eventually(|| target.counts().connections == 0).await;
        assert_eq!(target.counts().in_progress, left, "detached={detached}");
    }
}

#[tokio::test]
async fn fault_breaks_the_answer_as_named() {
    let target = target().await;
    let address = target.address();
    let ask = |fault: &str| fetch(address, get(&format!("/?bytes=100&fault={fault}"), "f"));
    for cut_in_body in ["cut", "short"] {
        let mut connection = HttpConnection::open(address).await.unwrap();
        let req = get(&format!("/?bytes=100&fault={cut_in_body}"), "f");
        let answer = connection.send(req).await.unwrap();
        assert_eq!(answer.status(), 200, "{cut_in_body} has a whole head");
        let body = answer.into_body().collect().await;
        assert!(body.is_err(), "{cut_in_body} passed as whole");
    }
    let reset = ask("reset").await.unwrap_err();
    assert!(matches!(reset, FakeError::Exchange { .. }), "{reset}");
    let whole = ask("close-delimited").await.unwrap();
    assert_eq!(whole.body().len(), 100);
    assert!(!whole.headers().contains_key("content-length"));
    let hang = tokio::time::timeout(Duration::from_millis(200), ask("hang")).await;
    assert!(hang.is_err());
    eventually(|| target.counts().in_progress == 0).await;
}

#[tokio::test]
async fn fault_extra_sends_a_second_answer() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let target = target().await;
    let mut stream = tokio::net::TcpStream::connect(target.address())
        .await
        .unwrap();
    let req = b"GET /?bytes=3&fault=extra HTTP/1.1\r\nhost: t\r\n\r\n";
    stream.write_all(req).await.unwrap();
    let mut seen = Vec::new();
    while !seen.ends_with(b"stray") {
        let read = tokio::time::timeout(LIMIT, stream.read_buf(&mut seen));
        assert_ne!(read.await.expect("a second answer").unwrap(), 0);
    }
    let text = String::from_utf8(seen).unwrap();
    assert_eq!(text.matches("HTTP/1.1 200").count(), 2);
    // Without the stray answer in the wrong place: first the whole own one.
    assert!(text.contains("\r\n\r\n...HTTP/1.1"));
}

type Seen = Arc<Mutex<Vec<(String, serde_json::Value)>>>;

/// Takes announcements with a lease of 300 ms, and keeps what it was told.
async fn registry() -> (SocketAddr, Seen) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let seen = Seen::default();
    let kept = Arc::clone(&seen);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let kept = Arc::clone(&kept);
            let service = service_fn(move |req| take(Arc::clone(&kept), req));
            let builder = hyper::server::conn::http1::Builder::new();
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, seen)
}

async fn take(seen: Seen, req: Request<Incoming>) -> Result<Response<Full<Bytes>>, hyper::Error> {
    let line = format!("{} {}", req.method(), req.uri());
    let body = req.into_body().collect().await?.to_bytes();
    let body = serde_json::from_slice(&body).unwrap_or_default();
    seen.lock().expect("no panic").push((line, body));
    Ok(Response::new(Full::from(r#"{"lease_ms":300}"#)))
}

#[tokio::test]
async fn announce_renews_and_leave_withdraws() {
    let (address, seen) = registry().await;
    // Nothing listens on the first one, so the second is used.
    let dead = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let gone = dead.local_addr().unwrap();
    drop(dead);
    let options = TargetOptions {
        announce: vec![gone, address],
        ..TargetOptions::default()
    };
    let target = StandInTarget::bind(options).await.unwrap();
    target.wait_announced(LIMIT).await.unwrap();
    assert!(target.last_refusal().is_some());
    eventually(|| seen.lock().unwrap().len() >= 3).await;
    let (line, body) = seen.lock().unwrap()[0].clone();
    assert_eq!(line, "PUT /targets/t1");
    assert_eq!(body["address"], target.address().to_string());
    assert_eq!(
        (&body["slots"], &body["connections"]),
        (&8.into(), &64.into())
    );
    let work = get("/?bytes=5&sleep_ms=3000", "late");
    let late = tokio::spawn(fetch(target.address(), work));
    eventually(|| target.counts().in_progress == 1).await;
    let counts = target.stop().await;
    assert_eq!(late.await.unwrap().unwrap().body().len(), 5);
    assert_eq!((counts.in_progress, counts.after_leave), (0, 0));
    assert_eq!(seen.lock().unwrap().last().unwrap().0, "DELETE /targets/t1");
}
