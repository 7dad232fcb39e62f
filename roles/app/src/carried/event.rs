//! Events of carried flows.
