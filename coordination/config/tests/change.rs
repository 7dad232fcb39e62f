//! Tests of operators' changes against a store that fails.
mod faulty_store;

use config::Change;
use config::Fault;
use config::Problem;
use config::change::Action;
use config::change::Edit;
use config::change::Effect;
use config::change::Outcome;
use config::change::Request;
use faulty_store::Failure;
use faulty_store::Store;
use faulty_store::store_with_service;
use faulty_store::update;
use proptest::prelude::*;
use wire::Revision;

/// Returns the revision of an accepted change and of the one that replaced it.
fn accepted(outcome: &Outcome) -> (Revision, Option<Revision>) {
    match outcome {
        Outcome::Accepted {
            revision,
            replaced_by,
            ..
        } => (*revision, *replaced_by),
        other => panic!("not accepted: {other:?}"),
    }
}

fn retry(request: Request) -> Request {
    Request {
        retry: true,
        ..request
    }
}

#[test]
fn a_write_is_recognised_after_its_answer_was_lost() {
    let mut store = store_with_service();
    let outcome = store.run(update(1, 1, "a"), &[Failure::None, Failure::AnswerLost]);
    assert_eq!(accepted(&outcome), (2, None));
    assert_eq!(store.operations(), ["create", "a"]);
}

#[test]
fn a_write_is_recognised_on_retry_after_another_operator_replaced_it() {
    let mut store = store_with_service();
    let lost = [Failure::None, Failure::AnswerLost, Failure::Unreachable];
    let outcome = store.run(update(1, 1, "a"), &lost);
    assert!(matches!(
        outcome,
        Outcome::Unavailable {
            effect: Effect::Unknown,
            ..
        }
    ));
    assert_eq!(accepted(&store.run(update(2, 2, "b"), &[])), (3, None));
    let outcome = store.run(retry(update(1, 1, "a")), &[]);
    assert_eq!(accepted(&outcome), (2, Some(3)));
    assert_eq!(store.operations(), ["create", "a", "b"]);
}

/// Both operators start from the same revision; the winner's answer is lost.
#[test]
fn the_loser_of_a_race_gets_the_winning_revision_and_operation() {
    let mut store = store_with_service();
    let mut loser = Change::new(update(2, 1, "b"), 1);
    let action = loser.start();
    let write = store.step(&mut loser, action, Failure::None);
    let lost = [Failure::None, Failure::AnswerLost];
    assert_eq!(accepted(&store.run(update(1, 1, "a"), &lost)), (2, None));
    let read = store.step(&mut loser, write, Failure::None);
    let end = store.step(&mut loser, read, Failure::None);
    let conflict = Outcome::Conflict {
        winner: 2,
        operation: "a".to_owned(),
        effect: Effect::NotApplied,
    };
    assert_eq!(end, Action::Done(conflict));
    let again = store.run(retry(update(1, 1, "a")), &[]);
    assert_eq!(accepted(&again), (2, None));
}

/// More writes follow the lost one than a record's history holds, so the record
/// no longer shows whether it was applied.
#[test]
fn a_write_that_has_left_the_history_is_not_reported_as_not_applied() {
    let mut store = store_with_service();
    let lost = [Failure::None, Failure::AnswerLost, Failure::Unreachable];
    store.run(update(1, 1, "a"), &lost);
    for number in 2..12 {
        store.run(update(2, number, &format!("later-{number}")), &[]);
    }
    let outcome = store.run(retry(update(1, 1, "a")), &[]);
    assert_eq!(
        outcome,
        Outcome::Conflict {
            winner: 12,
            operation: "later-11".to_owned(),
            effect: Effect::Unknown,
        }
    );
}

#[test]
fn a_change_fails_at_once_while_the_store_is_unreachable() {
    let mut store = store_with_service();
    match store.run(update(1, 1, "a"), &[Failure::Unreachable]) {
        Outcome::Unavailable {
            fault,
            effect,
            retry_after,
        } => {
            assert_eq!((fault, effect), (Fault::Unreachable, Effect::NotApplied));
            assert!(!retry_after.is_zero());
        }
        other => panic!("not unavailable: {other:?}"),
    }
    assert_eq!(store.operations(), ["create"]);
}

#[test]
fn a_dry_run_returns_the_differences_and_writes_nothing() {
    let mut store = store_with_service();
    let dry_run = Request {
        dry_run: true,
        ..update(1, 1, "a")
    };
    match store.run(dry_run, &[]) {
        Outcome::Checked {
            revision,
            differences,
        } => {
            let lines: Vec<_> = differences.iter().map(ToString::to_string).collect();
            assert_eq!((revision, lines), (1, vec!["hunt: 3 -> 1".to_owned()]));
        }
        other => panic!("not checked: {other:?}"),
    }
    assert_eq!(store.operations(), ["create"]);
}

#[test]
fn a_deleted_service_can_be_created_again_at_a_higher_revision() {
    let mut store = store_with_service();
    let delete = Request {
        edit: Edit::Delete,
        ..update(3, 1, "delete")
    };
    assert_eq!(accepted(&store.run(delete, &[])), (2, None));
    let create = Request {
        edit: Edit::Create(faulty_store::service()),
        ..update(3, 2, "again")
    };
    assert_eq!(accepted(&store.run(create, &[])), (3, None));
}

fn is_invalid((request, problem): (Request, Problem)) {
    let mut store = store_with_service();
    store.run(update(2, 1, "used"), &[]);
    let outcome = store.run(request, &[]);
    assert_eq!(outcome, Outcome::Invalid(vec![problem]));
    assert_eq!(store.operations(), ["create", "used"]);
}

cases::cases! { is_invalid;
    a_service_is_not_created_twice: (
        Request { edit: Edit::Create(faulty_store::service()), ..update(3, 2, "a") },
        Problem::Exists,
    ),
    an_invalid_field_is_refused: (update(4, 2, "a"), Problem::Hunt),
    an_operation_id_with_spaces_is_refused: (update(1, 2, "a b"), Problem::Operation),
    an_operation_id_is_not_used_for_two_changes: (update(1, 2, "used"), Problem::OperationReused),
    a_retry_without_its_revision_is_refused: (
        Request { expected: None, retry: true, ..update(1, 2, "a") },
        Problem::RetryWithoutRevision,
    ),
}

#[test]
fn an_unknown_service_is_not_updated() {
    let outcome = Store::default().run(update(1, 0, "a"), &[]);
    assert_eq!(outcome, Outcome::Invalid(vec![Problem::Missing]));
}

/// An operator who retries a change while the store is unavailable.
struct Operator {
    request: Request,
    change: Change,
    action: Action,
    retries: u8,
}

const MAX_RETRIES: u8 = 4;

impl Operator {
    fn new(request: Request) -> Self {
        let change = Change::new(request.clone(), 1);
        Self {
            action: change.start(),
            change,
            request,
            retries: 0,
        }
    }

    fn step(&mut self, store: &mut Store, failure: Failure) {
        self.action = store.step(&mut self.change, self.action.clone(), failure);
        if let Action::Done(Outcome::Unavailable { effect, .. }) = &self.action
            && self.retries < MAX_RETRIES
        {
            self.retries += 1;
            self.request.retry |= *effect == Effect::Unknown;
            self.change = Change::new(self.request.clone(), 1);
            self.action = self.change.start();
        }
    }

    /// Checks the reported outcome against the versions in the store.
    fn check(&self, store: &Store) {
        let operation = &self.request.operation;
        let applied: Vec<_> = store
            .versions
            .iter()
            .zip(store.operations())
            .filter(|(_, written)| written == operation)
            .map(|(item, _)| item.revision)
            .collect();
        match &self.action {
            Action::Done(Outcome::Accepted {
                revision, latest, ..
            }) => {
                assert_eq!(applied, [*revision], "{operation}");
                assert!(latest.revision >= *revision, "{operation}");
                assert!(store.had_version(latest), "{operation}");
            }
            Action::Done(
                Outcome::Conflict {
                    effect: Effect::NotApplied,
                    ..
                }
                | Outcome::Unavailable {
                    effect: Effect::NotApplied,
                    ..
                }
                | Outcome::Invalid(_),
            ) => assert!(applied.is_empty(), "{operation}: {:?}", self.action),
            _ => assert!(applied.len() <= 1, "{operation}"),
        }
    }
}

fn failure() -> impl Strategy<Value = Failure> {
    prop_oneof![
        4 => Just(Failure::None),
        1 => Just(Failure::Unreachable),
        2 => Just(Failure::AnswerLost),
        1 => Just(Failure::RequestLost),
        2 => Just(Failure::Delayed),
        2 => Just(Failure::Stale),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Three operators change one service at the same time while calls fail,
    /// answers are lost, writes are delayed and reads are stale. Each reported
    /// outcome must agree with the writes that the store applied.
    #[test]
    fn each_reported_outcome_agrees_with_the_store(
        steps in prop::collection::vec((0..4_usize, failure()), 0..60),
        bases in prop::collection::vec(1..3_u128, 3),
    ) {
        let mut store = store_with_service();
        let mut operators: Vec<_> = bases
            .iter()
            .zip(["a", "b", "c"])
            .zip(1..)
            .map(|((base, name), hunt)| Operator::new(update(hunt, *base, name)))
            .collect();
        for (who, failure) in steps {
            match operators.get_mut(who) {
                Some(operator) => operator.step(&mut store, failure),
                None => store.apply_delayed(),
            }
        }
        for _ in 0..60 {
            store.apply_delayed();
        }
        for operator in &operators {
            operator.check(&store);
        }
    }
}
