//! The path from a target to the control address of its machine, which can be cut and
//! can hold single messages back.
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::util::record;
use crate::util::sleep_ms;

#[derive(Default)]
pub struct Path {
    /// Whether nothing passes.
    pub is_cut: AtomicBool,
    /// Whether what was held back in the cut is delivered.
    pub is_released: AtomicBool,
}

impl Path {
    /// Forwards connections to `from` to the address `to`.
    pub fn start(from: SocketAddr, to: SocketAddr) -> std::io::Result<Arc<Self>> {
        let path = Arc::new(Self::default());
        let listener = TcpListener::bind(from)?;
        let shared = Arc::clone(&path);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.forward(stream, to));
            }
        });
        Ok(path)
    }

    pub fn cut(&self) {
        record("path between the target and its machine's control address: cut");
        self.is_cut.store(true, Ordering::SeqCst);
    }

    pub fn heal(&self) {
        record("path between the target and its machine's control address: healed");
        self.is_cut.store(false, Ordering::SeqCst);
    }

    /// Delivers what was sent during the cut and is still on its way.
    pub fn release(&self) {
        self.is_released.store(true, Ordering::SeqCst);
    }

    fn forward(&self, mut client: TcpStream, to: SocketAddr) {
        let mut request = vec![0; 4096];
        let _ = client.set_read_timeout(Some(Duration::from_secs(2)));
        let length = read_request(&mut client, &mut request);
        let text = String::from_utf8_lossy(&request[..length]).into_owned();
        let line = text.lines().next().unwrap_or_default().to_owned();
        if self.is_cut.load(Ordering::SeqCst) {
            if !line.contains("/Instances.Deregister/") {
                // The target gives the call up before the path heals.
                sleep_ms(1_500);
                return;
            }
            while !self.is_released.load(Ordering::SeqCst) {
                sleep_ms(5);
            }
            record(format!("path: delivers the delayed message: {line}"));
        }
        let Ok(mut server) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else {
            return;
        };
        let _ = server.set_read_timeout(Some(Duration::from_secs(2)));
        let _ = server.write_all(&request[..length]);
        let mut answer = Vec::new();
        let mut part = [0; 1024];
        while let Ok(length) = server.read(&mut part) {
            if length == 0 {
                break;
            }
            answer.extend_from_slice(&part[..length]);
        }
        let _ = client.write_all(&answer);
        let _ = client.shutdown(Shutdown::Both);
    }
}

/// Reads a request with its body.
fn read_request(client: &mut TcpStream, buffer: &mut [u8]) -> usize {
    let mut length = 0;
    while let Ok(part) = client.read(&mut buffer[length..]) {
        length += part;
        let text = String::from_utf8_lossy(&buffer[..length]).to_ascii_lowercase();
        let body = text.split("content-length:").nth(1);
        let body = body.and_then(|rest| rest.lines().next()?.trim().parse::<usize>().ok());
        let head = text.find("\r\n\r\n").map(|at| at + 4);
        if part == 0 || head.is_some_and(|head| length >= head + body.unwrap_or(0)) {
            break;
        }
    }
    length
}
