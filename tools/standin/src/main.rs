//! Runs one stand-in: `standin platform [FLAGS]`.
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let name = args.next().unwrap_or_default();
    let args: Vec<String> = args.collect();
    match name.as_str() {
        "platform" => standin::platform::main(&args),
        _ => {
            eprintln!("Usage: standin platform [FLAGS]; --help lists the flags");
            ExitCode::from(2)
        }
    }
}
