//! The command line, and what it knows of the configuration's keys.

#[cfg(test)]
mod tests;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(version, about = "The pondlb load balancer. Without a command it serves.")]
pub struct Line {
    #[command(subcommand)]
    pub command: Option<Command>,
}

#[derive(Subcommand)]
pub enum Command {
    /// Serves, as the file says that RELAY_CONFIG names
    Serve,
    /// Reads a configuration and says all that is wrong with it; serves nothing
    Check {
        /// In place of the file that RELAY_CONFIG names
        file: Option<String>,
    },
    /// Says what a key of the configuration means; lists them all without one
    Explain { key: Option<String> },
}

/// The one place where the keys are told to people: what is printed can't differ from it.
const PAGE: &str = include_str!("../../../../docs/configuration.md");

/// Each key that the page has, with what it says of it.
pub fn keys() -> Vec<(String, String)> {
    let rows = PAGE.lines().filter(|row| row.starts_with("| `"));
    rows.flat_map(|row| {
        let cells: Vec<&str> = row.trim_matches('|').split(" | ").map(str::trim).collect();
        let (names, rest) = cells.split_first().unwrap_or((&"", &[]));
        let meaning = match rest {
            [default, meaning] => format!("{meaning} (where nothing is said: {default})"),
            _ => rest.join(" "),
        };
        let mut group = "";
        let names: Vec<&str> = names.split('`').skip(1).step_by(2).collect();
        let named = names.into_iter().filter_map(|name| {
            // A group stands before its keys, by itself or with the first of them.
            if name.ends_with("[]") {
                group = name;
                return None;
            }
            if let Some((first, _)) = name.rsplit_once('.') {
                group = first;
                return Some((name.to_string(), meaning.clone()));
            }
            let name = if group.is_empty() { name.to_string() } else { format!("{group}.{name}") };
            Some((name, meaning.clone()))
        });
        named.collect::<Vec<_>>()
    })
    .collect()
}
