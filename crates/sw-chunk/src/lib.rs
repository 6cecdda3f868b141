//! Large values as packed chunks.
//!
//! A value is split where its content says so, so two values that differ in one place share all other chunks. A
//! [`Manifest`] lists the chunks of a value by digest; whoever has it can collect the chunks one by one, from several
//! sources, and needs only those that no earlier value had. Chunks travel and are kept packed.

mod pack;
mod split;
mod store;
mod types;

pub use store::ChunkStore;
pub use types::{ChunkError, ChunkId, Manifest};
