//! What the client makes of a backend server's behaviour.
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

/// Largest answer that the client takes, in bytes.
const MAX_ANSWER_BYTES: usize = 8;

fn run(timeout: Duration) -> Run {
    Run {
        request: 1,
        idempotent: false,
        timeout,
        payload: Bytes::from_static(b"who is on duty"),
    }
}

/// Long enough for any answer that comes.
const PATIENT: Duration = Duration::from_mins(1);

/// Reads until the end of a request's payload; false where the connection was
/// closed before.
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

/// Answers the first request of each connection, and closes the connection.
async fn serve(listener: TcpListener, answer: &str) {
    while let Ok((mut stream, _)) = listener.accept().await {
        if read_request(&mut stream).await {
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    }
}

/// Answers the first request of each connection, and closes the connection
/// when a second one comes on it.
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

/// A backend server's answer and what the client says of it.
struct Answered {
    answer: &'static str,
    result: Result<Bytes, Error>,
}

fn says(case: &Answered) {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address, MAX_ANSWER_BYTES);
        let asked = async { Some(client.run(run(PATIENT)).await) };
        let served = async {
            serve(listener, case.answer).await;
            None
        };
        assert_eq!(asked.or(served).await, Some(case.result.clone()));
    });
}

cases! { says;
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
    a_shed_request_says_when_to_come_back: &Answered {
        answer: "HTTP/1.1 503 Busy\r\nretry-after: 2\r\ncontent-length: 0\r\n\r\n",
        result: Err(Error::Shed { retry_after: Duration::from_secs(2) }),
    },
    a_shed_request_without_a_time_gets_the_default: &Answered {
        answer: "HTTP/1.1 429 Busy\r\ncontent-length: 0\r\n\r\n",
        result: Err(Error::Shed { retry_after: Duration::from_millis(200) }),
    },
    another_status_may_have_run: &Answered {
        answer: "HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n",
        result: Err(Error::Status(500)),
    },
}

#[test]
fn a_closed_port_is_unreachable() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        drop(listener);
        let client = Client::new(address, MAX_ANSWER_BYTES);
        assert_eq!(client.run(run(PATIENT)).await, Err(Error::Unreachable));
    });
}

#[test]
fn a_run_whose_deadline_has_passed_is_not_sent() {
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

#[test]
fn a_run_that_must_not_repeat_meets_no_connection_that_is_about_to_close() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address, MAX_ANSWER_BYTES);
        let asked = async {
            for _ in 0..3 {
                let answer = client.run(run(PATIENT)).await;
                assert_eq!(answer, Ok(Bytes::from_static(b"Nina")));
            }
        };
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nNina";
        asked.or(serve_once(listener, answer)).await;
    });
}

#[test]
fn a_dropped_run_closes_its_connection() {
    smol::block_on(async {
        let (listener, address) = listen().await;
        let client = Client::new(address, MAX_ANSWER_BYTES);
        let begun = async {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            assert!(read_request(&mut stream).await);
            Some(stream)
        };
        let asked = async {
            let _ = client.run(run(PATIENT)).await;
            None
        };
        let mut stream = begun.or(asked).await.expect("the request arrived");
        assert!(!read_request(&mut stream).await, "closed without an answer");
    });
}
