//! Parts shared by gateways and sidecars, which forward packets without reading
//! their content.
pub mod class;
pub mod event;
pub mod lifecycle;
pub mod link;
pub mod pacer;
pub mod reader;
pub mod ready;
pub mod telemetry;
pub mod usage;
