//! Command line of the simulations.

use clap::{Parser, Subcommand};
use linenhill_lab::decision_digest::digest;
use linenhill_lab::measure::{Cost, Division, measure_cost, measure_divisions};

/// Runs linenhill's policy and keepers in virtual time.
#[derive(Parser)]
#[command(name = "linenhill-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Measure the used part of a budget divided by leases, compared with an equal split.
    Divide {
        /// Seed for the network, the clocks and the start time of each process.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of proxies.
        #[arg(long, default_value_t = 10)]
        proxies: usize,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print digests of the decisions in random histories, one line per seed; equal lines mean equal decisions.
    DigestDecisions {
        /// First seed.
        #[arg(long, default_value_t = 0)]
        first: u64,
        /// Number of seeds.
        #[arg(long, default_value_t = 1_000)]
        seeds: u64,
    },
    /// Measure the messages and CPU time that leases cost.
    Cost {
        /// Seed for the network, the clocks and the start time of each process.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of proxies.
        #[arg(long, default_value_t = 300)]
        proxies: usize,
        /// Simulated duration in seconds.
        #[arg(long, default_value_t = 3_600)]
        seconds: u64,
        /// Lease duration in seconds.
        #[arg(long, default_value_t = 3)]
        lease: u64,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
}

fn main() {
    match Cli::parse().command {
        Command::Divide { seed, proxies, json } => {
            let divisions = measure_divisions(seed, proxies.max(2));
            print_divisions(&divisions, json);
        }
        Command::DigestDecisions { first, seeds } => {
            (first..first.saturating_add(seeds)).for_each(|seed| println!("{}", digest(seed)));
        }
        Command::Cost { seed, proxies, seconds, lease, json } => {
            let cost = measure_cost(seed, proxies.max(1), seconds, lease.max(1));
            print_cost(&cost, json);
        }
    }
}

fn print_divisions(divisions: &Vec<Division>, json: bool) {
    if json {
        println!("{}", miniserde::json::to_string(divisions));
        return;
    }
    println!("{:<34} {:>7} {:>7} {:>8} {:>12}", "case", "leases", "n-th", "90% in s", "most");
    for Division { case, leased_fraction, equal_split_fraction, reached_after_s, peak_in_use, total } in
        divisions
    {
        let reached_after = reached_after_s.map_or("never".into(), |seconds| format!("{seconds:.2}"));
        println!(
            "{case:<34} {leased_fraction:>7.3} {equal_split_fraction:>7.3} {reached_after:>8} {peak_in_use:>5} of {total}"
        );
    }
}

fn print_cost(cost: &Cost, json: bool) {
    if json {
        println!("{}", miniserde::json::to_string(cost));
        return;
    }
    let Cost {
        proxies,
        seconds,
        lease_s,
        messages,
        bytes,
        grants,
        keepers_busy,
        us_per_grant,
        in_use_fraction,
    } = cost;
    println!("{proxies} proxies, {seconds} s, lease {lease_s} s: {in_use_fraction:.3} of the budget in use");
    println!("per second: {messages:.0} messages, {bytes:.0} bytes, {grants:.0} grants");
    println!("keepers: {keepers_busy:.4} s of work per second, {us_per_grant:.1} us per grant");
}
