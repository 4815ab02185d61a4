//! Request bodies made of pieces that share the caller's bytes, so that nothing is copied.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

const PIECES: usize = 3;

/// A complete request body in up to three pieces; clones share the bytes.
#[derive(Debug, Clone, Default)]
pub struct CallBody {
    pieces: [Bytes; PIECES],
}

impl CallBody {
    /// Creates a body that sends the pieces in this order; any of them may be empty.
    #[must_use]
    pub const fn from_pieces(head: Bytes, middle: Bytes, tail: Bytes) -> Self {
        Self {
            pieces: [head, middle, tail],
        }
    }

    /// Total length of the pieces in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pieces.iter().map(Bytes::len).sum()
    }

    /// Whether the body has no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pieces.iter().all(Bytes::is_empty)
    }
}

impl From<Bytes> for CallBody {
    fn from(bytes: Bytes) -> Self {
        Self::from_pieces(bytes, Bytes::new(), Bytes::new())
    }
}

impl Body for CallBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.iter_mut().find(|piece| !piece.is_empty());
        let frame = piece.map(|piece| Ok(Frame::data(std::mem::take(piece))));
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len() as u64)
    }
}
