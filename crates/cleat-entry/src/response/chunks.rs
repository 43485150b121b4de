//! The chunks of a body as they were received.

use std::collections::VecDeque;

use bytes::Bytes;

/// A sequence of chunks.
#[derive(Debug, Default, Clone)]
pub(crate) struct Chunks {
    chunks: VecDeque<Bytes>,
    /// Invariant: the total length of `chunks`.
    len: usize,
}

impl Chunks {
    pub(crate) fn push(&mut self, chunk: Bytes) {
        self.len += chunk.len();
        self.chunks.push_back(chunk);
    }

    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        let chunk = self.chunks.pop_front()?;
        self.len -= chunk.len();
        Some(chunk)
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    /// Copies all chunks into one slice.
    pub(crate) fn concat(&self) -> Box<[u8]> {
        let mut bytes = Vec::with_capacity(self.len);
        for chunk in &self.chunks {
            bytes.extend_from_slice(chunk);
        }
        bytes.into()
    }
}
