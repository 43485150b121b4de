//! How a stand-in target answers, as its tests ask by query.

use std::time::Duration;

use http::StatusCode;

use crate::FakeError;

/// A fault in the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[non_exhaustive]
pub enum Fault {
    /// A chunked answer that ends after half of its body, without a last chunk.
    Cut,
    /// Half of the bytes that `Content-Length` states, then an orderly close.
    Short,
    /// A reset instead of any answer byte.
    Reset,
    /// No answer byte as long as the other side waits.
    Hang,
    /// A whole answer without a length that ends with the connection.
    CloseDelimited,
    /// A whole answer followed by a second one that nobody asked for.
    Extra,
}

/// How a request is answered.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Behaviour {
    /// The length of the body; without it the request's body is echoed.
    pub bytes: Option<usize>,
    /// How long the work takes.
    pub sleep: Duration,
    /// Whether the work goes on, and counts as in progress, after the other
    /// side has gone away; otherwise it ends with the connection.
    pub detached: bool,
    /// The status, 200 if not given.
    pub status: Option<StatusCode>,
    /// What goes wrong.
    pub fault: Option<Fault>,
}

impl Behaviour {
    /// This behaviour changed by the parameters of `query`
    /// (`bytes=N&sleep_ms=M&detached=BOOL&status=S&fault=F`); others are ignored.
    ///
    /// # Errors
    /// [`FakeError::Parameter`]
    pub fn with_query(mut self, query: &str) -> Result<Behaviour, FakeError> {
        for pair in query.split('&') {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let known = self.set(name, value);
            known.ok_or_else(|| FakeError::Parameter {
                name: name.into(),
                value: value.into(),
            })?;
        }
        Ok(self)
    }

    fn set(&mut self, name: &str, value: &str) -> Option<()> {
        match name {
            "bytes" => self.bytes = Some(value.parse().ok()?),
            "sleep_ms" => self.sleep = Duration::from_millis(value.parse().ok()?),
            "detached" => self.detached = value.parse().ok()?,
            "status" => self.status = Some(value.parse().ok()?),
            "fault" => self.fault = Some(Fault::parse(value)?),
            _ => {}
        }
        Some(())
    }
}

impl Fault {
    fn parse(text: &str) -> Option<Fault> {
        let fault = match text {
            "cut" => Fault::Cut,
            "short" => Fault::Short,
            "reset" => Fault::Reset,
            "hang" => Fault::Hang,
            "close-delimited" => Fault::CloseDelimited,
            "extra" => Fault::Extra,
            _ => return None,
        };
        Some(fault)
    }
}
