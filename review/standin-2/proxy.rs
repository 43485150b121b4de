//! A proxy of a link that can lose what one side answers.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// Whether answers are lost, on all connections of the proxies that share this.
#[derive(Clone, Default)]
pub struct Loss {
    lost: Arc<AtomicBool>,
    /// The connections on which an answer was lost.
    hurt: Arc<Mutex<Vec<TcpStream>>>,
}

impl Loss {
    pub fn begin(&self) {
        self.lost.store(true, Ordering::SeqCst);
    }

    /// Answers pass again. Connections on which some were lost are reset.
    pub fn end(&self) {
        self.lost.store(false, Ordering::SeqCst);
        for stream in self.hurt.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Passes connections to `at` on to `to`.
pub fn spawn(at: SocketAddr, to: SocketAddr, loss: Loss) -> std::io::Result<()> {
    let listener = TcpListener::bind(at)?;
    thread::spawn(move || {
        for caller in listener.incoming() {
            let Ok(caller) = caller else { continue };
            let Ok(target) = TcpStream::connect(to) else {
                continue;
            };
            let _ = (caller.set_nodelay(true), target.set_nodelay(true));
            let (Ok(back), Ok(forth)) = (caller.try_clone(), target.try_clone()) else {
                continue;
            };
            let loss = loss.clone();
            thread::spawn(move || pump(caller, forth, None));
            thread::spawn(move || pump(target, back, Some(loss)));
        }
    });
    Ok(())
}

fn pump(mut from: TcpStream, mut to: TcpStream, loss: Option<Loss>) {
    let mut buf = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buf) {
        if count == 0 {
            break;
        }
        if let Some(loss) = loss
            .as_ref()
            .filter(|loss| loss.lost.load(Ordering::SeqCst))
        {
            if let Ok(copy) = to.try_clone() {
                loss.hurt.lock().unwrap().push(copy);
            }
            continue;
        }
        if to.write_all(&buf[..count]).is_err() {
            break;
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
