//! The example target of `--dev`.

use std::convert::Infallible;
use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

/// Serves the example until the process ends; gives its address.
pub(crate) async fn spawn() -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let connection =
                http1::Builder::new().serve_connection(TokioIo::new(stream), service_fn(answer));
            tokio::spawn(connection);
        }
    });
    Ok(address)
}

async fn answer(req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let text = format!("the built-in target got {} {}\n", req.method(), req.uri());
    Ok(Response::new(Full::new(Bytes::from(text))))
}
