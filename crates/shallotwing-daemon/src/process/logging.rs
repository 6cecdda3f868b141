//! Logging: one line per decision, human-readable or as JSON, never with the content of a request.
//!
//! Lines go to a bounded buffer that a separate thread writes to standard output. Logging never blocks on a slow
//! reader: lines that do not fit are dropped and counted.

use std::io::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter, Logger};
use sw_conf::LogFormat;

/// Maximum delay before a line is written out.
const FLUSH_PERIOD: Duration = Duration::from_millis(250);
/// Capacity of the buffer in bytes; also the maximum that is written per flush period.
const BUFFER_CAPACITY: usize = 128 << 10;

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Log lines that wait to be written to standard output.
#[derive(Debug, Clone, Default)]
struct LogBuffer(Arc<Mutex<Pending>>);

impl Write for LogBuffer {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let mut buffer = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if buffer.bytes.len() + line.len() > BUFFER_CAPACITY {
            buffer.dropped += 1;
        } else {
            buffer.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    /// Writes the buffered lines to standard output.
    fn drain(&self) {
        let Pending { bytes, dropped } = std::mem::take(&mut *self.0.lock().unwrap_or_else(PoisonError::into_inner));
        let mut out = std::io::stdout().lock();
        // If standard output is closed, there is nowhere to report it.
        let _gone = out.write_all(&bytes);
        if dropped > 0 {
            let _gone = writeln!(
                out,
                "{{\"level\":\"warn\",\"payload\":\"log_lines_dropped\",\"kv\":{{\"lines\":{dropped}}}}}"
            );
        }
        let _gone = out.flush();
    }
}

static LOG_BUFFER: std::sync::OnceLock<LogBuffer> = std::sync::OnceLock::new();

/// Sends the log to standard output in the given format.
///
/// # Errors
///
/// Returns an error if the logger or its thread cannot be created.
pub fn start(format: LogFormat) -> eyre::Result<()> {
    let lines = LOG_BUFFER.get_or_init(LogBuffer::default).clone();
    let sink = WriteSink::builder().target(lines.clone());
    let sink = match format {
        LogFormat::Human => sink.formatter(FullFormatter::new()).build()?,
        LogFormat::Json => sink.formatter(JsonFormatter::new()).build()?,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build()?;
    spdlog::set_default_logger(Arc::new(logger));
    let write = move || {
        loop {
            std::thread::sleep(FLUSH_PERIOD);
            lines.drain();
        }
    };
    std::thread::Builder::new().name("log".to_owned()).spawn(write)?;
    Ok(())
}

/// Writes the buffered lines to standard output.
pub fn flush() {
    if let Some(lines) = LOG_BUFFER.get() {
        lines.drain();
    }
}
