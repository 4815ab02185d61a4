//! Errors that prevent a stand-in from starting.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use ward_http::CallError;

quick_error! {
    /// Reason why a stand-in cannot start.
    #[derive(Debug)]
    pub enum StandinError {
        /// Binding the listener failed, for example because the port is in use.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen on {address}: {cause}; choose another port, or 0 for a free one")
            source(cause)
        }
        /// The call that registers the backend server in the host list failed.
        Register(cause: CallError) {
            from()
            display("cannot register in the host list: {cause}")
            source(cause)
        }
        /// The entry for the host list cannot be encoded as JSON.
        Entry(cause: serde_json::Error) {
            from()
            display("cannot encode the entry for the host list: {cause}")
            source(cause)
        }
        /// The host list answered the registration with an error status.
        Refused(status: u16) {
            display("the host list refused the registration with status {status}; check --hosts")
        }
    }
}
