//! Decodes frames and tokens that earlier builds encoded. Processes of both builds run
//! side by side during an upgrade: a frame that only one of them reads breaks flows.
use cases::Recording;
use wire::Frame;
use wire::Token;
use wire::Transit;
use wire::transit::Busy;
use wire::transit::Held;
use wire::transit::Open;

fn frame(recording: &Recording, name: &str) -> Frame {
    let frame = postcard::from_bytes(&recording.bytes(name));
    frame.unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn transit(recording: &Recording, name: &str) -> Transit {
    match frame(recording, name) {
        Frame::Transit(transit) => transit,
        frame => panic!("{name} is decoded as {frame:?}"),
    }
}

/// The build before optional fields were appended to frames.
fn bbfcc62() -> Recording {
    Recording::parse(include_str!("recorded/bbfcc62.txt"))
}

/// The first build with these fields.
fn d0b4c05() -> Recording {
    Recording::parse(include_str!("recorded/d0b4c05.txt"))
}

/// Checks that nothing of a frame is lost or added: what is decoded encodes to the same.
fn check_recording(recording: fn() -> Recording) {
    let recording = recording();
    assert_eq!(recording.names().count(), 18, "{recording:?}");
    for name in recording.names().filter(|name| *name != "token") {
        let encoded = postcard::to_stdvec(&frame(&recording, name)).unwrap();
        assert_eq!(encoded, recording.bytes(name), "{name}");
    }
    let token = Token::from_bytes(&recording.bytes("token")).unwrap();
    assert_eq!(
        (token.target, token.incarnation),
        (9, 1_700_000_000_000_000)
    );
}

cases::cases! {
    check_recording;
    frames_of_bbfcc62: bbfcc62,
    frames_of_d0b4c05: d0b4c05,
}

/// Fields that a build does not know must not read as values of others.
#[test]
fn fields_that_an_earlier_build_lacks_are_absent() {
    let recording = bbfcc62();
    let Transit::Open(Open {
        demand, crossing, ..
    }) = transit(&recording, "open")
    else {
        panic!("an opening packet was recorded");
    };
    assert_eq!((demand, crossing), (None, None));
    let Transit::Busy(Busy {
        load, refused_from, ..
    }) = transit(&recording, "busy")
    else {
        panic!("a report of load was recorded");
    };
    assert_eq!((load.used_permille, refused_from), (None, None));
    let Transit::Held(Held { load, .. }) = transit(&recording, "held") else {
        panic!("a report of a holder was recorded");
    };
    assert_eq!(load.unwrap().used_permille, None);
}

/// An earlier build ignores what follows the last field that it knows: frames of the
/// later build must begin with those of the earlier one.
#[test]
fn later_frames_begin_with_the_earlier_ones() {
    let (earlier, later) = (bbfcc62(), d0b4c05());
    for name in earlier.names() {
        let is_appended = later.bytes(name).starts_with(&earlier.bytes(name));
        assert!(is_appended, "{name}");
    }
}
