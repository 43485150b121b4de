//! A caller that distinguishes complete from truncated responses.

use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::{Scenario, Step};
use crate::support::Reply;

/// Larger than the receive buffer of a target, so that the target reads the
/// head before the body was sent completely.
pub const BODY: usize = 512 * 1_024;

/// A single response, or why there is none.
pub type SendResult = Result<Reply, &'static str>;

/// Sends a request and reads until the connection is closed. With a scenario,
/// pauses in the middle of the body at [`Step::Received`].
pub async fn exchange(
    stream: &mut TcpStream,
    id: &str,
    keyed: bool,
    scenario: Option<Arc<Scenario>>,
) -> SendResult {
    let (method, key) = if keyed {
        ("POST", "idempotency-key: k\r\n")
    } else {
        ("GET", "")
    };
    let body = vec![b'b'; if id == "block" { 4 } else { BODY }];
    let head = format!(
        "{method} /dock/x HTTP/1.1\r\nhost: t\r\nconnection: close\r\nx-id: {id}\r\n{key}\
         celerycleat-caller: school\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let (half, rest) = body.split_at(body.len() / 2);
    let mut bytes = Vec::new();
    // Sending fails after an early response or a reset.
    let _ = stream.write_all(&[head.as_bytes(), half].concat()).await;
    if let Some(scenario) = scenario {
        scenario.pause_at(Step::Received).await;
    }
    let _ = stream.write_all(rest).await;
    let _ = stream.read_to_end(&mut bytes).await;
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let end = end.ok_or("broken")?;
    let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    let body = bytes[end + 4..].to_vec();
    let reply = Reply { status, head, body };
    let stated: usize = reply.header("content-length").unwrap().parse().unwrap();
    if reply.body.len() < stated {
        Err("broken")
    } else {
        Ok(reply)
    }
}
