//! Compiles `proto/operator.proto` into a descriptor set, without an installed `protoc`.

use prost::Message;
use std::path::Path;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let proto = Path::new("../../proto");
    println!("cargo::rerun-if-changed={}", proto.join("operator.proto").display());
    let files = protox::compile(["operator.proto"], [proto])?;
    let out = std::env::var("OUT_DIR")?;
    std::fs::write(Path::new(&out).join("operator.bin"), files.encode_to_vec())?;
    Ok(())
}
