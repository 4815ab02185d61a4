//! Target, rate and length of a load, checked against fixed bounds.

use std::net::SocketAddr;

use quick_error::quick_error;
use ward_protocol::{RequestId, TimeSpan};

quick_error! {
    /// A load that is refused or cannot be run.
    #[derive(Debug)]
    pub enum LoadError {
        /// The address is not on this machine.
        Remote(address: SocketAddr) {
            display("{address} is not a loopback address; loads go to this machine only")
        }
        /// A number is 0 or above its maximum.
        OutOfBounds(name: &'static str, max: u64) {
            display("the {name} must lie between 1 and {max}")
        }
        /// The runtime cannot be started, a connection's task panicked, or the processor time of
        /// the measured process cannot be read.
        Setup(cause: std::io::Error) {
            from()
            display("the load cannot be run: {cause}")
            source(cause)
        }
        /// A histogram cannot be made.
        Histogram(cause: hdrhistogram::CreationError) {
            from()
            display("cannot make a histogram: {cause}")
            source(cause)
        }
        /// No request was answered.
        NoAnswer(address: SocketAddr) {
            display("no request was answered at {address}; check that it listens and knows the model")
        }
    }
}

/// Maximum requests per second.
pub const MAX_RATE: u64 = 20_000;
/// Maximum duration of a load in seconds.
pub const MAX_SECONDS: u64 = 120;
/// Maximum number of connections.
pub const MAX_CONNECTIONS: u64 = 1_024;

/// A load on one address, with checked numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadTask {
    address: SocketAddr,
    model: String,
    stream: bool,
    rate: u64,
    seconds: u64,
    connections: u64,
}

impl LoadTask {
    /// Checks the address and the numbers of a load.
    ///
    /// # Errors
    ///
    /// When the address is not a loopback address or a number is out of bounds.
    pub fn new(
        address: SocketAddr,
        model: String,
        rate: u64,
        seconds: u64,
        connections: u64,
        stream: bool,
    ) -> Result<Self, LoadError> {
        if !address.ip().is_loopback() {
            return Err(LoadError::Remote(address));
        }
        check_bounds("rate", rate, MAX_RATE)?;
        check_bounds("seconds", seconds, MAX_SECONDS)?;
        check_bounds("connections", connections, MAX_CONNECTIONS)?;
        Ok(Self {
            address,
            model,
            stream,
            rate,
            seconds,
            connections,
        })
    }

    /// Address that the requests are sent to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of connections, each with one request at a time.
    #[must_use]
    pub const fn connections(&self) -> u64 {
        self.connections
    }

    /// Total number of requests.
    #[must_use]
    pub const fn requests(&self) -> u64 {
        self.rate * self.seconds
    }

    /// Intended start of a request, counted from the load's start.
    #[must_use]
    pub const fn intended_start(&self, request: u64) -> TimeSpan {
        TimeSpan::from_micros(request * 1_000_000 / self.rate)
    }

    /// JSON body that all requests share.
    #[must_use]
    pub fn body(&self) -> String {
        let message = serde_json::json!({"role": "user", "content": "white covers for 120 chairs"});
        let body = serde_json::json!({
            "model": self.model,
            "stream": self.stream,
            "max_tokens": 8,
            "messages": [message],
        });
        body.to_string()
    }

    /// A random request id.
    #[must_use]
    pub fn request_id() -> String {
        RequestId::random().to_string()
    }
}

const fn check_bounds(name: &'static str, value: u64, max: u64) -> Result<(), LoadError> {
    if value == 0 || value > max {
        return Err(LoadError::OutOfBounds(name, max));
    }
    Ok(())
}
