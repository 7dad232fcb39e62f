//! Small HTTP/1.1 requests and answers.
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub body: String,
}

impl Request {
    pub fn parameter(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| value.to_owned()).unwrap_or_default()
    }
}

/// Reads one request.
pub fn read_request(stream: &TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|length| *length > 0)?;
    let mut words = line.split_whitespace();
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let mut length = 0;
    loop {
        let mut header = String::new();
        reader.read_line(&mut header).ok()?;
        let header = header.trim().to_ascii_lowercase();
        if header.is_empty() {
            break;
        }
        if let Some(value) = header.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

pub fn write_answer(mut stream: &TcpStream, status: u16, body: &str) {
    let head = format!(
        "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    let _ = stream.write_all((head + body).as_bytes());
}

/// Serves each connection on a thread of its own; `answer` writes to the stream.
pub fn serve(listener: TcpListener, answer: impl Fn(&TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || answer(&stream));
        }
    });
}

/// Makes one call; returns the status, or `None` without an answer in time.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> Option<u16> {
    call_after(to, method, path, body, timeout, || {})
}

/// Makes one call, and `connected` between the connection and the request.
pub fn call_after(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
    connected: impl FnOnce(),
) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&to, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    connected();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nContent-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line).ok()?;
    line.split_whitespace().nth(1)?.parse().ok()
}
