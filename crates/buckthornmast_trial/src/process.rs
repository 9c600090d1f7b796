//! Child processes that are killed when they are dropped.

use std::{
    fs::File,
    io,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
};

/// Running child process.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a program and appends its standard output and standard error to a file.
    pub fn start(program: &Path, args: &[String], output: &Path) -> io::Result<Self> {
        let out = File::options().create(true).append(true).open(output)?;
        let err = out.try_clone()?;
        let mut command = Command::new(program);
        command
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err);
        Ok(Self {
            child: command.spawn()?,
        })
    }

    /// Sends a signal by name, for example `STOP`.
    ///
    /// The standard library can only send `SIGKILL`, so the system's `kill` program is used.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let signal = format!("-{name}");
        let status = Command::new("kill")
            .args([signal, self.child.id().to_string()])
            .status()?;
        if status.success() {
            Ok(())
        } else {
            Err(io::Error::other(
                "the `kill` program failed to send the signal",
            ))
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }

    /// Returns whether the process has not exited; a zombie, which has not been waited for, counts as exited.
    pub fn is_running(&self) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        stat.is_ok_and(|stat| !stat.contains(") Z "))
    }

    /// Returns the id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
