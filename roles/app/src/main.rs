//! The `greengagelug` binary: dispatches to the role that the first argument
//! names (`entry`, `agent`, `gateway`, `sidecar`, `operate`, `call`) or to
//! `help`.
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use app::agent;
use app::call;
use app::entry;
use app::event::Event;
use app::exit;
use app::gateway;
use app::help;
use app::logger;
use app::operator;
use app::settings;
use app::settings::Command;
use app::settings::Log;
use app::settings::command;
use app::settings::command::Settings;
use app::settings::table::Role;
use app::sidecar;
use smol::Executor;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let role = args.next().unwrap_or_default();
    let args: Vec<String> = args.collect();
    match role.as_str() {
        "entry" => start(&args, entry),
        "agent" => start(&args, agent),
        "gateway" => start(&args, gateway),
        "sidecar" => start(&args, sidecar),
        "operate" => start(&args, operate),
        "call" => start(&args, call::main),
        "help" | "--help" | "" => help::main(&args),
        _ => {
            eprintln!("unknown role `{role}`; run `greengagelug help` for the list of roles");
            ExitCode::from(exit::USAGE)
        }
    }
}

/// Reads the settings of a role and runs the role with them, or prints what
/// `--check` or `--help` asks for. Errors go to the standard error output, one
/// a line.
fn start<T: Settings>(args: &[String], run: impl FnOnce(&T) -> ExitCode) -> ExitCode {
    let variable = |name: &str| std::env::var(name).ok();
    match command::read(args, &variable) {
        Ok(Command::Run(settings)) => run(&settings),
        Ok(Command::Check) => {
            println!("settings are valid");
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

fn entry(settings: &settings::Entry) -> ExitCode {
    daemon(Role::Entry, Some(settings.listen), settings.log, || {
        entry::run(settings)
    })
}

fn agent(settings: &settings::Agent) -> ExitCode {
    daemon(Role::Agent, Some(settings.listen), settings.log, || {
        agent::run(settings)
    })
}

fn gateway(settings: &settings::Gateway) -> ExitCode {
    daemon(Role::Gateway, None, settings.0.log, || {
        gateway::run(settings)
    })
}

fn sidecar(settings: &settings::Sidecar) -> ExitCode {
    daemon(Role::Sidecar, None, settings.0.log, || {
        sidecar::run(settings)
    })
}

fn operate(settings: &settings::Operate) -> ExitCode {
    let executor = Arc::new(Executor::new());
    let command = operator::command::run(
        &settings.entries,
        settings.timeout,
        &settings.command,
        Arc::clone(&executor),
    );
    match smol::block_on(executor.run(command)) {
        Ok(output) => {
            println!("{}", output.text.trim_end());
            ExitCode::from(output.end.code())
        }
        Err(error) => {
            eprintln!("greengagelug operate: {error}");
            ExitCode::from(exit::USAGE)
        }
    }
}

/// Runs a long-lived role: starts its log, logs its start and end, and returns
/// the exit code.
fn daemon(
    role: Role,
    listen: Option<SocketAddr>,
    log: Log,
    run: impl FnOnce() -> io::Result<()>,
) -> ExitCode {
    let role = role.name().to_owned();
    if let Err(error) = logger::start(log) {
        eprintln!("greengagelug {role}: {error}");
        return ExitCode::from(exit::FAILED);
    }
    // Gateways and sidecars log their start themselves, once they have read
    // their address from the platform's settings file.
    if let Some(listen) = listen {
        let role = role.clone();
        Event::Starting { role, listen }.log();
    }
    match run() {
        Ok(()) => {
            Event::Stopped { role }.log();
            logger::flush();
            ExitCode::SUCCESS
        }
        Err(error) => {
            let error = error.to_string();
            Event::Failed { role, error }.log();
            logger::flush();
            ExitCode::from(exit::FAILED)
        }
    }
}
