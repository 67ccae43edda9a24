//! The command line, and the explanations of the configuration keys that it prints.

#[cfg(test)]
mod tests;

use clap::{Parser, Subcommand};

/// The arguments of the program.
#[derive(Parser)]
#[command(version, about = "The pondlb load balancer. Serves if no command is given.")]
pub struct CommandLine {
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// What the program is to do. The comments on its variants and fields are the help texts.
#[derive(Subcommand)]
pub enum Command {
    /// Serves with the configuration file that RELAY_CONFIG names
    Serve,
    /// Checks a configuration file and prints every fault in it, without serving
    Check {
        /// The file to check instead of the one that RELAY_CONFIG names
        file: Option<String>,
    },
    /// Prints what a configuration key means, or lists all keys if none is given
    Explain { key: Option<String> },
}

/// The page that documents the keys. `explain` prints its texts, so that the two can't differ.
const CONFIGURATION_PAGE: &str = include_str!("../../../../docs/configuration.md");

/// Each key on the configuration page, as a path, with its meaning and its default.
pub fn keys() -> Vec<(String, String)> {
    let rows = CONFIGURATION_PAGE.lines().filter(|row| row.starts_with("| `"));
    rows.flat_map(|row| {
        let cells: Vec<&str> = row.trim_matches('|').split(" | ").map(str::trim).collect();
        let (names, rest) = cells.split_first().unwrap_or((&"", &[]));
        let meaning = match rest {
            [default, meaning] => format!("{meaning} (where nothing is said: {default})"),
            _ => rest.join(" "),
        };
        let mut group = "";
        let names: Vec<&str> = names.split('`').skip(1).step_by(2).collect();
        let keys_of_row = names.into_iter().filter_map(|name| {
            // A row names the group of its keys first, either by itself or as a part of its first key.
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
        keys_of_row.collect::<Vec<_>>()
    })
    .collect()
}
