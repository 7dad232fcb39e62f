//! What is accepted of a caller's packet.
use bytes::Bytes;
use cases::cases;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use wire::Token;
use wire::caller::Error;
use wire::caller::Open;
use wire::caller::Packet;
use wire::caller::Request;
use wire::caller::packet::Body;
use wire::frame::MAX_PAYLOAD_BYTES;

const FLOW: u64 = 7;

fn request(request: u64, payload: usize) -> Packet {
    let request = Request {
        request,
        payload: vec![0; payload].into(),
        ..Request::default()
    };
    Packet::new(FLOW, Body::Request(request))
}

/// A packet and the verdict on it.
struct Checked {
    packet: Packet,
    error: Option<Error>,
}

fn checks(case: &Checked) {
    let verdict = Packet::from_bytes(case.packet.to_bytes());
    assert_eq!(verdict.err(), case.error);
}

cases! { checks;
    the_largest_payload: &Checked { packet: request(1, MAX_PAYLOAD_BYTES), error: None },
    a_larger_payload:
        &Checked { packet: request(1, MAX_PAYLOAD_BYTES + 1), error: Some(Error::TooLarge) },
    a_request_id_of_zero: &Checked { packet: request(0, 1), error: Some(Error::Malformed) },
    a_flow_key_of_zero: &Checked {
        packet: Packet::new(0, Body::Open(Open::default())),
        error: Some(Error::Malformed)
    },
    no_body: &Checked {
        packet: Packet { version: 1, flow: FLOW, body: None },
        error: Some(Error::Malformed)
    },
    version_zero: &Checked {
        packet: Packet { version: 0, ..request(1, 1) },
        error: Some(Error::Version)
    },
}

proptest! {
    #[test]
    fn noise_never_panics(noise in vec(any::<u8>(), 0..300)) {
        let _ = Packet::from_bytes(noise.into());
    }

    #[test]
    fn a_cut_packet_is_never_taken_for_another(length in 0usize..40) {
        let whole = request(9, 20).to_bytes();
        let cut = whole.slice(..length.min(whole.len() - 1));
        if let Ok(packet) = Packet::from_bytes(cut) {
            assert_eq!(packet.flow, FLOW);
        }
    }

    #[test]
    fn a_token_survives_its_encoding(target: u64, incarnation: u64) {
        let token = Token { target, incarnation };
        assert_eq!(Token::from_bytes(&token.to_bytes()), Some(token));
    }
}

#[test]
fn a_token_of_another_length_is_none() {
    assert_eq!(Token::from_bytes(&Bytes::from_static(b"short")), None);
}
