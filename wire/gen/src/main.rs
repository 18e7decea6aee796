//! Regenerates the committed message types of the `walnuthaven-wire` crate.
//!
//! Usage: `cargo run -p walnuthaven-wire-gen -- OUT_DIR`, run from the workspace root.

use anyhow::Context as _;

fn main() -> anyhow::Result<()> {
    let out_dir = std::env::args()
        .nth(1)
        .context("argument OUT_DIR is missing; the committed directory is wire/src/generated")?;
    let files = protox::compile(
        ["forward.proto", "news.proto", "peer.proto"],
        ["wire/proto"],
    )?;
    tonic_prost_build::configure()
        .out_dir(&out_dir)
        .compile_fds(files)
        .with_context(|| format!("writing generated code to {out_dir:?}"))?;
    Ok(())
}
