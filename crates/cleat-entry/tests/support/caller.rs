//! A caller that receives responses as raw bytes.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// A response as received until the connection was closed.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Reply {
    fn parse(bytes: &[u8]) -> Reply {
        let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
        let end = end.unwrap_or_else(|| panic!("no head in {bytes:?}"));
        let head = String::from_utf8_lossy(&bytes[..end]).to_ascii_lowercase();
        let status = head.split(' ').nth(1).unwrap().parse().unwrap();
        let body = bytes[end + 4..].to_vec();
        Reply { status, head, body }
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let line = |line: &&str| line.split(':').next() == Some(name);
        let line = self.head.lines().find(line)?;
        line.split_once(':').map(|(_, value)| value.trim())
    }

    pub fn outcome(&self) -> &str {
        self.header("celerycleat-outcome").unwrap_or("none")
    }

    /// The status, the outcome and, for problem responses, the type.
    pub fn summary(&self) -> String {
        let ours: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let kind = ours["type"].as_str().unwrap_or("target's own");
        let kind = kind.trim_start_matches("urn:celerycleat:problem:");
        format!("{} {} {kind}", self.status, self.outcome())
    }

    /// Whether the response is complete according to its framing.
    pub fn is_complete(&self) -> bool {
        match self.header("content-length") {
            Some(length) => self.body.len() == length.parse::<usize>().unwrap(),
            None => self.body.ends_with(b"0\r\n\r\n"),
        }
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into()
    }
}

pub async fn open(address: SocketAddr) -> TcpStream {
    TcpStream::connect(address).await.unwrap()
}

/// Sends raw bytes and reads until the connection is closed.
pub async fn call(address: SocketAddr, raw: &str) -> Reply {
    let mut stream = open(address).await;
    stream.write_all(raw.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A reset also ends the response.
    let _ = stream.read_to_end(&mut bytes).await;
    Reply::parse(&bytes)
}

pub async fn get(address: SocketAddr, path: &str, headers: &str) -> Reply {
    let raw = format!("GET {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n{headers}\r\n");
    call(address, &raw).await
}

pub async fn post(address: SocketAddr, path: &str, headers: &str, body: &str) -> Reply {
    let length = body.len();
    let raw = format!(
        "POST {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n\
         content-length: {length}\r\n{headers}\r\n{body}"
    );
    call(address, &raw).await
}
