//! Parsing of the settings, their error messages, the help and the generated page
//! docs/SETTINGS.md.
use std::time::Duration;

use app::settings::Agent;
use app::settings::Call;
use app::settings::Command;
use app::settings::Entry;
use app::settings::Error;
use app::settings::Format;
use app::settings::Gateway;
use app::settings::Operate;
use app::settings::Sidecar;
use app::settings::command;
use app::settings::command::Settings;
use app::settings::table::Role;

const KEY: &str = "7:00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

const ENTRY: &str = "--listen 127.0.0.1:1 --operator 127.0.0.1:3 \
    --fabric 127.0.0.1:4 --zone 258 --store 127.0.0.1:5";

const AGENT: &str = "--listen 127.0.0.1:1 --control 127.0.0.1:2 --service 127.0.0.9:5000 \
    --backend 127.0.0.1:8080 --zone 1 --seeds 127.0.0.1:7,127.0.0.2:7";

fn words(line: &str) -> Vec<String> {
    line.split_whitespace().map(str::to_owned).collect()
}

fn read<T: Settings>(line: &str, variables: &[&str]) -> Result<Command<T>, Vec<Error>> {
    let variable = |name: &str| {
        let mut pairs = variables.iter().filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(found, _)| *found == name)
            .map(|(_, value)| value.to_owned())
    };
    command::read(&words(line), &variable)
}

fn run<T: Settings>(line: &str, variables: &[&str]) -> T {
    match read::<T>(line, variables) {
        Ok(Command::Run(settings)) => settings,
        Ok(_) => panic!("the command line does not ask to run"),
        Err(errors) => panic!("not accepted: {errors:?}"),
    }
}

fn errors<T: Settings>(line: &str, variables: &[&str]) -> Vec<String> {
    match read::<T>(line, variables) {
        Ok(_) => Vec::new(),
        Err(errors) => errors.iter().map(ToString::to_string).collect(),
    }
}

#[test]
fn reads_settings_of_an_entry_with_defaults() {
    let key = format!("GREENGAGELUG_SIGN_KEY={KEY}");
    let settings: Entry = run(&format!("{ENTRY} --log-format json"), &[&key]);
    assert_eq!(settings.zone, 258);
    assert_eq!(settings.keys.sign.id, 7);
    assert_eq!(settings.keys.sign.secret[1], 0x11);
    assert_eq!(settings.log.format, Format::Json);
    assert_eq!(settings.stop, Entry::default().stop);
    assert_eq!(settings.threads, Entry::default().threads);
}

#[test]
fn fabric_of_an_entry_is_optional() {
    let line = ENTRY.replace("--fabric 127.0.0.1:4", "");
    let settings: Entry = run(&format!("{line} --sign-key {KEY}"), &[]);
    assert_eq!(settings.fabric, None);
    let settings: Entry = run(&format!("{ENTRY} --sign-key {KEY}"), &[]);
    assert_eq!(settings.fabric, "127.0.0.1:4".parse().ok());
}

#[test]
fn reads_settings_of_an_agent_with_defaults() {
    let settings: Agent = run(&format!("{AGENT} --sign-key {KEY}"), &[]);
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.slots, Agent::default().slots);
    assert_eq!(settings.metrics_interval, Agent::default().metrics_interval);
    assert_eq!(settings.stop, Agent::default().stop);
}

/// An empty cost of crossing differs from one of 0 ms.
#[test]
fn the_cost_of_crossing_is_derived_unless_given() {
    let line = format!("--boot /boot.json --sign-key {KEY}");
    let cost = |given: &str| {
        let settings: Gateway = run(&format!("{line} {given}"), &[]);
        settings.0.crossing_cost
    };
    assert_eq!(cost(""), None);
    assert_eq!(cost("--crossing-cost 0"), Some(Duration::ZERO));
    assert_eq!(cost("--crossing-cost 80"), Some(Duration::from_millis(80)));
    let variable = "GREENGAGELUG_CROSSING_COST=25";
    let settings: Gateway = run(&line, &[variable]);
    assert_eq!(settings.0.crossing_cost, Some(Duration::from_millis(25)));
    let wrong = errors::<Gateway>(&format!("{line} --crossing-cost 10001"), &[]);
    assert_eq!(
        wrong,
        ["--crossing-cost does not accept `10001`; give NUMBER (0 to 10000) in ms"]
    );
    let sidecar = errors::<Sidecar>(&format!("{line} --crossing-cost 80"), &[]);
    assert_eq!(sidecar.len(), 1, "a sidecar takes the cost from the frames");
}

#[test]
fn reads_settings_of_call_with_defaults() {
    let settings: Call = run("--service 127.0.0.9:5000 --deadline 250", &[]);
    assert_eq!(settings.deadline, Duration::from_millis(250));
    assert_eq!(settings.flows, Call::default().flows);
    assert_eq!(settings.rate, Call::default().rate);
    assert_eq!(settings.duration, Call::default().duration);
    assert_eq!(settings.idempotent, Call::default().idempotent);
    assert_eq!(settings.payload, Call::default().payload);
    assert_eq!(settings.bind, Call::default().bind);
}

#[test]
fn passes_arguments_of_operate_through_unparsed() {
    let settings: Operate = run(
        "--entries 127.0.0.1:1 drain 127.0.0.9:1 zone:2 --dry-run",
        &[],
    );
    assert_eq!(
        settings.command,
        words("drain 127.0.0.9:1 zone:2 --dry-run")
    );
    assert_eq!(settings.timeout, Operate::default().timeout);
}

#[test]
fn operate_needs_a_command() {
    let errors = errors::<Operate>("--entries 127.0.0.1:1", &[]);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].contains("help operate"), "{errors:?}");
}

#[test]
fn flag_takes_precedence_over_variable() {
    let settings: Call = run(
        "--service 127.0.0.9:5000 --rate 7",
        &["GREENGAGELUG_RATE=9", "GREENGAGELUG_FLOWS=11"],
    );
    assert_eq!(settings.rate, 7);
    assert_eq!(settings.flows, 11);
}

#[test]
fn reports_all_errors_together() {
    let line = "--listen nowhere --operator 127.0.0.1:0 \
        --fabric 127.0.0.1:4,127.0.0.1:5 --zone 70000 extra";
    let errors = errors::<Entry>(line, &["GREENGAGELUG_THREADS=0"]);
    for expected in [
        "--listen does not accept `nowhere`; give IP:PORT (neither 0)",
        "--fabric does not accept `127.0.0.1:4,127.0.0.1:5`; give IP:PORT (neither 0)",
        "--zone does not accept `70000`; give NUMBER (0 to 65535)",
        "--store is missing; give it or set GREENGAGELUG_STORE",
        "--sign-key is missing; give it or set GREENGAGELUG_SIGN_KEY",
        "GREENGAGELUG_THREADS does not accept `0`; give NUMBER (1 to 64) in threads",
        "--operator does not accept `127.0.0.1:0`; give IP:PORT (neither 0)",
        "unexpected argument `extra`; see `greengagelug help ROLE` for the flags",
    ] {
        assert!(
            errors.iter().any(|error| error == expected),
            "{expected}: {errors:#?}"
        );
    }
    assert_eq!(errors.len(), 8, "{errors:#?}");
}

#[test]
fn entry_rejects_equal_listen_and_fabric_addresses() {
    let line = ENTRY.replace("127.0.0.1:4", "127.0.0.1:1");
    let errors = errors::<Entry>(&format!("{line} --sign-key {KEY}"), &[]);
    let expected = "--listen and --fabric are the same address; give each its own port";
    assert_eq!(errors, [expected]);
}

#[test]
fn entry_rejects_the_control_flag() {
    let line = format!("{ENTRY} --sign-key {KEY} --control 127.0.0.1:2");
    let errors = errors::<Entry>(&line, &[]);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].contains("'control'"), "{errors:?}");
}

#[test]
fn agent_rejects_equal_control_and_backend_addresses() {
    let line = AGENT.replace("127.0.0.1:2 ", "127.0.0.1:8080 ");
    let errors = errors::<Agent>(&format!("{line} --sign-key {KEY}"), &[]);
    let expected = "--control and --backend are the same address; give each its own port";
    assert_eq!(errors, [expected]);
}

/// Returns the command line without a flag and its value.
fn without(line: &str, flag: &str) -> String {
    let words = words(line);
    let pairs = words.chunks(2).filter(|pair| pair[0] != flag);
    pairs
        .map(|pair| pair.join(" "))
        .collect::<Vec<_>>()
        .join(" ")
}

/// A flag with a value that is rejected, and a part of the error message.
struct Rejected {
    flag: &'static str,
    message: &'static str,
}

fn is_rejected(rejected: &Rejected) {
    let name = rejected.flag.split(' ').next().unwrap_or_default();
    let line = without(&format!("{AGENT} --sign-key {KEY}"), name);
    let line = format!("{line} {}", rejected.flag);
    let errors = errors::<Agent>(&line, &[]);
    assert_eq!(errors.len(), 1, "{errors:?}");
    assert!(errors[0].contains(rejected.message), "{errors:?}");
}

cases::cases! { is_rejected;
    unknown_flag: &Rejected { flag: "--sloots 4", message: "see `greengagelug help`" },
    number_below_range: &Rejected { flag: "--slots 0", message: "1 to 1024" },
    number_above_range: &Rejected { flag: "--stop 3601", message: "1 to 3600" },
    negative_number: &Rejected { flag: "--slots -1", message: "--slots" },
    unspecified_ip_address: &Rejected { flag: "--control 0.0.0.0:7001", message: "neither 0" },
    address_without_port: &Rejected { flag: "--backend 127.0.0.1:0", message: "neither 0" },
    word_not_in_list: &Rejected { flag: "--log-level loud", message: "error, warn, info" },
    key_too_short: &Rejected { flag: "--accept-keys 1:00", message: "64 hexadecimal digits" },
    duplicate_key_id: &Rejected {
        flag: "--accept-keys 7:00000000000000000000000000000000ffffffffffffffffffffffffffffffff",
        message: "two keys with the id 7",
    },
}

#[test]
fn error_of_a_key_does_not_contain_the_key() {
    let errors = errors::<Agent>(&format!("{AGENT} --sign-key 1:secret"), &[]);
    assert_eq!(errors.len(), 1);
    assert!(!errors[0].contains("secret"), "{errors:?}");
}

#[test]
fn check_flag_does_not_run_the_role() {
    let line = format!("{AGENT} --sign-key {KEY} --check");
    assert!(matches!(read::<Agent>(&line, &[]), Ok(Command::Check)));
}

#[test]
fn help_flag_needs_no_required_settings() {
    assert!(matches!(read::<Agent>("--help", &[]), Ok(Command::Help(_))));
}

fn help_lists_all_settings(role: Role) {
    let help = command::help(role);
    for setting in role.settings() {
        assert!(
            help.contains(&format!("--{} ", setting.name)),
            "{}",
            setting.name
        );
    }
    assert!(help.contains("Example"));
}

cases::cases! { help_lists_all_settings;
    help_of_entry: Role::Entry,
    help_of_agent: Role::Agent,
    help_of_operate: Role::Operate,
    help_of_call: Role::Call,
}

#[test]
fn generated_page_is_up_to_date() {
    let page = include_str!("../../../docs/SETTINGS.md");
    assert!(
        page == command::page(),
        "docs/SETTINGS.md is outdated; regenerate it with `greengagelug help settings > docs/SETTINGS.md`"
    );
}
