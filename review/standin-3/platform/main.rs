//! Cases of the third review. `standin-3 CASE RECORD` runs one, from the root of the
//! repository. Status 1: the rule was broken; 0: it held; 2: the case could not run.
mod change;
mod client;
mod deployment;
mod http;
mod idle;
mod json;
mod moved;
mod packet;
mod record;
mod replaced;
mod store;
mod target;
mod young;

use std::path::Path;
use std::process::exit;

use record::Record;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: standin-3 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(Path::new(path)) else {
        eprintln!("cannot write {path}");
        exit(2);
    };
    let status = match case.as_str() {
        "replaced" => replaced::run(&record, has_trouble),
        "priority" => change::run(&record, has_trouble, change::Kind::Priority),
        "revision" => change::run(&record, has_trouble, change::Kind::Revision),
        "young" => young::run(&record, has_trouble),
        "idle" => idle::run(&record, has_trouble),
        "moved" => moved::run(&record, has_trouble),
        _ => 2,
    };
    record.line(&format!("status {status}"));
    println!("{case}: status {status}");
    exit(status);
}
