//! Applies an operator's change to a store.
use config::Change;
use config::change::Action;
use config::change::Outcome;

use crate::Store;
use crate::Swap;

/// Makes the calls of a change until it ends, and returns its outcome.
pub async fn run(store: &impl Store, mut change: Change) -> Outcome {
    let mut action = change.start();
    loop {
        action = match action {
            Action::Read { key } => change.on_read(store.get(&key).await),
            Action::Write {
                key,
                value,
                expected,
                touch,
            } => {
                let swap = Swap {
                    key,
                    value,
                    expected,
                    touch: Some(touch),
                    fence: None,
                };
                change.on_written(store.swap(swap).await)
            }
            Action::Done(outcome) => return outcome,
        };
    }
}
