//! Stand-in store as a process; prints its address and runs until it is killed.

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
}

#[ntex::main]
async fn main() -> Result<()> {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    let address: SocketAddr = args.listen.parse()?;
    let running = standin::Store::default().start(address)?;
    println!("{}", running.address());
    Ok(running.wait().await?)
}
