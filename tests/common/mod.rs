//! Runs the `godwitloom` binary in a temporary directory.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Temporary directory of one test, removed on drop.
pub struct Workdir {
    path: PathBuf,
}

impl Workdir {
    /// Creates an empty directory for the test `name`.
    pub fn new(name: &str) -> Workdir {
        let path = std::env::temp_dir().join(format!("godwitloom-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("temporary directory is writable");
        Workdir { path }
    }

    /// Writes `text` to the file `name` in the directory.
    pub fn create(&self, name: &str, text: &str) {
        fs::write(self.path.join(name), text).expect("work directory is writable");
    }

    /// Runs `godwitloom` with `args` until it exits.
    pub fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_godwitloom"))
            .args(args)
            .current_dir(&self.path)
            .output()
            .expect("binary runs")
    }

    /// Runs `godwitloom` and returns its exit code, stdout and stderr as one text.
    ///
    /// The exit code is -1 if a signal ended the process.
    pub fn run_to_string(&self, args: &[&str]) -> String {
        let output = self.run(args);
        format!(
            "exit code {}\n{}{}",
            output.status.code().unwrap_or(-1),
            String::from_utf8_lossy(&output.stdout),
            String::from_utf8_lossy(&output.stderr)
        )
    }
}

impl Drop for Workdir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.path);
    }
}
