//! Table of all settings; the help, the checks and the page docs/SETTINGS.md are
//! generated from it.
use super::table::Kind;
use super::table::Preset;
use super::table::Role;
use super::table::Setting;
use super::table::Unit;

const ENTRY_AND_AGENT: &[Role] = &[Role::Entry, Role::Agent];
const FORWARDERS: &[Role] = &[Role::Gateway, Role::Sidecar];
const ALL_DAEMONS: &[Role] = &[Role::Entry, Role::Agent, Role::Gateway, Role::Sidecar];
const ENTRY: &[Role] = &[Role::Entry];
const AGENT: &[Role] = &[Role::Agent];
const OPERATE: &[Role] = &[Role::Operate];
const CALL: &[Role] = &[Role::Call];

/// All settings, in the order in which the help lists them.
pub const SETTINGS: &[Setting] = &[
    Setting {
        name: "boot",
        roles: FORWARDERS,
        kind: Kind::Text,
        unit: "",
        default: Preset::Required,
        help: "path of the settings file that the platform writes for the process",
    },
    Setting {
        name: "bind",
        roles: FORWARDERS,
        kind: Kind::OptionalAddress,
        unit: "",
        default: Preset::Text(""),
        help: "UDP address to bind for frames if other processes reach this one at \
               a different address, as behind network address translation; empty \
               binds the address from the settings file",
    },
    Setting {
        name: "listen",
        roles: ENTRY_AND_AGENT,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "UDP address for frames, at which other processes reach this one",
    },
    Setting {
        name: "control",
        roles: AGENT,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "TCP address for calls between agents",
    },
    Setting {
        name: "operator",
        roles: ENTRY,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "TCP address of the operators' gRPC server",
    },
    Setting {
        name: "fabric",
        roles: ENTRY,
        kind: Kind::OptionalAddress,
        unit: "",
        default: Preset::Text(""),
        help: "UDP address of a fabric that encapsulates callers' datagrams; \
               without one the entry binds the service addresses itself",
    },
    Setting {
        name: "peers",
        roles: ENTRY,
        kind: Kind::Addresses(0),
        unit: "",
        default: Preset::Text(""),
        help: "UDP addresses of other entries through which this one joins the gossip",
    },
    Setting {
        name: "store",
        roles: ENTRY,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "TCP address of the platform's key-value service",
    },
    Setting {
        name: "threads",
        roles: ENTRY,
        kind: Kind::Number { min: 1, max: 64 },
        unit: "threads",
        default: Preset::Text("1"),
        help: "number of threads that relay packets",
    },
    Setting {
        name: "service",
        roles: &[Role::Agent, Role::Call],
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "service address, to which callers send",
    },
    Setting {
        name: "backend",
        roles: AGENT,
        kind: Kind::Address,
        unit: "",
        default: Preset::Required,
        help: "HTTP address of the backend server next to the agent",
    },
    Setting {
        name: "slots",
        roles: AGENT,
        kind: Kind::Number { min: 1, max: 1024 },
        unit: "requests",
        default: Preset::Text("4"),
        help: "largest number of requests that the backend server runs concurrently",
    },
    Setting {
        name: "seeds",
        roles: AGENT,
        kind: Kind::Addresses(1),
        unit: "",
        default: Preset::Required,
        help: "UDP addresses of entries to which the agent announces itself first",
    },
    Setting {
        name: "stop",
        roles: ENTRY_AND_AGENT,
        kind: Kind::Time {
            unit: Unit::Seconds,
            min: 1,
            max: 3600,
        },
        unit: "s",
        default: Preset::Text("10"),
        help: "longest time from SIGTERM to exit",
    },
    Setting {
        name: "zone",
        roles: ENTRY_AND_AGENT,
        kind: Kind::Number {
            min: 0,
            max: u16::MAX as u64,
        },
        unit: "",
        default: Preset::Required,
        help: "availability zone of the host; the upper byte is its region",
    },
    Setting {
        name: "sign-key",
        roles: ALL_DAEMONS,
        kind: Kind::Key,
        unit: "",
        default: Preset::Required,
        help: "key that signs messages between processes; set it by the environment \
               variable to keep it out of the process list",
    },
    Setting {
        name: "accept-keys",
        roles: ALL_DAEMONS,
        kind: Kind::Keys,
        unit: "",
        default: Preset::Text(""),
        help: "further keys accepted on received messages, for key rotation",
    },
    Setting {
        name: "entries",
        roles: OPERATE,
        kind: Kind::Addresses(1),
        unit: "",
        default: Preset::Required,
        help: "operator addresses of entries, tried in order until one answers",
    },
    Setting {
        name: "timeout",
        roles: OPERATE,
        kind: Kind::Time {
            unit: Unit::Seconds,
            min: 1,
            max: 600,
        },
        unit: "s",
        default: Preset::Text("10"),
        help: "longest time to wait for each entry",
    },
    Setting {
        name: "name",
        roles: CALL,
        kind: Kind::Text,
        unit: "",
        default: Preset::Text(""),
        help: "name that the service's backend servers echo; empty accepts any",
    },
    Setting {
        name: "bind",
        roles: CALL,
        kind: Kind::LocalAddress,
        unit: "",
        default: Preset::Text("127.0.0.1:0"),
        help: "local UDP address; port 0 for any free port",
    },
    Setting {
        name: "flows",
        roles: CALL,
        kind: Kind::Number {
            min: 1,
            max: 100_000,
        },
        unit: "flows",
        default: Preset::Text("100"),
        help: "number of flows kept open",
    },
    Setting {
        name: "rate",
        roles: CALL,
        kind: Kind::Number {
            min: 1,
            max: 100_000,
        },
        unit: "requests/s",
        default: Preset::Text("100"),
        help: "rate of requests over all flows",
    },
    Setting {
        name: "duration",
        roles: CALL,
        kind: Kind::Time {
            unit: Unit::Seconds,
            min: 1,
            max: 86_400,
        },
        unit: "s",
        default: Preset::Text("10"),
        help: "time during which requests are sent",
    },
    Setting {
        name: "idempotent",
        roles: CALL,
        kind: Kind::Number { min: 0, max: 100 },
        unit: "%",
        default: Preset::Text("50"),
        help: "share of requests that are idempotent",
    },
    Setting {
        name: "deadline",
        roles: CALL,
        kind: Kind::Time {
            unit: Unit::Milliseconds,
            min: 1,
            max: 600_000,
        },
        unit: "ms",
        default: Preset::Text("5000"),
        help: "longest time that each request may take, retries included",
    },
    Setting {
        name: "payload",
        roles: CALL,
        kind: Kind::Number {
            min: 0,
            max: wire::frame::MAX_PAYLOAD_BYTES as u64,
        },
        unit: "B",
        default: Preset::Text("64"),
        help: "smallest size of a request's payload",
    },
    Setting {
        name: "output",
        roles: CALL,
        kind: Kind::Text,
        unit: "",
        default: Preset::Text(""),
        help: "file that the report is written to as JSON; empty for none",
    },
    Setting {
        name: "plot",
        roles: CALL,
        kind: Kind::Text,
        unit: "",
        default: Preset::Text(""),
        help: "file that the plot of the latency over the run is written to as SVG; empty for none",
    },
    Setting {
        name: "seed",
        roles: CALL,
        kind: Kind::Number {
            min: 0,
            max: u64::MAX,
        },
        unit: "",
        default: Preset::Text("0"),
        help: "seed of all random choices; 0 for a random seed",
    },
    Setting {
        name: "metrics-interval",
        roles: ENTRY_AND_AGENT,
        kind: Kind::Time {
            unit: Unit::Seconds,
            min: 0,
            max: 86_400,
        },
        unit: "s",
        default: Preset::Text("60"),
        help: "interval of the log lines with all metrics; 0 disables them",
    },
    Setting {
        name: "metrics-port",
        roles: FORWARDERS,
        kind: Kind::Number {
            min: 1,
            max: u16::MAX as u64,
        },
        unit: "",
        default: Preset::Text("9464"),
        help: "TCP port of the metrics endpoint /metrics",
    },
    Setting {
        name: "crossing-cost",
        roles: &[Role::Gateway],
        kind: Kind::OptionalTime {
            unit: Unit::Milliseconds,
            min: 0,
            max: 10_000,
        },
        unit: "ms",
        default: Preset::Text(""),
        help: "cost of sending a flow to another availability zone, as a wait; empty \
               derives it from the target latency and the size of requests, or takes \
               12 ms where a route states no target latency",
    },
    Setting {
        name: "log-format",
        roles: ALL_DAEMONS,
        kind: Kind::Choice(&["readable", "json", "compact"]),
        unit: "",
        default: Preset::Text("readable"),
        help: "format of the log lines; compact ones go to the standard output",
    },
    Setting {
        name: "log-level",
        roles: ALL_DAEMONS,
        kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
        unit: "",
        default: Preset::Text("info"),
        help: "lowest severity that is logged",
    },
];
