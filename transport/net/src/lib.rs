//! UDP sockets, and the HTTP client and server of the daemons.
//!
//! * [`port::Port`] sends and receives authenticated frames over UDP.
//! * [`backend::Client`] runs requests on the backend server over HTTP/1.1.
//! * [`http::serve`] answers small HTTP requests.
pub mod backend;
pub mod http;
pub mod port;

pub use port::Port;
