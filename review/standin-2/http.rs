//! A small HTTP/1.1 server that can end as a killed process does, and a client that
//! sends one request on each connection.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// A status and a JSON body.
pub type Answer = (u16, String);
/// `None`: the request gets no answer, and its connection is closed.
pub type Handler = Arc<dyn Fn(Request) -> Option<Answer> + Send + Sync>;

pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(address: SocketAddr, handler: Handler) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address)?;
        let address = listener.local_addr()?;
        let ended = Arc::new(AtomicBool::new(false));
        let streams: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (stop, open) = (ended.clone(), streams.clone());
        thread::spawn(move || {
            for stream in listener.incoming() {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                let Ok(stream) = stream else { continue };
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    open.lock().unwrap().push(copy);
                }
                let (handler, stop) = (handler.clone(), stop.clone());
                thread::spawn(move || serve(stream, &handler, &stop));
            }
        });
        Ok(Server {
            address,
            ended,
            streams,
        })
    }

    /// Closes the listener and all connections at once.
    pub fn kill(&self) {
        self.ended.store(true, Ordering::SeqCst);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn serve(stream: TcpStream, handler: &Handler, stop: &AtomicBool) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    let mut stream = stream;
    while let Some(req) = read_request(&mut reader) {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let Some((status, body)) = handler(req) else {
            break;
        };
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if stream.write_all((head + &body).as_bytes()).is_err() {
            break;
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut parts = line.split_whitespace();
    let (method, path) = (parts.next()?.to_string(), parts.next()?.to_string());
    let headers = read_headers(reader)?;
    let length = content_length(&headers).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Request {
        method,
        path,
        headers,
        body,
    })
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().into(), value.trim().into()));
    }
}

fn content_length(headers: &[(String, String)]) -> Option<usize> {
    let mut headers = headers.iter();
    let found = headers.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    found.and_then(|(_, value)| value.parse().ok())
}

/// What a call came to.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    pub location: Option<String>,
    pub body: String,
}

/// Sends one request on a connection of its own; `None` without a whole answer in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
    limit: Duration,
) -> Option<Reply> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut head = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!(
        "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let location = headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("location"));
    let location = location.map(|(_, value)| value.clone());
    let mut body = Vec::new();
    match content_length(&headers) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).ok()?;
        }
        None => drop(reader.read_to_end(&mut body).ok()?),
    }
    let body = String::from_utf8_lossy(&body).into_owned();
    Some(Reply {
        status,
        location,
        body,
    })
}
