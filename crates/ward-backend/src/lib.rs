//! Backend servers: orders, status, and callers' requests.

pub mod request;
