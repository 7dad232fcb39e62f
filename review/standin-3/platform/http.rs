//! HTTP/1.1 with one request for each connection.
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
    pub query: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn param(&self, name: &str) -> &str {
        let mut all = self.query.iter();
        all.find(|(key, _)| key == name)
            .map_or("", |(_, value)| value)
    }
}

/// Serves `answer` at an address, one thread for each connection. `answer` returns the
/// status and the body, or nothing to close the connection without an answer.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&Request) -> Option<(u16, String)> + Clone + Send + 'static,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(address)?;
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = respond(stream, answer);
            });
        }
    });
    Ok(())
}

fn respond(
    mut stream: TcpStream,
    answer: impl Fn(&Request) -> Option<(u16, String)>,
) -> std::io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    let Some((head, body)) = read(&mut stream)? else {
        return Ok(());
    };
    let mut words = head.split_whitespace();
    let method = words.next().unwrap_or("").to_owned();
    let target = words.next().unwrap_or("").to_owned();
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    let request = Request {
        method,
        path: path.to_owned(),
        query: query.map(|(k, v)| (k.to_owned(), decode(v))).collect(),
        body,
    };
    if let Some((status, body)) = answer(&request) {
        let text = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes())?;
    }
    Ok(())
}

/// Makes a call and returns the status and the body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> std::io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let Some((head, body)) = read(&mut stream)? else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    let status = head
        .split_whitespace()
        .nth(1)
        .and_then(|word| word.parse().ok());
    Ok((status.unwrap_or(0), body))
}

fn read(stream: &mut TcpStream) -> std::io::Result<Option<(String, String)>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse().unwrap_or(0))
            });
            let length: usize = length.unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = String::from_utf8_lossy(&bytes[end + 4..end + 4 + length]);
                return Ok(Some((head, body.into_owned())));
            }
        }
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .and_then(|hex| std::str::from_utf8(hex).ok());
        match code.and_then(|hex| u8::from_str_radix(hex, 16).ok()) {
            Some(byte) if bytes[at] == b'%' => {
                out.push(byte);
                at += 3;
            }
            _ => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
