//! Decodes messages of the membership that an earlier build encoded. A process that is
//! not understood is taken for silent, and its flows for lost.
use cases::Recording;
use member::Message;

/// Messages of bbfcc62; d0b4c05 encodes them to the same bytes.
fn bbfcc62() -> Recording {
    Recording::parse(include_str!("recorded/bbfcc62.txt"))
}

/// Checks that nothing is lost or added: what is decoded encodes to the same.
#[test]
fn messages_of_an_earlier_build_encode_to_the_same_bytes() {
    let recording = bbfcc62();
    assert_eq!(recording.names().count(), 14, "{recording:?}");
    for name in recording.names() {
        let message = Message::decode(&recording.bytes(name));
        let message = message.unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(message.encode().unwrap(), recording.bytes(name), "{name}");
    }
}

/// A message that was cut off must be rejected, and must not end the process.
#[test]
fn messages_that_are_cut_off_are_rejected() {
    let recording = bbfcc62();
    for name in recording.names() {
        let bytes = recording.bytes(name);
        let is_rejected = |length: usize| Message::decode(&bytes[..length]).is_err();
        assert!((0..bytes.len()).all(is_rejected), "{name}");
    }
}
