//! Checks which bytes may be sent on a connection.

use std::net::Ipv4Addr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::{Instant, timeout};

use super::{Failure, Upstream};

#[tokio::test]
async fn send_after_the_lease_sends_no_byte() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let opening = Upstream::open(address, Duration::from_secs(5));
    let (upstream, accepted) = tokio::join!(opening, listener.accept());
    let (mut upstream, mut target) = (upstream.unwrap(), accepted.unwrap().0);

    // The lease ends after the connection was chosen and before the first
    // write.
    upstream.set_start_deadline(Some(Instant::now()));
    let req = Request::get("/").header("host", "t1");
    let sent = upstream.send(req.body(Full::<Bytes>::default()).unwrap());
    // The target never responds, so the timeout is only reached if the test
    // fails.
    let sent = timeout(Duration::from_secs(5), sent).await;
    assert_eq!(sent.expect("an end").unwrap_err(), Failure::NotSent);
    drop(upstream);
    let mut received = Vec::new();
    // Reads until the connection is closed; a reset is as good as an end of
    // file.
    let _ = target.read_to_end(&mut received).await;
    assert!(received.is_empty());
}
