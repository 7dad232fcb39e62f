//! Adapter that lets `hyper` spawn its tasks on a `smol` executor.
use std::future::Future;
use std::sync::Arc;

use smol::Executor;

/// Spawns tasks on a shared executor.
#[derive(Clone, Debug)]
pub(super) struct Spawner(pub(super) Arc<Executor<'static>>);

impl<F> hyper::rt::Executor<F> for Spawner
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}
