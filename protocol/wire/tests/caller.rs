//! Encoding and validation of callers' packets and of tokens.
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

/// A packet and the expected error of its validation, if any.
struct Validation {
    packet: Packet,
    error: Option<Error>,
}

fn validates(case: &Validation) {
    let result = Packet::from_bytes(case.packet.to_bytes());
    assert_eq!(result.err(), case.error);
}

cases! { validates;
    the_largest_payload_is_accepted: &Validation { packet: request(1, MAX_PAYLOAD_BYTES), error: None },
    a_larger_payload_is_too_large:
        &Validation { packet: request(1, MAX_PAYLOAD_BYTES + 1), error: Some(Error::TooLarge) },
    a_zero_request_id_is_malformed: &Validation { packet: request(0, 1), error: Some(Error::Malformed) },
    a_zero_flow_key_is_malformed: &Validation {
        packet: Packet::new(0, Body::Open(Open::default())),
        error: Some(Error::Malformed)
    },
    a_missing_body_is_malformed: &Validation {
        packet: Packet { version: 1, flow: FLOW, body: None },
        error: Some(Error::Malformed)
    },
    version_zero_is_not_supported: &Validation {
        packet: Packet { version: 0, ..request(1, 1) },
        error: Some(Error::Version)
    },
}

proptest! {
    #[test]
    fn no_bytes_make_the_decoder_panic(bytes in vec(any::<u8>(), 0..300)) {
        let _ = Packet::from_bytes(bytes.into());
    }

    #[test]
    fn a_truncated_packet_never_decodes_to_another_flow(length in 0usize..40) {
        let whole = request(9, 20).to_bytes();
        let cut = whole.slice(..length.min(whole.len() - 1));
        if let Ok(packet) = Packet::from_bytes(cut) {
            assert_eq!(packet.flow, FLOW);
        }
    }

    #[test]
    fn a_token_decodes_to_what_was_encoded(target: u64, incarnation: u64) {
        let token = Token { target, incarnation };
        assert_eq!(Token::from_bytes(&token.to_bytes()), Some(token));
    }
}

#[test]
fn a_token_of_wrong_length_is_rejected() {
    assert_eq!(Token::from_bytes(&Bytes::from_static(b"short")), None);
}
