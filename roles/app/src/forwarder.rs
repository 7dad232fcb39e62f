//! Parts shared by gateways and sidecars, which forward packets without reading
//! their content.
pub mod event;
pub mod lifecycle;
pub mod link;
pub mod reader;
pub mod ready;
pub mod telemetry;
