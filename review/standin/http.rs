//! HTTP/1.1 with bodies of a stated length, and the few JSON fields that are needed.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as a server reads it.
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut known = self.headers.iter();
        let found = known.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A status and a JSON body.
pub type Response = (u16, String);

/// Answers requests, one thread a connection, until the process ends.
pub fn serve(listener: TcpListener, handler: Arc<dyn Fn(Request) -> Response + Send + Sync>) {
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            std::thread::spawn(move || {
                let _ = serve_connection(stream, &*handler);
            });
        }
    });
}

fn serve_connection(
    stream: TcpStream,
    handler: &(dyn Fn(Request) -> Response + Send + Sync),
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let mut words = line.split_whitespace();
        let method = words.next().unwrap_or_default().to_string();
        let path = words.next().unwrap_or_default().to_string();
        let (headers, body) = read_rest(&mut reader)?;
        let (status, body) = handler(Request {
            method,
            path,
            headers,
            body,
        });
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(text.as_bytes())?;
    }
}

fn read_rest(
    reader: &mut BufReader<TcpStream>,
) -> std::io::Result<(Vec<(String, String)>, String)> {
    let mut headers = Vec::new();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((key, value)) = line.split_once(':') {
            if key.eq_ignore_ascii_case("content-length") {
                length = value.trim().parse().unwrap_or(0);
            }
            headers.push((key.to_string(), value.trim().to_string()));
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok((headers, String::from_utf8_lossy(&body).into_owned()))
}

/// Sends one request over a new connection. `None` if there was no whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Response> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_write_timeout(Some(limit)).ok()?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(key, _)| *key == "Host") {
        text += &format!("Host: {address}\r\n");
    }
    for (key, value) in headers {
        text += &format!("{key}: {value}\r\n");
    }
    text += &format!(
        "Content-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let (_, body) = read_rest(&mut reader).ok()?;
    Some((status, body))
}

/// The text of a field of a JSON object, as it stands: a string without its quotes.
pub fn field<'a>(body: &'a str, name: &str) -> Option<&'a str> {
    let key = format!("\"{name}\":");
    let rest = body[body.find(&key)? + key.len()..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}', ']']).next().map(str::trim),
    }
}

pub fn number(body: &str, name: &str) -> Option<u64> {
    field(body, name)?.parse().ok()
}
