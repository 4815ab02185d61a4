//! Parses and validates callers' requests.

mod body;
mod header;
mod model;

pub use body::{BodyMemory, read_body};
pub use header::{RequestTerms, read_key, read_terms};
pub use model::{ModelBody, prefix_hash};
