//! Guards against revisions that lose their order or their value on the way to another
//! process, which then keeps an older configuration.
use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use wire::Revision;
use wire::revision;

/// Message with a revision that other fields follow.
#[serde_as]
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Message {
    #[serde_as(as = "revision::Compact")]
    revision: Revision,
    body: String,
}

fn message(era: u64, number: u64) -> Message {
    Message {
        revision: revision::join(era, number),
        body: "body".to_owned(),
    }
}

fn is_carried((era, number): (u64, u64)) {
    let sent = message(era, number);
    let bytes = postcard::to_stdvec(&sent).unwrap();
    assert_eq!(postcard::from_bytes(&bytes), Ok(sent));
}

cases::cases! { is_carried;
    no_revision: (0, 0),
    number_of_48_bits: (1, (1 << 48) - 1),
    number_of_49_bits: (1, 1 << 48),
    number_without_an_era: (0, 1 << 48),
    largest_number: (1, u64::MAX),
    era_of_16_bits: (u64::from(u16::MAX), 7),
    era_of_17_bits: (1 << 16, 7),
    largest_of_both: (u64::MAX, u64::MAX),
}

/// Earlier builds hold 16 bits of the era and 48 of the number in one word.
#[test]
fn what_an_earlier_build_can_hold_is_encoded_as_it_does() {
    for (era, number) in [(0, 5), (1, 700), (65_535, (1 << 48) - 1)] {
        let earlier = postcard::to_stdvec(&(era << 48_u64 | number, "body")).unwrap();
        let sent = postcard::to_stdvec(&message(era, number)).unwrap();
        assert_eq!(sent, earlier);
    }
}

/// An earlier build must drop a message whose revision it cannot hold: it would take
/// another one for the newest.
#[test]
fn an_earlier_build_rejects_what_it_cannot_hold() {
    let sent = postcard::to_stdvec(&message(1, 1 << 48)).unwrap();
    assert!(postcard::from_bytes::<(u64, String)>(&sent).is_err());
}

/// Versions and start times that earlier builds encode as one word keep their order.
#[test]
fn packed_numbers_keep_their_order_and_their_encoding() {
    let numbers = [0, 1, 1 << 47, 1 << 48, (1 << 48) + 1, 1 << 63, u64::MAX];
    let revisions = numbers.map(revision::from_packed);
    assert!(revisions.is_sorted());
    for (number, revision) in numbers.into_iter().zip(revisions) {
        let body = "body".to_owned();
        let sent = postcard::to_stdvec(&Message { revision, body }).unwrap();
        assert_eq!(sent, postcard::to_stdvec(&(number, "body")).unwrap());
    }
}
