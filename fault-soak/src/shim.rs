//! The control file of the preloaded library in `shim/fault_shim.c`, and the library's build.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;

const SOURCE: &str = include_str!("../shim/fault_shim.c");
/// The file is one page, more than the library's `struct control` needs.
const FILE_SIZE: u64 = 4096;

/// Chances, from 0 to 1, that a call fails, and the shift of the wall clock.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Faults {
    /// Added to what the system says of the wall clock, milliseconds.
    pub wall_clock_offset: i64,
    /// accept4.
    pub accept_fails: f64,
    /// connect.
    pub connect_fails: f64,
    /// socket.
    pub socket_fails: f64,
    /// recv and read end with EINTR.
    pub read_interrupted: f64,
    /// send, write and writev end with EINTR.
    pub write_interrupted: f64,
    /// recv and read bring a few bytes.
    pub read_short: f64,
    /// send, write and writev take a few bytes.
    pub write_short: f64,
    /// epoll_wait ends with EINTR.
    pub wait_interrupted: f64,
    /// open of the configuration fails.
    pub open_fails: f64,
    /// ECONNRESET shows as ETIMEDOUT or EHOSTUNREACH.
    pub broken_is_timed_out: f64,
}

impl Faults {
    fn to_bytes(self) -> Vec<u8> {
        let mut bytes = (self.wall_clock_offset * 1_000_000).to_ne_bytes().to_vec();
        let chances = [
            self.accept_fails,
            self.connect_fails,
            self.socket_fails,
            self.read_interrupted,
            self.write_interrupted,
            self.read_short,
            self.write_short,
            self.wait_interrupted,
            self.open_fails,
            self.broken_is_timed_out,
        ];
        for chance in chances {
            bytes.extend_from_slice(&((chance * 65_536.0) as u32).to_ne_bytes());
        }
        bytes
    }
}

/// The control file of one gateway.
#[derive(Debug)]
pub struct Control {
    file: File,
    /// Where it is.
    pub path: PathBuf,
}

impl Control {
    /// A new file without faults.
    ///
    /// # Errors
    /// What the system says of the file.
    pub fn create(path: PathBuf) -> io::Result<Control> {
        let file = OpenOptions::new().create(true).truncate(true).read(true).write(true).open(&path)?;
        file.set_len(FILE_SIZE)?;
        Ok(Control { file, path })
    }

    /// Puts faults into force at once.
    pub fn set(&self, faults: Faults) {
        self.file.write_all_at(&faults.to_bytes(), 0).expect("the control file takes what it has room for");
    }
}

/// Builds the library into a folder.
///
/// # Errors
/// Where there is no C compiler or the folder takes no files.
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
        Err(io::Error::other("the C compiler did not build the fault shim"))
    }
}
