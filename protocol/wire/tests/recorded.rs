//! Decodes frames and tokens that earlier builds encoded. Processes of both builds run
//! side by side during an upgrade: a frame that only one of them reads breaks flows.
use std::collections::BTreeMap;

use serde::Deserialize;
use wire::Frame;
use wire::Token;
use wire::Transit;
use wire::transit::Busy;
use wire::transit::Held;
use wire::transit::Open;

/// Frames of one build, as hexadecimal bytes by name.
#[derive(Debug, Deserialize)]
struct Recording {
    frames: BTreeMap<String, String>,
}

impl Recording {
    fn bytes(&self, name: &str) -> Vec<u8> {
        let text = self.frames[name].as_bytes();
        let digits = text.chunks(2).map(|pair| str::from_utf8(pair).unwrap());
        digits
            .map(|pair| u8::from_str_radix(pair, 16).unwrap())
            .collect()
    }

    fn frame(&self, name: &str) -> Frame {
        postcard::from_bytes(&self.bytes(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
    }

    fn transit(&self, name: &str) -> Transit {
        match self.frame(name) {
            Frame::Transit(transit) => transit,
            frame => panic!("{name} is decoded as {frame:?}"),
        }
    }
}

/// The build before optional fields were appended to frames.
fn bbfcc62() -> Recording {
    serde_json::from_str(include_str!("recorded/bbfcc62.json")).unwrap()
}

/// The first build with these fields.
fn d0b4c05() -> Recording {
    serde_json::from_str(include_str!("recorded/d0b4c05.json")).unwrap()
}

/// Checks that nothing of a frame is lost or added: what is decoded encodes to the same.
fn check_recording(recording: fn() -> Recording) {
    let recording = recording();
    assert!(recording.frames.len() >= 18, "{recording:?}");
    for name in recording.frames.keys().filter(|name| *name != "token") {
        let encoded = postcard::to_stdvec(&recording.frame(name)).unwrap();
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
    }) = recording.transit("open")
    else {
        panic!("an opening packet was recorded");
    };
    assert_eq!((demand, crossing), (None, None));
    let Transit::Busy(Busy {
        load, refused_from, ..
    }) = recording.transit("busy")
    else {
        panic!("a report of load was recorded");
    };
    assert_eq!((load.used_permille, refused_from), (None, None));
    let Transit::Held(Held { load, .. }) = recording.transit("held") else {
        panic!("a report of a holder was recorded");
    };
    assert_eq!(load.unwrap().used_permille, None);
}

/// An earlier build ignores what follows the last field that it knows: frames of the
/// later build must begin with those of the earlier one.
#[test]
fn later_frames_begin_with_the_earlier_ones() {
    let (earlier, later) = (bbfcc62(), d0b4c05());
    for name in earlier.frames.keys() {
        let is_appended = later.bytes(name).starts_with(&earlier.bytes(name));
        assert!(is_appended, "{name}");
    }
}
