//! Admission control for a backend server: admits work within the server's
//! slots and the caller's deadline.
//!
//! * [`Gate`] manages the slots and the queue of one backend server.
//! * [`Forecast`] estimates the load that held flows are expected to cause.
//! * [`Occupancy`] estimates the wait at a backend server whose queue is not
//!   visible, from requests and answers on the network.
//! * [`Pace`] estimates the service time of a backend server for comparisons.
//! * [`link::Link`] paces the packets of a network link and orders waiting ones.
//! * [`Held`] estimates the requests that open flows send.
//! * [`Rate`] is a rate of events with exponential decay.
//! * [`Load`] estimates the load of held flows from their request rate.
//! * [`Waiting`] holds new work back while there is no room for it.
//! * [`Overload`] divides a backend server among classes of new work.
//! * [`WarmUp`] limits the new flows that reach a cold backend server.
//! * [`Vacancy`] remembers which other backend servers had room.
//! * [`Risk`] estimates how likely a backend server is to fail a request.
//! * [`rotation::Rotation`] decides when a gateway with a full link leaves the rotation.
//! * [`Plausibility`] tells answers that come too fast and are too short.
//! * [`Budget`] limits retries to a share of first attempts.
//! * [`Backoff`] spaces retries.
//!
//! All modules are sans-IO: the caller passes in the time and random seeds.
pub mod backoff;
pub mod budget;
pub mod capacity;
pub mod forecast;
pub mod gate;
pub mod held;
pub mod job;
pub mod link;
pub mod load;
pub mod occupancy;
pub mod overload;
pub mod pace;
pub mod pause;
pub mod plausibility;
pub mod queue;
pub mod rate;
pub mod risk;
pub mod rotation;
pub mod share;
pub mod vacancy;
pub mod waiting;
pub mod warm_up;

pub use backoff::Backoff;
pub use budget::Budget;
pub use forecast::Forecast;
pub use gate::Gate;
pub use gate::Settings;
pub use held::Held;
pub use job::Class;
pub use job::Finish;
pub use job::Job;
pub use job::JobId;
pub use job::Reason;
pub use job::Release;
pub use job::Verdict;
pub use load::Load;
pub use occupancy::Occupancy;
pub use overload::Overload;
pub use pace::Pace;
pub use plausibility::Plausibility;
pub use rate::Rate;
pub use risk::Risk;
pub use vacancy::Vacancy;
pub use waiting::Waiting;
pub use warm_up::WarmUp;
