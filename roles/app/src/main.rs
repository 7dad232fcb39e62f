//! `greengagelug entry|agent|operate|call|help`.
use std::process::ExitCode;

use app::call;
use app::exit;
use app::help;
use app::settings;
use app::settings::Command;
use app::settings::command;
use app::settings::command::Settings;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let role = args.next().unwrap_or_default();
    let args: Vec<String> = args.collect();
    match role.as_str() {
        "entry" => start(&args, entry),
        "agent" => start(&args, agent),
        "operate" => start(&args, operate),
        "call" => start(&args, call::main),
        "help" | "--help" | "" => help::main(&args),
        _ => {
            eprintln!("`{role}` is no role; see `greengagelug help`");
            ExitCode::from(exit::USAGE)
        }
    }
}

/// Reads the settings of a role and runs it.
fn start<T: Settings>(args: &[String], run: impl FnOnce(T) -> ExitCode) -> ExitCode {
    let variable = |name: &str| std::env::var(name).ok();
    match command::read(args, &variable) {
        Ok(Command::Run(settings)) => run(settings),
        Ok(Command::Check) => {
            println!("settings are in order");
            ExitCode::SUCCESS
        }
        Ok(Command::Help(help)) => {
            print!("{help}");
            ExitCode::SUCCESS
        }
        Err(errors) => {
            for error in errors {
                eprintln!("greengagelug {}: {error}", T::ROLE.name());
            }
            ExitCode::from(exit::USAGE)
        }
    }
}

fn entry(_settings: settings::Entry) -> ExitCode {
    ExitCode::from(exit::FAILED)
}

fn agent(_settings: settings::Agent) -> ExitCode {
    ExitCode::from(exit::FAILED)
}

fn operate(_settings: settings::Operate) -> ExitCode {
    ExitCode::from(exit::FAILED)
}
