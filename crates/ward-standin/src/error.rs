//! Why a stand-in cannot start.

use std::io;
use std::net::SocketAddr;

use quick_error::quick_error;
use ward_http::CallError;

quick_error! {
    /// A stand-in that cannot start.
    #[derive(Debug)]
    pub enum StandinError {
        /// The address cannot be used.
        Listen(address: SocketAddr, cause: io::Error) {
            display("cannot listen on {address}: {cause}; choose another port, or 0 for any")
            source(cause)
        }
        /// The host list did not take the registration.
        Register(cause: CallError) {
            from()
            display("cannot register in the host list: {cause}")
            source(cause)
        }
        /// The entry for the host list cannot be written.
        Entry(cause: serde_json::Error) {
            from()
            display("cannot write the entry for the host list: {cause}")
            source(cause)
        }
        /// The host list refused the registration.
        Refused(status: u16) {
            display("the host list refused the registration with status {status}; check --hosts")
        }
    }
}
