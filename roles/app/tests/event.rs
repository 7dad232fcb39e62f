//! The catalogue of events.
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

/// Encodes a record that carries `event`, as the log does.
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
fn page_matches_the_code() {
    let page = include_str!("../../../docs/EVENTS.md");
    assert!(
        page == event::page(),
        "write it again with `greengagelug help events > docs/EVENTS.md`"
    );
}

#[test]
fn numbers_rise() {
    assert!(CATALOGUE.is_sorted_by(|a, b| a.number < b.number));
}

#[test]
fn warnings_have_a_remedy() {
    for entry in CATALOGUE {
        let idle = entry.remedy == "nothing";
        assert_eq!(idle, entry.level == Level::Info, "{}", entry.name);
    }
}

/// Every event is written somewhere in the code.
#[test]
fn events_are_used() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut text = String::new();
    read(&source, &mut text);
    for entry in CATALOGUE {
        assert!(
            text.contains(&format!("Event::{} {{", entry.name)),
            "{}",
            entry.name
        );
    }
}

fn read(directory: &Path, text: &mut String) {
    for entry in fs::read_dir(directory).expect("the sources can be listed") {
        let path = entry.expect("the sources can be listed").path();
        if path.is_dir() {
            read(&path, text);
        } else {
            *text += &fs::read_to_string(&path).expect("the sources can be read");
        }
    }
}

#[test]
fn text_has_its_fields() {
    assert_eq!(stopped().to_string(), "entry has stopped");
    assert_eq!(stopped().number(), 1002);
    assert_eq!(stopped().level(), Level::Info);
}

#[test]
fn readable_line_has_the_number() {
    let line = encode(Format::Readable, &stopped());
    assert!(line.ends_with(" INFO  1002 entry has stopped\n"), "{line}");
}

#[test]
fn json_line_has_the_number() {
    let line = encode(Format::Json, &stopped());
    let value: serde_json::Value = serde_json::from_str(&line).expect("the line is JSON");
    assert_eq!(value["attributes"]["event"], "1002");
    assert_eq!(value["level"], "INFO");
    assert_eq!(value["message"], "entry has stopped");
}
