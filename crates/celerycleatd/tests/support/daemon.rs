//! One daemon process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// A running daemon; killed when dropped.
pub(crate) struct Daemon {
    child: Child,
    pub(crate) callers: SocketAddr,
    pub(crate) targets: SocketAddr,
    pub(crate) operators: SocketAddr,
}

impl Daemon {
    /// Starts the daemon and waits for its line on standard output.
    pub(crate) fn start(settings: &Path, log: PathBuf) -> Daemon {
        let log = std::fs::File::options().create(true).append(true).open(log);
        let mut child = Command::new(env!("CARGO_BIN_EXE_celerycleatd"))
            .arg("--settings")
            .arg(settings)
            .stdout(Stdio::piped())
            .stderr(log.expect("a log file"))
            .spawn()
            .expect("the daemon starts");
        let stdout = child.stdout.take().expect("standard output");
        let mut line = String::new();
        let read = BufReader::new(stdout).read_line(&mut line);
        read.expect("a line");
        let ready: Value = serde_json::from_str(&line).expect("the ready line is JSON");
        assert_eq!(ready["ready"], true);
        let address = |key: &str| {
            let text = ready[key].as_str().expect("an address");
            text.parse().expect("an address")
        };
        Daemon {
            callers: address("callers"),
            targets: address("targets"),
            operators: address("operators"),
            child,
        }
    }

    /// Its process id.
    pub(crate) fn id(&self) -> u32 {
        self.child.id()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.id()).expect("a process id");
        let pid = Pid::from_raw(pid).expect("a process id");
        kill_process(pid, signal).expect("the process is there");
    }

    /// Waits until the process has ended.
    pub(crate) fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process can be waited for")
    }

    /// Kills it at once, without a graceful shutdown.
    pub(crate) fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}
