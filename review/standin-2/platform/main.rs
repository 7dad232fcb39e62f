//! Stand-ins of the operators' platform, its targets and clients, for the cases of a
//! review: `standin CASE RECORD`, with `TROUBLE=0` without the disruption. Exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run.
mod age;
mod client;
mod copy;
mod fraction;
mod http;
mod late;
mod packet;
mod proxy;
mod small;
mod stale;
mod store;
mod system;
mod target;
mod util;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(path)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    if let Err(error) = util::begin(&path) {
        eprintln!("cannot write {path}: {error}");
        std::process::exit(2);
    }
    util::record(format!("case {case}, with the disruption: {trouble}"));
    let result = match case.as_str() {
        "fraction" => fraction::run(trouble),
        "late" => late::run(trouble),
        "age" => age::run(trouble),
        "copy" => copy::run(trouble),
        "stale" => stale::run(trouble),
        _ => Err("unknown case".to_owned()),
    };
    let (text, code) = match result {
        Ok(true) => ("the rule was broken".to_owned(), 1),
        Ok(false) => ("the rule held".to_owned(), 0),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    util::record(&text);
    println!("{text}");
    std::process::exit(code);
}
