//! Stand-in of the store, served within the test's process.
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use futures_lite::FutureExt;
use smol::Executor;
use smol::net::TcpListener;
use standin::platform;
use standin::platform::Platform;
use store::Http;
use store::http::Settings;

/// Timeout of calls; long enough never to expire in a test that passes.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Runs a test with a client of a new stand-in and the stand-in's controls.
pub fn with_store<F: Future<Output = ()>>(test: impl FnOnce(Http, Platform) -> F) {
    let executor = Arc::new(Executor::new());
    smol::block_on(executor.run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let platform = Platform::default();
        let http = Http::new(Settings {
            timeout: TIMEOUT,
            ..Settings::new(address)
        });
        let serve = async {
            platform::serve(listener, platform.clone(), executor.clone())
                .await
                .expect("the stand-in accepts connections");
        };
        test(http, platform.clone()).or(serve).await;
    }));
}
