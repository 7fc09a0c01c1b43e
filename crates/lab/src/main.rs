//! The laboratory's command line.

use clap::{Parser, Subcommand};
use linenhill_lab::decision_digest::digest;
use linenhill_lab::measure::{Cost, Division, cost, divisions};

/// Plays linenhill's deciders under virtual time.
#[derive(Parser)]
#[command(name = "linenhill-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// How much of a budget is in use by leases, beside an n-th part for each proxy.
    Divide {
        /// Draws the network, the clocks and the start of each process.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Proxies.
        #[arg(long, default_value_t = 10)]
        proxies: usize,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Digests of the decisions in random histories: a line a seed, the same as long as the decisions are.
    DigestDecisions {
        /// The first seed.
        #[arg(long, default_value_t = 0)]
        first: u64,
        /// How many seeds.
        #[arg(long, default_value_t = 1_000)]
        seeds: u64,
    },
    /// What agreeing on budgets costs.
    Cost {
        /// Draws the network, the clocks and the start of each process.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Proxies.
        #[arg(long, default_value_t = 300)]
        proxies: usize,
        /// Seconds that are played.
        #[arg(long, default_value_t = 3_600)]
        seconds: u64,
        /// The lease, in seconds.
        #[arg(long, default_value_t = 3)]
        lease: u64,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

fn main() -> Result<(), String> {
    match Cli::parse().command {
        Command::Divide { seed, proxies, json } => {
            let done = divisions(seed, proxies.max(2)).map_err(|e| e.to_string())?;
            if json {
                println!("{}", miniserde::json::to_string(&done));
                return Ok(());
            }
            println!("{:<34} {:>7} {:>7} {:>8} {:>12}", "case", "leases", "n-th", "90% in s", "most");
            for Division { case, leases, parts, within_s, most, whole } in done {
                let within = within_s.map_or("never".into(), |s| format!("{s:.2}"));
                println!("{case:<34} {leases:>7.3} {parts:>7.3} {within:>8} {most:>5} of {whole}");
            }
        }
        Command::DigestDecisions { first, seeds } => {
            (first..first.saturating_add(seeds)).for_each(|seed| println!("{}", digest(seed)));
        }
        Command::Cost { seed, proxies, seconds, lease, json } => {
            let Cost { messages, bytes, grants, keepers_busy, us_per_grant, in_use, .. } = {
                let done = cost(seed, proxies.max(1), seconds, lease.max(1)).map_err(|e| e.to_string())?;
                if json {
                    println!("{}", miniserde::json::to_string(&done));
                    return Ok(());
                }
                done
            };
            println!("{proxies} proxies, {seconds} s, lease {lease} s: {in_use:.3} of the whole in use");
            println!("a second: {messages:.0} messages, {bytes:.0} bytes, {grants:.0} grants");
            println!("keepers: {keepers_busy:.4} s of work a second, {us_per_grant:.1} us for a grant");
        }
    }
    Ok(())
}
