//! `fireflylever`, the operators' command-line tool.
//!
//! It applies and shows releases, sends commands to upstreams, settles claims, drains hosts and
//! explains requests. [`args`] lists the commands.

mod admin;
mod args;
mod check;
mod claim_read;
mod claim_settle;
mod explain;
mod failure;
mod fleet;
mod hosts;
mod key;
mod print;
mod release_apply;
mod release_read;
mod release_status;
mod table_calls;
#[cfg(test)]
mod tests;
mod upstream_client;
mod upstream_command;

use std::process::ExitCode;

use gumdrop::Options as _;

use self::{
    args::{Args, ClaimCommand, Command, ReleaseCommand, UpstreamCommand},
    failure::Failure,
};

#[ntex::main]
async fn main() -> ExitCode {
    env_logger::init();
    let args = Args::parse_args_default_or_exit();
    match run(args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("{failure}");
            failure.exit_code()
        }
    }
}

async fn run(args: Args) -> Result<(), Failure> {
    match args.command {
        None => {
            println!(
                "{}\n\nCommands:\n{}",
                Args::usage(),
                Args::command_list().unwrap_or_default()
            );
            Ok(())
        }
        Some(Command::Check(args)) => check::check_files(&args.files),
        Some(Command::Release(args)) => match args.command {
            None => {
                let commands = ReleaseCommand::usage();
                println!("Usage: fireflylever release COMMAND\n\nCommands:\n{commands}");
                Ok(())
            }
            Some(ReleaseCommand::Check(args)) => release_apply::check_note(&args).await,
            Some(ReleaseCommand::Apply(args)) => release_apply::apply_note(args).await,
            Some(ReleaseCommand::Show(args)) => release_read::show(&args).await,
            Some(ReleaseCommand::History(args)) => release_read::history(&args).await,
            Some(ReleaseCommand::Diff(args)) => release_read::print_diff(&args).await,
            Some(ReleaseCommand::Status(args)) => release_status::status(&args).await,
        },
        Some(Command::Hosts(args)) => fleet::print_hosts(&args).await,
        Some(Command::Upstreams(args)) => fleet::print_upstreams(&args).await,
        Some(Command::Upstream(args)) => match args.command {
            None => {
                let commands = UpstreamCommand::usage();
                println!("Usage: fireflylever upstream COMMAND\n\nCommands:\n{commands}");
                Ok(())
            }
            Some(UpstreamCommand::Command(args)) => upstream_command::send(args).await,
        },
        Some(Command::Claim(args)) => match args.command {
            None => {
                let commands = ClaimCommand::usage();
                println!("Usage: fireflylever claim COMMAND\n\nCommands:\n{commands}");
                Ok(())
            }
            Some(ClaimCommand::List(args)) => claim_read::list(&args).await,
            Some(ClaimCommand::Show(args)) => claim_read::show(&args).await,
            Some(ClaimCommand::Settle(args)) => claim_settle::settle(&args).await,
        },
        Some(Command::Drain(args)) => admin::drain(&args).await,
        Some(Command::Explain(args)) => explain::explain(&args).await,
        Some(Command::Key(_)) => {
            key::print_new();
            Ok(())
        }
    }
}
