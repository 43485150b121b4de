//! A target that is struck at the steps of the probe.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::{Fault, Kind, Script, Step};

/// Small, so that a large body can't hide in it.
const RECEIVE_BUFFER: u32 = 4_096;

/// What a target does with its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    Open,
    /// Accepts nothing; the backlog is full.
    Full,
    /// Accepts, reads and writes nothing.
    Frozen,
    /// Reads everything and answers nothing.
    Hole,
    /// Resets every connection.
    Resets,
    Dead,
}

pub struct Target {
    pub address: SocketAddr,
    pub mode: Arc<watch::Sender<Mode>>,
    /// Fills the backlog.
    _filler: Option<TcpStream>,
}

impl Target {
    pub async fn spawn(number: usize, script: &Arc<Script>, mode: Mode) -> Target {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER).unwrap();
        socket.bind(([127, 0, 0, 1], 0).into()).unwrap();
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
            script: Arc::clone(script),
            mode: Arc::clone(&mode),
        };
        tokio::spawn(listen(listener, server));
        Target {
            address,
            mode,
            _filler: filler,
        }
    }

    pub fn is_dead(&self) -> bool {
        *self.mode.borrow() == Mode::Dead
    }
}

/// What a connection needs of its target.
#[derive(Clone)]
struct Server {
    number: usize,
    script: Arc<Script>,
    mode: Arc<watch::Sender<Mode>>,
}

async fn listen(listener: TcpListener, server: Server) {
    let accept = async {
        loop {
            server
                .until(|m| !matches!(m, Mode::Full | Mode::Frozen))
                .await;
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(stream, server.clone()));
        }
    };
    tokio::select! {
        () = accept => {}
        _ = server.until(|m| *m == Mode::Dead) => {}
    }
}

async fn serve(mut stream: TcpStream, server: Server) {
    let strike = tokio::select! {
        strike = server.run(&mut stream) => strike.unwrap_or(Mode::Open),
        mode = server.until(|m| matches!(m, Mode::Dead | Mode::Resets)) => mode,
    };
    match strike {
        Mode::Resets => stream.set_zero_linger().unwrap(),
        Mode::Dead => drop(server.mode.send_replace(Mode::Dead)),
        _ => {}
    }
}

impl Server {
    async fn until(&self, modes: impl FnMut(&Mode) -> bool) -> Mode {
        *self.mode.subscribe().wait_for(modes).await.unwrap()
    }

    /// Serves requests until one is struck so that its connection ends.
    async fn run(&self, stream: &mut TcpStream) -> io::Result<Mode> {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
                self.ready(stream).await?;
            }
            let _busy = Arc::clone(&self.script.busy);
            let head = String::from_utf8(head).unwrap().to_ascii_lowercase();
            let field = |name: &str| head.lines().find_map(|l| l.strip_prefix(name)).unwrap();
            let (id, length) = (field("x-id: "), field("content-length: "));
            self.script.note("saw", id);
            let strike = self.exchange(stream, id, length.parse().unwrap()).await?;
            if let Some(strike) = strike {
                return Ok(strike);
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
                self.script.note("ran", id);
            }
            self.ready(s).await?;
            s.write_all(text.as_bytes()).await?;
            if let Some(strike) = self.strike(s, id, step).await? {
                return Ok(Some(strike));
            }
        }
        Ok(None)
    }

    /// Meets the fault if it is planned for this step.
    async fn strike(&self, s: &mut TcpStream, id: &str, step: Step) -> io::Result<Option<Mode>> {
        if id == "block" && step == Step::BodySent {
            self.script.go.subscribe().wait_for(|go| *go).await.unwrap();
        }
        let cell = self.script.cell;
        let settles = step == Step::Settled && cell.kind == Kind::Keyed;
        if id != "probe" || settles {
            return Ok(None);
        }
        *self.script.probed_target.lock().unwrap() = self.number;
        if !self.script.reach(step).await {
            return Ok(None);
        }
        match cell.fault {
            Fault::KillTarget => Ok(Some(Mode::Dead)),
            Fault::Reset | Fault::Second => Ok(Some(Mode::Resets)),
            Fault::BlackHole => swallow(s).await.map(|()| None),
            _ => Ok(None),
        }
    }

    /// Waits while it is frozen; ends if it swallows.
    async fn ready(&self, stream: &mut TcpStream) -> io::Result<()> {
        match self.until(|m| *m != Mode::Frozen).await {
            Mode::Hole => swallow(stream).await,
            _ => Ok(()),
        }
    }
}

/// Reads until the other side closes.
async fn swallow(stream: &mut TcpStream) -> io::Result<()> {
    let mut buf = [0; 4_096];
    while stream.read(&mut buf).await? > 0 {}
    Err(io::ErrorKind::UnexpectedEof.into())
}

/// The answer to this request and to no other.
pub fn own_answer(id: &str) -> String {
    format!("own:{id}:{}", "x".repeat(2_000))
}
