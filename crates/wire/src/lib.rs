//! Messages of the callers' OpenAI-compatible interface.
//!
//! [`Request`] reads a chat or text completion and writes the body for an upstream; [`SseDecoder`]
//! splits an event stream into events; [`Chunk`] reads one event; [`Assembler`] joins the chunks
//! into one answer for callers that did not ask for a stream; [`error_body()`] writes an error in
//! the form that client libraries parse.
//!
//! ```
//! let body = br#"{"model":"faucet-vision@urgent","messages":[{"role":"user","content":"drip"}]}"#;
//! let request = wire::Request::parse(wire::Form::Chat, body).unwrap();
//! assert_eq!(request.model(), "faucet-vision");
//! assert_eq!(request.class(), Some("urgent"));
//! ```

mod assembler;
mod chunk;
mod engine_metrics;
mod error_body;
mod form;
mod request;
mod sse;
#[cfg(test)]
mod tests;

pub use self::{
    assembler::Assembler,
    chunk::Chunk,
    engine_metrics::EngineMetrics,
    error_body::error_body,
    form::Form,
    request::{Request, RequestError},
    sse::{DONE, SseDecoder, encode_event},
};
