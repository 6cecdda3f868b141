//! The log: one line a decision, for people or as JSON, never with content of a request.

use std::sync::Arc;
use std::time::Duration;

use spdlog::formatter::{FullFormatter, JsonFormatter};
use spdlog::sink::{StdStream, StdStreamSink};
use spdlog::{Level, LevelFilter, Logger};
use sw_conf::LogFormat;

/// Time after which lines are written out at the latest.
const FLUSH_PERIOD: Duration = Duration::from_millis(500);

/// Sends the log to standard error in the given format.
///
/// # Errors
///
/// Returns an error if the logger cannot be made.
pub fn start(format: LogFormat) -> eyre::Result<()> {
    let sink = StdStreamSink::builder().std_stream(StdStream::Stderr);
    let sink = match format {
        LogFormat::Human => sink.formatter(FullFormatter::new()).build()?,
        LogFormat::Json => sink.formatter(JsonFormatter::new()).build()?,
    };
    let logger = Logger::builder()
        .sink(Arc::new(sink))
        .level_filter(LevelFilter::MoreSevereEqual(Level::Info))
        .build()?;
    let logger = Arc::new(logger);
    logger.set_flush_period(Some(FLUSH_PERIOD));
    spdlog::set_default_logger(logger);
    Ok(())
}

/// Writes out what is buffered.
pub fn flush() {
    spdlog::default_logger().flush();
}
