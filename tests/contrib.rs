//! Shipped completions and manual pages must match the arguments, since
//! operators' shells and `man` read these files and not the program.
//! `UPDATE_CONTRIB=1 cargo test --test contrib` writes them anew.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::{Path, PathBuf};

use clap::Command;
use clap_complete::Shell;
use corianderramp::cli;
use corianderramp::cmd::{completions, man};

fn contrib() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("contrib")
}

fn assert_current(name: &str, expected: &str) {
    let path = contrib().join(name);
    if std::env::var_os("UPDATE_CONTRIB").is_some() {
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(&path, expected).unwrap();
    }
    let found = fs::read_to_string(&path).unwrap_or_default();
    assert!(
        found == expected,
        "contrib/{name} is not current: run UPDATE_CONTRIB=1 cargo test --test contrib"
    );
}

/// Guards against completions of arguments that no longer exist.
#[test]
fn completions_are_current() {
    let shells = [
        (Shell::Bash, "corianderramp.bash"),
        (Shell::Fish, "corianderramp.fish"),
        (Shell::Zsh, "_corianderramp"),
    ];
    for (shell, name) in shells {
        assert_current(&format!("completions/{name}"), &completions::render(shell));
    }
}

/// Names of all subcommands below `command`, such as `report-burn`.
fn names(command: &Command, prefix: &str) -> Vec<String> {
    let mut all = Vec::new();
    for subcommand in command.get_subcommands() {
        let name = format!("{prefix}{}", subcommand.get_name());
        all.extend(names(subcommand, &format!("{name}-")));
        all.push(name);
    }
    all
}

/// Guards against manual pages that miss a subcommand or an argument.
#[test]
fn manual_pages_are_current() {
    assert_current("man/corianderramp.1", &man::render("").unwrap());
    assert_current("man/corianderrampd.1", &man::render("daemon").unwrap());
    let mut expected = vec!["corianderramp.1".to_owned(), "corianderrampd.1".to_owned()];
    for name in names(&cli::operator(), "") {
        let file = format!("corianderramp-{name}.1");
        assert_current(&format!("man/{file}"), &man::render(&name).unwrap());
        expected.push(file);
    }
    expected.sort();
    let folder = fs::read_dir(contrib().join("man")).unwrap();
    let mut shipped: Vec<String> = folder
        .map(|e| e.unwrap().file_name().into_string().unwrap())
        .collect();
    shipped.sort();
    assert_eq!(shipped, expected);
}
