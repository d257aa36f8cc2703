//! Frames on the TCP connections between daemons: a length prefix, then the sealed frame.

use std::io;

use eyre::{Result, ensure};
use peer::{Frame, Keys};
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net::TcpStream,
};

/// Bytes of the length prefix.
pub(super) const LENGTH_BYTES: usize = 4;

/// Largest frame of a challenge or request.
pub(super) const SMALL_MAX_BYTES: usize = 1_024;

/// Largest frame of a response: a configuration of 2,300 upstreams is about 1 MiB of JSON.
pub(super) const CONFIG_MAX_BYTES: usize = 16 * 1_024 * 1_024;

/// Writes a frame with its length prefix.
pub(super) async fn write_frame(stream: &mut TcpStream, keys: &Keys, frame: &Frame) -> Result<()> {
    let bytes = frame.seal(keys);
    let length = u32::try_from(bytes.len()).map_err(io::Error::other)?;
    stream.write_all(&length.to_be_bytes()).await?;
    stream.write_all(&bytes).await?;
    Ok(())
}

/// Reads and authenticates a frame of at most `bytes_max`.
pub(super) async fn read_frame(
    stream: &mut TcpStream,
    keys: &Keys,
    bytes_max: usize,
) -> Result<Frame> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let length = u32::from_be_bytes(length) as usize;
    ensure!(length <= bytes_max, "frame of {length} bytes is too large");
    // The buffer grows with the received bytes, so that a forged length reserves no memory.
    let mut bytes = Vec::new();
    let read = stream.take(length as u64).read_to_end(&mut bytes).await?;
    ensure!(read == length, "connection closed within a frame");
    Ok(Frame::open(keys, &bytes)?)
}
