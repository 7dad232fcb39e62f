//! Authentication of sealed messages.
use bytes::Bytes;
use cases::cases;
use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use wire::Frame;
use wire::Seal;
use wire::seal::Error;
use wire::seal::KEY_LEN;
use wire::seal::Key;
use wire::seal::Purpose;

fn key(id: u8) -> Key {
    Key {
        id,
        secret: [id; KEY_LEN],
    }
}

fn frame() -> Frame {
    Frame::Control(Bytes::from_static(b"heartbeat"))
}

fn sealed() -> Vec<u8> {
    Seal::new(key(1), vec![]).seal(&frame()).expect("sealed")
}

#[test]
fn messages_of_both_keys_are_accepted_during_a_key_rotation() {
    let receiver = Seal::new(key(2), vec![key(1)]);
    assert_eq!(receiver.open(&sealed()), Ok(frame()));
    let sent = receiver.seal(&frame()).expect("sealed");
    assert_eq!(Seal::new(key(2), vec![]).open(&sent), Ok(frame()));
}

/// A change to a sealed message and the expected error.
struct Tampered {
    change: fn(&mut Vec<u8>),
    error: Error,
}

fn is_rejected(case: &Tampered) {
    let mut message = sealed();
    (case.change)(&mut message);
    assert_eq!(Seal::new(key(1), vec![]).open(&message), Err(case.error));
}

cases! { is_rejected;
    an_empty_message: &Tampered { change: Vec::clear, error: Error::Truncated },
    another_version: &Tampered { change: |message| message[0] ^= 1, error: Error::Version },
    an_unknown_key: &Tampered { change: |message| message[1] = 9, error: Error::UnknownKey },
    another_purpose: &Tampered { change: |message| message[2] ^= 1, error: Error::Purpose },
    a_changed_tag: &Tampered { change: |message| message[3] ^= 1, error: Error::BadTag },
    a_changed_content:
        &Tampered { change: |message| *message.last_mut().expect("content") ^= 1, error: Error::BadTag },
    a_truncated_content: &Tampered { change: |message| message.truncate(message.len() - 1), error: Error::BadTag },
}

#[test]
fn a_key_with_the_same_id_and_another_secret_is_rejected() {
    let mut other = key(1);
    other.secret[0] ^= 1;
    let receiver = Seal::new(other, vec![]);
    assert_eq!(receiver.open(&sealed()), Err(Error::BadTag));
}

#[test]
fn a_frame_is_not_accepted_as_a_call() {
    let seal = Seal::new(key(1), vec![]);
    let opened: Result<Frame, Error> = seal.open_as(Purpose::Call, &sealed());
    assert_eq!(opened, Err(Error::Purpose));
}

proptest! {
    #[test]
    fn random_bytes_are_rejected(bytes in vec(any::<u8>(), 0..300)) {
        assert!(Seal::new(key(1), vec![]).open(&bytes).is_err());
    }
}
