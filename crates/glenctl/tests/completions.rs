//! Completions of `glenctl` for shells.

use std::process::Command;

#[test]
fn each_shell_has_completions_of_the_commands() {
    for (shell, words) in
        [("bash", "complete -F _glenctl"), ("zsh", "#compdef glenctl"), ("fish", "complete -c glenctl")]
    {
        let output = Command::new(env!("CARGO_BIN_EXE_glenctl"))
            .args(["completions", shell])
            .output()
            .expect("it runs");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success() && text.contains(words), "{shell}");
        for command in ["fleet", "roll", "retire", "register", "stand-in"] {
            assert!(text.contains(command), "{shell}: {command}");
        }
    }
}
