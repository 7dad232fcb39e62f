//! Runs one stand-in: `standin fabric|platform|backend|audit [FLAGS]`.
use std::process::ExitCode;

const USAGE: &str = "Usage: standin fabric|platform|backend|audit [FLAGS]; --help lists the flags";

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let name = args.next().unwrap_or_default();
    let args: Vec<String> = args.collect();
    match name.as_str() {
        "fabric" => standin::fabric::main(&args),
        "platform" => standin::platform::main(&args),
        "backend" => standin::backend::main(&args),
        "audit" => standin::audit::main(&args),
        _ => {
            eprintln!("{USAGE}");
            ExitCode::from(standin::options::EXIT_USAGE)
        }
    }
}
