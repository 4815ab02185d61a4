//! Output of the demonstration.

use std::time::Duration;

use ward_http::HttpReply;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Prints the status and duration of one finished request.
pub(super) fn print_request(label: &str, daemon: &str, reply: &HttpReply, elapsed: Duration) {
    let millis = elapsed.as_secs_f64() * MILLIS_PER_SECOND;
    let status = reply.status.as_u16();
    println!("{label:<34} {daemon:<8} {status}  {millis:>9.2} ms");
}

/// Prints the heading of a step of the session.
pub(super) fn print_step(text: &str) {
    println!("\n{text}");
}
