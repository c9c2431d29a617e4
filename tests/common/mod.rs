//! Runs the real binary in a directory of its own.

use std::fs;
use std::path::PathBuf;
use std::process::{Command, Output};

/// Directory of one test, removed at its end.
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

    /// Writes a file.
    pub fn create(&self, name: &str, text: &str) {
        fs::write(self.path.join(name), text).expect("work directory is writable");
    }

    /// Runs `godwitloom` with `args` to its end.
    pub fn run(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_godwitloom"))
            .args(args)
            .current_dir(&self.path)
            .output()
            .expect("binary runs")
    }

    /// Runs `godwitloom` and describes how it ended.
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
