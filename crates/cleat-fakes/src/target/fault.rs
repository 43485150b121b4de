//! Carries out faults on the bare connection.

use std::fmt;
use std::future::pending;
use std::io;

use super::behaviour::Fault;
use super::stream::SharedStream;

const STRAY_ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray";

/// Ends the connection from within a request.
#[derive(Debug)]
pub(super) struct BrokenConnection;

impl fmt::Display for BrokenConnection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the connection is broken on purpose")
    }
}

impl std::error::Error for BrokenConnection {}

/// Answers with `fault`, then tells hyper to drop the connection.
pub(super) async fn carry_out(
    fault: Fault,
    stream: &SharedStream,
    id: Option<&str>,
    body: &[u8],
) -> BrokenConnection {
    // The other side may be gone already, which ends the fault too.
    let _ = write_fault(fault, stream, id, body).await;
    BrokenConnection
}

async fn write_fault(
    fault: Fault,
    stream: &SharedStream,
    id: Option<&str>,
    body: &[u8],
) -> io::Result<()> {
    let half = &body[..body.len() / 2];
    let length = format!("content-length: {}", body.len());
    match fault {
        Fault::Cut => {
            let head = head("transfer-encoding: chunked", id);
            let chunk = format!("{:x}\r\n", half.len().max(1));
            stream.write_raw(head.as_bytes()).await?;
            stream.write_raw(chunk.as_bytes()).await?;
            stream.write_raw(half).await
        }
        Fault::Short => {
            stream.write_raw(head(&length, id).as_bytes()).await?;
            stream.write_raw(half).await
        }
        Fault::Reset => stream.0.set_zero_linger(),
        Fault::Hang => pending().await,
        Fault::CloseDelimited => {
            let head = head("connection: close", id);
            stream.write_raw(head.as_bytes()).await?;
            stream.write_raw(body).await
        }
        Fault::Extra => {
            stream.write_raw(head(&length, id).as_bytes()).await?;
            stream.write_raw(body).await?;
            stream.write_raw(STRAY_ANSWER.as_bytes()).await?;
            // Left open, so that a careless other side uses it again.
            pending().await
        }
    }
}

fn head(framing: &str, id: Option<&str>) -> String {
    let id = id.map_or_else(String::new, |id| format!("request-id: {id}\r\n"));
    format!("HTTP/1.1 200 OK\r\n{framing}\r\n{id}\r\n")
}
