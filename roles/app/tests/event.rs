//! Tests of the catalogue of events and of the log formats.
use std::fs;
use std::path::Path;

use app::event;
use app::event::CATALOGUE;
use app::event::Event;
use app::logger;
use app::settings::Format;
use log::Level;
use log::Record;
use log4rs::encode::writer::simple::SimpleWriter;

fn stopped() -> Event {
    Event::Stopped {
        role: "entry".into(),
    }
}

/// Encodes a record that carries `event` in the same way as the log.
fn encode(format: Format, event: &Event) -> String {
    let mut writer = SimpleWriter(Vec::new());
    let number = event.number();
    let pairs = [("event", number)];
    logger::encoder(format)
        .encode(
            &mut writer,
            &Record::builder()
                .level(event.level())
                .target(event::LOG_TARGET)
                .args(format_args!("{event}"))
                .key_values(&pairs)
                .build(),
        )
        .expect("the record can be encoded");
    String::from_utf8(writer.0).expect("the line is text")
}

#[test]
fn events_page_matches_the_catalogue() {
    let page = include_str!("../../../docs/EVENTS.md");
    assert!(
        page == event::page(),
        "regenerate it with `greengagelug help events > docs/EVENTS.md`"
    );
}

#[test]
fn numbers_are_unique_and_ascending() {
    assert!(CATALOGUE.is_sorted_by(|a, b| a.number < b.number));
}

#[test]
fn only_informational_events_have_no_remedy() {
    for entry in CATALOGUE {
        let has_no_remedy = entry.remedy == "nothing";
        assert_eq!(has_no_remedy, entry.level == Level::Info, "{}", entry.name);
    }
}

/// Guards against events that stay in the catalogue after the code that logs them
/// is gone.
#[test]
fn every_event_is_logged_somewhere_in_the_sources() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut text = String::new();
    append_sources(&source, &mut text);
    for entry in CATALOGUE {
        assert!(
            text.contains(&format!("Event::{} {{", entry.name)),
            "{}",
            entry.name
        );
    }
}

fn append_sources(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).expect("the sources can be listed") {
        let path = entry.expect("the sources can be listed").path();
        if path.is_dir() {
            append_sources(&path, text);
        } else {
            *text += &fs::read_to_string(&path).expect("the sources can be read");
        }
    }
}

#[test]
fn text_contains_the_fields() {
    assert_eq!(stopped().to_string(), "entry has stopped");
    assert_eq!(stopped().number(), 1002);
    assert_eq!(stopped().level(), Level::Info);
}

#[test]
fn readable_line_contains_the_event_number() {
    let line = encode(Format::Readable, &stopped());
    assert!(line.ends_with(" INFO  1002 entry has stopped\n"), "{line}");
}

#[test]
fn json_line_contains_the_event_number() {
    let line = encode(Format::Json, &stopped());
    let value: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
    assert_eq!(value["attributes"]["event"], "1002");
    assert_eq!(value["level"], "INFO");
    assert_eq!(value["message"], "entry has stopped");
}
