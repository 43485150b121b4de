//! A target that applies faults at the steps of the probe.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::{Fault, Kind, Scenario, Step};

/// Small, so that it can't contain a large body.
const RECEIVE_BUFFER: u32 = 4_096;

/// How a target handles its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Open,
    /// Accepts no connection; its backlog is full.
    Full,
    /// Accepts no connection, reads nothing and writes nothing.
    Frozen,
    /// Reads everything but sends no response.
    BlackHole,
    /// Resets all connections.
    Resets,
    Dead,
}

pub struct Target {
    pub address: SocketAddr,
    pub mode: Arc<watch::Sender<Mode>>,
    /// Keeps the port bound once the target is dead. Otherwise another process could
    /// listen on the freed port, and answer the retry in place of the dead target.
    _port: TcpSocket,
    /// The connection that fills the backlog.
    _filler: Option<TcpStream>,
}

impl Target {
    pub async fn spawn(number: usize, scenario: &Arc<Scenario>, mode: Mode) -> Target {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        // Two sockets can be bound to a port only if both allow it.
        socket.set_reuseport(true).unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
        let port = TcpSocket::new_v4().unwrap();
        port.set_reuseport(true).unwrap();
        port.bind(socket.local_addr().unwrap()).unwrap();
        let full = mode == Mode::Full;
        let listener = socket.listen(if full { 0 } else { 64 }).unwrap();
        let address = listener.local_addr().unwrap();
        let filler = match full {
            true => Some(TcpStream::connect(address).await.unwrap()),
            false => None,
        };
        let mode = Arc::new(watch::Sender::new(mode));
        let server = Server {
            number,
            scenario: Arc::clone(scenario),
            mode: Arc::clone(&mode),
        };
        tokio::spawn(listen(listener, server));
        Target {
            address,
            mode,
            _port: port,
            _filler: filler,
        }
    }

    pub fn is_dead(&self) -> bool {
        *self.mode.borrow() == Mode::Dead
    }
}

/// The state of the target that each connection needs.
#[derive(Clone)]
struct Server {
    number: usize,
    scenario: Arc<Scenario>,
    mode: Arc<watch::Sender<Mode>>,
}

async fn listen(listener: TcpListener, server: Server) {
    let accept = async {
        loop {
            server
                .wait_for_mode(|m| !matches!(m, Mode::Full | Mode::Frozen))
                .await;
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, server.clone()));
        }
    };
    tokio::select! {
        () = accept => {}
        _ = server.wait_for_mode(|m| *m == Mode::Dead) => {}
    }
}

async fn serve(mut stream: TcpStream, server: Server) {
    let new_mode = tokio::select! {
        new_mode = server.run(&mut stream) => new_mode.unwrap_or(Mode::Open),
        mode = server.wait_for_mode(|m| matches!(m, Mode::Dead | Mode::Resets)) => mode,
    };
    match new_mode {
        Mode::Resets => stream.set_zero_linger().unwrap(),
        Mode::Dead => drop(server.mode.send_replace(Mode::Dead)),
        _ => {}
    }
}

impl Server {
    async fn wait_for_mode(&self, modes: impl FnMut(&Mode) -> bool) -> Mode {
        *self.mode.subscribe().wait_for(modes).await.unwrap()
    }

    /// Serves requests until a fault ends the connection.
    async fn run(&self, stream: &mut TcpStream) -> io::Result<Mode> {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
                self.wait_while_frozen(stream).await?;
            }
            let _busy = Arc::clone(&self.scenario.busy);
            let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
            let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)).unwrap();
            let (id, length) = (field("x-id: "), field("content-length: "));
            self.scenario.record("saw", id);
            let new_mode = self.exchange(stream, id, length.parse().unwrap()).await?;
            if let Some(new_mode) = new_mode {
                return Ok(new_mode);
            }
        }
    }

    async fn exchange(
        &self,
        s: &mut TcpStream,
        id: &str,
        length: usize,
    ) -> io::Result<Option<Mode>> {
        let answer = own_answer(id);
        let (half, rest) = answer.split_at(answer.len() / 2);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
            answer.len()
        );
        let parts = [
            (Step::HeadSent, ""),
            (Step::BodySent, ""),
            (Step::AnswerHead, &head),
            (Step::AnswerBody, half),
            (Step::Settled, rest),
        ];
        for (step, text) in parts {
            if step == Step::BodySent {
                s.read_exact(&mut vec![0; length]).await?;
                self.scenario.record("ran", id);
            }
            self.wait_while_frozen(s).await?;
            s.write_all(text.as_bytes()).await?;
            if let Some(new_mode) = self.apply_fault(s, id, step).await? {
                return Ok(Some(new_mode));
            }
        }
        Ok(None)
    }

    /// If a fault is planned for this step, applies it. Returns the new mode if
    /// the connection has to end.
    async fn apply_fault(
        &self,
        s: &mut TcpStream,
        id: &str,
        step: Step,
    ) -> io::Result<Option<Mode>> {
        if id == "block" && step == Step::BodySent {
            self.scenario
                .resume
                .subscribe()
                .wait_for(|resume| *resume)
                .await
                .unwrap();
        }
        let cell = self.scenario.cell;
        let settles = step == Step::Settled && cell.kind == Kind::Keyed;
        if id != "probe" || settles {
            return Ok(None);
        }
        *self.scenario.probe_target.lock().unwrap() = self.number;
        if !self.scenario.pause_at(step).await {
            return Ok(None);
        }
        match cell.fault {
            Fault::KillTarget => Ok(Some(Mode::Dead)),
            Fault::Reset | Fault::Second => Ok(Some(Mode::Resets)),
            Fault::BlackHole => discard_all(s).await.map(|()| None),
            _ => Ok(None),
        }
    }

    /// Waits while the target is frozen. In the mode [`Mode::BlackHole`], reads
    /// until the connection is closed and fails.
    async fn wait_while_frozen(&self, stream: &mut TcpStream) -> io::Result<()> {
        match self.wait_for_mode(|m| *m != Mode::Frozen).await {
            Mode::BlackHole => discard_all(stream).await,
            _ => Ok(()),
        }
    }
}

/// Reads and discards everything until the other side closes the connection.
async fn discard_all(stream: &mut TcpStream) -> io::Result<()> {
    let mut buf = [0; 4_096];
    while stream.read(&mut buf).await? > 0 {}
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// A response that only belongs to the request `id`.
pub fn own_answer(id: &str) -> String {
    format!("own:{id}:{}", "x".repeat(2_000))
}
