//! Results of the client for answers and failures of a backend server.
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use cases::cases;
use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use futures_lite::FutureExt;
use net::backend::Client;
use net::backend::Error;
use net::backend::Run;
use smol::net::TcpListener;
use smol::net::TcpStream;

/// Largest answer that the client accepts, in bytes.
const MAX_ANSWER_BYTES: usize = 8;

fn run(timeout: Duration) -> Run {
    Run {
        request: 1,
        idempotent: false,
        timeout,
        payload: Bytes::from_static(b"who is on duty"),
    }
}

/// Deadline that no test reaches.
const LONG_TIMEOUT: Duration = Duration::from_mins(1);

/// Reads up to the end of a request's payload; returns false if the connection
/// closes first.
async fn read_request(stream: &mut TcpStream) -> bool {
    let mut read = Vec::new();
    let mut buffer = [0; 512];
    while !read.ends_with(b"who is on duty") {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => read.extend_from_slice(&buffer[..length]),
            _ => return false,
        }
    }
    true
}

/// Answers the first request of each connection, then closes the connection.
async fn serve(listener: TcpListener, answer: &str) {
    while let Ok((mut stream, _)) = listener.accept().await {
        if read_request(&mut stream).await {
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    }
}

/// Answers the first request of each connection, and closes the connection
/// without an answer when a second request arrives on it.
async fn serve_once(listener: TcpListener, answer: &'static str) {
    let mut connections = Vec::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        connections.push(smol::spawn(async move {
            if read_request(&mut stream).await {
                let _ = stream.write_all(answer.as_bytes()).await;
            }
            read_request(&mut stream).await
        }));
    }
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// A backend server's answer and the expected result of the client.
struct Answered {
    answer: &'static str,
    result: Result<Bytes, Error>,
}

fn maps_answer_to_result(case: &Answered) {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address, MAX_ANSWER_BYTES);
        let asked = async { Some(client.run(run(LONG_TIMEOUT)).await) };
        let served = async {
            serve(listener, case.answer).await;
            None
        };
        assert_eq!(asked.or(served).await, Some(case.result.clone()));
    });
}

cases! { maps_answer_to_result;
    an_answer_is_returned_whole: &Answered {
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nNina",
        result: Ok(Bytes::from_static(b"Nina")),
    },
    an_answer_over_the_limit_is_too_large: &Answered {
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nNinaNinaN",
        result: Err(Error::TooLarge),
    },
    an_answer_that_ends_early_is_broken: &Answered {
        answer: "HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nNina",
        result: Err(Error::Broken),
    },
    no_answer_at_all_is_broken: &Answered { answer: "", result: Err(Error::Broken) },
    status_503_returns_its_retry_after: &Answered {
        answer: "HTTP/1.1 503 Busy\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n",
        result: Err(Error::Shed { retry_after: Duration::from_secs(2) }),
    },
    status_429_without_retry_after_uses_the_default: &Answered {
        answer: "HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n\r\n",
        result: Err(Error::Shed { retry_after: Duration::from_millis(200) }),
    },
    another_status_is_returned_as_an_error: &Answered {
        answer: "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
        result: Err(Error::Status(500)),
    },
}

#[test]
fn a_refused_connection_is_unreachable() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        drop(listener);
        let client = Client::new(address, MAX_ANSWER_BYTES);
        assert_eq!(client.run(run(LONG_TIMEOUT)).await, Err(Error::Unreachable));
    });
}

#[test]
fn a_request_whose_deadline_has_passed_is_not_sent() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address, MAX_ANSWER_BYTES);
        assert_eq!(client.run(run(Duration::ZERO)).await, Err(Error::Expired));
        let connected = async { listener.accept().await.is_ok() };
        let none = async {
            smol::future::yield_now().await;
            false
        };
        assert!(!connected.or(none).await, "a connection was made");
    });
}

/// Guards against an unknown outcome of a non-idempotent request: the backend
/// server may close an idle connection just as the client reuses it.
#[test]
fn a_non_idempotent_request_does_not_reuse_a_connection() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address, MAX_ANSWER_BYTES);
        let asked = async {
            for _ in 0..3 {
                let answer = client.run(run(LONG_TIMEOUT)).await;
                assert_eq!(answer, Ok(Bytes::from_static(b"Nina")));
            }
        };
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nNina";
        asked.or(serve_once(listener, answer)).await;
    });
}

/// Dropping the future is how a request is cancelled at the backend server.
#[test]
fn dropping_a_run_closes_its_connection() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address, MAX_ANSWER_BYTES);
        let begun = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            assert!(read_request(&mut stream).await);
            Some(stream)
        };
        let asked = async {
            let _ = client.run(run(LONG_TIMEOUT)).await;
            None
        };
        let mut stream = begun.or(asked).await.expect("the request arrived");
        assert!(!read_request(&mut stream).await, "a second request arrived");
    });
}

/// Answers the first request of each connection with the number of the connection,
/// and again once another request has arrived on it. Each answer has `header` after
/// its status line.
async fn serve_twice(listener: TcpListener, header: impl Fn(&str) -> String) {
    let mut connections = 0;
    while let Ok((mut stream, _)) = listener.accept().await {
        connections += 1;
        let Some(request) = read_text(&mut stream).await else {
            continue;
        };
        let header = header(&request);
        let answer = format!("HTTP/1.1 200 OK\r\n{header}content-length: 1\r\n\r\n{connections}");
        let _ = stream.write_all(answer.as_bytes()).await;
        smol::spawn(async move {
            if read_text(&mut stream).await.is_some() {
                let _ = stream.write_all(answer.as_bytes()).await;
            }
        })
        .detach();
    }
}

/// Reads a request with its payload; returns `None` if the connection closes first.
async fn read_text(stream: &mut TcpStream) -> Option<String> {
    let mut read = Vec::new();
    let mut buffer = [0; 512];
    while !read.ends_with(b"who is on duty") {
        match stream.read(&mut buffer).await {
            Ok(length) if length > 0 => read.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    }
    Some(String::from_utf8_lossy(&read).into_owned())
}

/// Returns the header by which a backend server names the exchange of a request.
fn exchange_header(request: &str) -> String {
    let line = request
        .lines()
        .find(|line| line.starts_with("exchange-id:"));
    line.map_or_else(String::new, |line| format!("{line}\r\n"))
}

/// Runs two idempotent requests at a server that answers the first one twice.
fn run_two(header: impl Fn(&str) -> String) -> [Result<Bytes, Error>; 2] {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address, MAX_ANSWER_BYTES);
        let repeatable = || Run {
            idempotent: true,
            ..run(LONG_TIMEOUT)
        };
        let asked = async {
            let first = client.run(repeatable()).await;
            Some([first, client.run(repeatable()).await])
        };
        let served = async {
            serve_twice(listener, header).await;
            None
        };
        asked.or(served).await.expect("the listener works")
    })
}

/// Guards against a caller that gets the answer of the request before its own: the
/// backend server sends a second copy of an answer on a connection that is in use
/// again.
#[test]
fn second_copy_of_an_answer_is_not_returned_for_the_next_request() {
    let [first, second] = run_two(exchange_header);
    assert_eq!(first, Ok(Bytes::from_static(b"1")));
    assert_eq!(second, Err(Error::Broken));
}

/// Without the name of the exchange, the two answers cannot be told apart.
#[test]
fn connection_to_a_server_that_does_not_name_the_exchange_is_not_reused() {
    let [first, second] = run_two(|_| String::new());
    assert_eq!(first, Ok(Bytes::from_static(b"1")));
    assert_eq!(second, Ok(Bytes::from_static(b"2")));
}
