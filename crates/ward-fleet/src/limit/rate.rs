//! Rates of requests.

use crate::rate::rate_type;

rate_type!(
    /// A rate of requests, in thousandths of a request per second; written as `2.8/s`.
    RequestRate, "request rate"
);
