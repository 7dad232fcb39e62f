//! Authentication of received frames, and the counters of a port.
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use net::Port;
use wire::Frame;
use wire::Seal;
use wire::seal::KEY_LEN;
use wire::seal::Key;

fn port(secret: u8) -> Port {
    let key = Key {
        id: 1,
        secret: [secret; KEY_LEN],
    };
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    Port::bind(any, Arc::new(Seal::new(key, vec![]))).expect("a port")
}

fn frame(text: &'static str) -> Frame {
    Frame::Control(Bytes::from_static(text.as_bytes()))
}

#[test]
fn unauthenticated_datagrams_are_counted_and_skipped() {
    smol::block_on(async {
        let receiving = port(1);
        let to = receiving.local_addr().expect("an address");
        port(2).send(to, &frame("forged"));
        let noise = UdpSocket::bind("127.0.0.1:0").expect("a socket");
        noise.send_to(b"noise", to).expect("sent");
        let sending = port(1);
        sending.send(to, &frame("true"));
        let received = receiving.receiver().receive().await.expect("a frame");
        assert_eq!(received.frame, frame("true"));
        assert_eq!(received.from, sending.local_addr().expect("an address"));
        let counters = receiving.counters();
        assert_eq!(counters.received.load(Ordering::Relaxed), 3);
        assert_eq!(counters.bad_tag.load(Ordering::Relaxed), 1);
        assert_eq!(counters.truncated.load(Ordering::Relaxed), 1);
    });
}

/// A datagram to a closed port makes the next receive fail with
/// `ConnectionRefused`, which must not end the reader.
#[test]
fn a_port_receives_after_sending_to_a_closed_port() {
    smol::block_on(async {
        let sending = port(1);
        let closed = port(1).local_addr().expect("an address");
        for _ in 0..3 {
            sending.send(closed, &frame("lost"));
        }
        let to = sending.local_addr().expect("an address");
        port(1).send(to, &frame("true"));
        let received = sending.receiver().receive().await.expect("a frame");
        assert_eq!(received.frame, frame("true"));
    });
}
