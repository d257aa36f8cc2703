//! Stand-in engine as a process; prints its address and runs until it is killed.

use std::net::SocketAddr;

use eyre::Result;
use gumdrop::Options;

/// Command-line arguments.
#[derive(Debug, Options)]
struct Args {
    #[options(help = "print help")]
    help: bool,
    #[options(help = "address to listen on", default = "127.0.0.1:0")]
    listen: String,
    #[options(help = "model that the engine serves", default = "faucet-vision")]
    model: String,
    #[options(help = "maximum number of sequences that run at once", default = "32")]
    slots: usize,
    #[options(help = "fixed part of a step in microseconds", default = "10000")]
    step_us: u64,
    #[options(help = "refuse commands with a stale fencing token")]
    fencing: bool,
}

#[ntex::main]
async fn main() -> Result<()> {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    let address: SocketAddr = args.listen.parse()?;
    let mut profile = batch::Profile::default().with_slots(args.slots);
    profile.step_us = args.step_us;
    let engine = standin::Engine::new(profile, &[&args.model]).with_fencing(args.fencing);
    let running = engine.start(address)?;
    println!("{}", running.address());
    Ok(running.wait().await?)
}
