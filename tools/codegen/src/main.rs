//! Generates the committed Rust code from the Protobuf schemas in `proto/`.
//!
//! Run `cargo run -p codegen` from the repository root after changing a schema.
//! The ordinary build does not run it.
use std::error::Error;
use std::fs;
use std::path::Path;

/// A schema file and the folder for its generated code.
struct Schema {
    file: &'static str,
    out: &'static str,
    /// Whether to generate gRPC clients and servers.
    services: bool,
}

const SCHEMAS: [Schema; 2] = [
    Schema {
        file: "proto/caller.proto",
        out: "protocol/wire/src/gen",
        services: false,
    },
    Schema {
        file: "proto/operator.proto",
        out: "protocol/api/src/gen",
        services: true,
    },
];

fn main() -> Result<(), Box<dyn Error>> {
    for schema in &SCHEMAS {
        fs::create_dir_all(schema.out)?;
        let descriptors = protox::compile([schema.file], ["proto"])?;
        tonic_prost_build::configure()
            .build_client(schema.services)
            .build_server(schema.services)
            .build_transport(false)
            .bytes(".")
            .out_dir(Path::new(schema.out))
            .compile_fds(descriptors)?;
    }
    Ok(())
}
