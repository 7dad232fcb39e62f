//! Sockets and HTTP connections of the daemons.
//!
//! * [`port::Port`] sends and receives authenticated frames over UDP.
//! * [`backend::Client`] runs requests on the backend server over HTTP/1.1.
pub mod backend;
pub mod http;
pub mod port;

pub use port::Port;
