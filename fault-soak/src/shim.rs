//! The fault shim: builds the library in `shim/fault_shim.c`, which is preloaded into gateways, and writes its control
//! files.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/fault_shim.c");
/// One page, which is more than the library's `struct control` needs.
const FILE_SIZE: u64 = 4096;

/// The probabilities, from 0 to 1, that system calls fail, and the offset of the wall clock.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Faults {
    /// Added to the system's wall clock, in milliseconds.
    pub wall_clock_offset: i64,
    /// `accept4` fails.
    pub accept_fails: f64,
    /// `connect` fails.
    pub connect_fails: f64,
    /// `socket` fails.
    pub socket_fails: f64,
    /// `recv` and `read` fail with EINTR.
    pub read_interrupted: f64,
    /// `send`, `write` and `writev` fail with EINTR.
    pub write_interrupted: f64,
    /// `recv` and `read` return only a few bytes.
    pub read_short: f64,
    /// `send`, `write` and `writev` accept only a part of the bytes.
    pub write_short: f64,
    /// `epoll_wait` fails with EINTR.
    pub wait_interrupted: f64,
    /// `open` of the configuration fails.
    pub open_fails: f64,
    /// ECONNRESET is replaced by ETIMEDOUT, EHOSTUNREACH or itself, chosen at random.
    pub reset_as_timeout: f64,
}

impl Faults {
    /// The layout of `struct control` in `shim/fault_shim.c`.
    fn to_bytes(self) -> Vec<u8> {
        let mut bytes = (self.wall_clock_offset * 1_000_000).to_ne_bytes().to_vec();
        let probabilities = [
            self.accept_fails,
            self.connect_fails,
            self.socket_fails,
            self.read_interrupted,
            self.write_interrupted,
            self.read_short,
            self.write_short,
            self.wait_interrupted,
            self.open_fails,
            self.reset_as_timeout,
        ];
        for probability in probabilities {
            bytes.extend_from_slice(&((probability * 65_536.0) as u32).to_ne_bytes());
        }
        bytes
    }
}

/// The control file of one gateway.
#[derive(Debug)]
pub struct Control {
    file: File,
    /// The path of the file, for `FAULT_SHIM_CONTROL`.
    pub path: PathBuf,
}

impl Control {
    /// Creates a control file without faults.
    ///
    /// # Errors
    /// If the file cannot be created.
    pub fn create(path: PathBuf) -> io::Result<Control> {
        let file = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(&path)?;
        file.set_len(FILE_SIZE)?;
        Ok(Control { file, path })
    }

    /// Sets the faults; they apply to the next system call.
    pub fn set(&self, faults: Faults) {
        self.file.write_all_at(&faults.to_bytes(), 0).expect("the control file is writable");
    }
}

/// Builds the library in a folder and returns its path.
///
/// # Errors
/// If the C compiler `cc` is missing or fails, or the folder is not writable.
pub fn build(folder: &Path) -> io::Result<PathBuf> {
    let (source, library) = (folder.join("fault_shim.c"), folder.join("fault_shim.so"));
    fs::write(&source, SOURCE)?;
    let status = Command::new("cc")
        .args(["-shared", "-fPIC", "-O2", "-o"])
        .arg(&library)
        .arg(&source)
        .arg("-ldl")
        .status()?;
    if status.success() {
        Ok(library)
    } else {
        Err(io::Error::other("the C compiler failed to build the fault shim"))
    }
}
