//! Lets `hyper` start its tasks on a `smol` executor.
use std::future::Future;
use std::sync::Arc;

use smol::Executor;

/// Starts tasks on a shared executor.
#[derive(Clone, Debug)]
pub(super) struct Spawn(pub(super) Arc<Executor<'static>>);

impl<F> hyper::rt::Executor<F> for Spawn
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}
