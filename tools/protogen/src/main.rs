//! Regenerates `src/control/generated/` from `proto/control.proto` without `protoc`.

use std::error::Error;

fn main() -> Result<(), Box<dyn Error>> {
    let files = protox::compile(["proto/control.proto"], ["proto"])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir("src/control/generated")
        .compile_fds(files)?;
    Ok(())
}
