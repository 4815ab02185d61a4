//! Faults that tests can set on the link to a stand-in.

use std::time::Duration;

const LINE_END: &[u8] = b"\r\n";
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Length of an answer that is cut inside the status line: up to its status.
const STATUS_CUT_BYTES: usize = b"HTTP/1.1 20".len();

/// Fault that a proxy injects into all its connections, open and new.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault: bytes are forwarded as they come.
    None,
    /// Each chunk of bytes is forwarded after this delay, in both directions.
    Delay(Duration),
    /// New connections are closed, open ones are reset.
    Reset,
    /// Nothing listens: new connections are refused, open ones are reset.
    Refuse,
    /// Bytes from the proxy's target are held back until the fault ends.
    HoldAnswers,
    /// Bytes in both directions are held back until the fault ends; connections
    /// stay open.
    HoldAll,
    /// The target writes each of its refusals once more, when the next request comes on
    /// the same connection: the copy stands where the answer to that request is expected.
    RepeatRefusals,
    /// Like [`Self::RepeatRefusals`], but for all answers that are written in one piece.
    RepeatAnswers,
    /// Like [`Self::RepeatRefusals`], but with each answer to an order or a report query.
    RepeatOrderAnswers,
    /// The target begins a head with these bytes, and its next answer follows at once.
    JoinAnswers(&'static str),
    /// The target stops in the middle of the body of each answer that is written in one
    /// piece, and writes the answer once more on the same connection.
    SecondCopies,
    /// The target stops within each answer with status 200, and its connection ends.
    CutAnswers(CutPlace, CutEnd),
    /// The same right after the head, with these lines in place of the status line.
    CutHeads(&'static [u8]),
    /// The target answers each request of a caller as soon as its head has come, with a
    /// success without a length. It reads no more of the request, and after this time its
    /// connection ends within the answer.
    EarlyAnswers(CutEnd, Duration),
    /// The target begins each answer with this status line in place of its own.
    StatusLine(&'static [u8]),
    /// In place of an answer, the target writes interim heads without end, until the
    /// connection is closed.
    EndlessHeads,
}

/// Where [`LinkFault::CutAnswers`] cuts an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutPlace {
    /// Inside the status line.
    StatusLine,
    /// Inside a header line.
    HeaderLine,
    /// After a header line, before the next.
    BetweenHeaders,
    /// After the empty line that ends the head.
    AfterHead,
}

/// How a connection ends after [`LinkFault::CutAnswers`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutEnd {
    /// It is closed, as when a process ends.
    Close,
    /// It is reset.
    Reset,
    /// It is closed, and reset at once, since more of the request comes.
    CloseAndReset,
}

impl CutPlace {
    /// The number of bytes of an answer that are still sent; `None` if these bytes don't
    /// begin an answer with status 200. Stand-ins write a head in one piece.
    pub(super) fn length(self, bytes: &[u8]) -> Option<usize> {
        let version = bytes.strip_prefix(b"HTTP/1.")?;
        let is_success = version
            .get(1..)
            .is_some_and(|rest| rest.starts_with(b" 200"));
        let end_of = |end: &[u8]| {
            let mut windows = bytes.windows(end.len());
            windows.position(|window| window == end)
        };
        let status_end = end_of(LINE_END).filter(|_| is_success)? + LINE_END.len();
        let rest = &bytes[status_end..];
        let line_length = rest
            .windows(LINE_END.len())
            .position(|window| window == LINE_END)?;
        match self {
            Self::StatusLine => Some(STATUS_CUT_BYTES),
            Self::HeaderLine => Some(status_end + line_length / 2),
            Self::BetweenHeaders => Some(status_end + line_length + LINE_END.len()),
            Self::AfterHead => Some(end_of(HEAD_END)? + HEAD_END.len()),
        }
    }
}

/// Length of the head and half of the body of an answer with status 200; `None` if these
/// bytes are none, or have no body.
pub(super) fn half_length(bytes: &[u8]) -> Option<usize> {
    let head = CutPlace::AfterHead.length(bytes)?;
    let body = bytes.len() - head;
    (body > 0).then_some(head + body / 2)
}

impl LinkFault {
    pub(super) fn resets_connections(self) -> bool {
        matches!(self, Self::Reset | Self::Refuse)
    }
}
