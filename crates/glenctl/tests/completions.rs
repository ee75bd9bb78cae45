//! Shell completions of `glenctl`.

use std::process::Command;

#[test]
fn completions_for_each_shell_contain_the_commands() {
    for (shell, marker) in
        [("bash", "complete -F _glenctl"), ("zsh", "#compdef glenctl"), ("fish", "complete -c glenctl")]
    {
        let output = Command::new(env!("CARGO_BIN_EXE_glenctl"))
            .args(["completions", shell])
            .output()
            .expect("run glenctl");
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        assert!(output.status.success() && text.contains(marker), "{shell}");
        for command in ["fleet", "roll", "retire", "register", "stand-in"] {
            assert!(text.contains(command), "{shell}: {command}");
        }
    }
}
