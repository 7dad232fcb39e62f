//! Tests of calls between agents over TCP on the loopback interface.
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agent::Offer;
use agent::Outcome;
use agent::offer;
use agent::park::Claim;
use agent::park::Grant;
use app::agent::Input;
use app::agent::peer;
use app::agent::peer::Answer;
use app::agent::peer::Call;
use app::agent::peer::Failure;
use app::agent::peer::Pool;
use app::settings::Keys;
use async_channel::Receiver;
use smol::net::TcpListener;
use wire::Seal;
use wire::Token;
use wire::seal::KEY_LEN;
use wire::seal::Key;

const TIMEOUT: Duration = Duration::from_secs(30);
const TOKEN: Token = Token {
    target: 1,
    incarnation: 2,
};

/// Starts a server of calls with a key. Returns its address and the receiver of the
/// calls.
async fn serve(seal: Seal) -> (SocketAddr, Receiver<Input>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
    let address = listener.local_addr().expect("is bound");
    let (sender, inputs) = async_channel::unbounded();
    smol::spawn(peer::serve(listener, Arc::new(seal), sender)).detach();
    (address, inputs)
}

/// Calls a peer whose core has exited, and returns the answer.
fn call_after_exit(call: &Call) -> Result<Answer, Failure> {
    smol::block_on(async {
        let (address, inputs) = serve(Keys::default().seal()).await;
        drop(inputs);
        let pool = Pool::new(Arc::new(Keys::default().seal()));
        pool.call(address, call, TIMEOUT).await
    })
}

/// A request offered after the core exited has certainly not run. The answer must
/// say so: without an answer the outcome is unknown, and a request that is not
/// idempotent cannot be retried.
#[test]
fn an_offer_after_the_core_exited_is_answered_as_not_run() {
    let service = SocketAddr::from(([127, 0, 0, 9], 5000));
    let offer = Offer {
        id: offer::Id {
            origin: TOKEN,
            number: 1,
        },
        service,
        flow: 1,
        request: 1,
        idempotent: false,
        remaining: TIMEOUT,
        payload: Vec::new().into(),
    };
    let answer = call_after_exit(&Call::Offer(offer));
    assert!(
        matches!(answer, Ok(Answer::Offer(Outcome::NotRun { .. }))),
        "{answer:?}"
    );
}

/// A peer whose core has exited cannot return parked state and must say so, so
/// that the claiming agent does not wait for it.
#[test]
fn a_claim_after_the_core_exited_is_answered_as_unreachable() {
    let claim = Claim {
        target: 1,
        incarnation: 3,
        index: 0,
    };
    let answer = call_after_exit(&Call::Claim(claim));
    assert!(
        matches!(answer, Ok(Answer::Claimed(Grant::Unreachable))),
        "{answer:?}"
    );
}

/// Guards against processes without the installation's key reaching the core.
#[test]
fn a_call_sealed_with_another_key_is_rejected() {
    let other = Key {
        id: 0,
        secret: [1; KEY_LEN],
    };
    let result = smol::block_on(async {
        let (address, inputs) = serve(Keys::default().seal()).await;
        let pool = Pool::new(Arc::new(Seal::new(other, Vec::new())));
        let claim = Claim {
            target: 1,
            incarnation: 3,
            index: 0,
        };
        let result = pool.call(address, &Call::Claim(claim), TIMEOUT).await;
        assert!(inputs.is_empty());
        result
    });
    assert!(matches!(result, Err(Failure::Lost)), "{result:?}");
}
