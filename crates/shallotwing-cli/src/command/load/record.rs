//! Recording of outcomes and the summary of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::arrivals::Target;
use super::send::RequestOutcome;

/// Upper bound of the histograms, in microseconds; longer times are recorded as this one.
const MAX_US: u64 = 600_000_000;
const US_PER_MS: f64 = 1_000.0;
/// Quantiles in the summary.
pub(crate) const QUANTILES: [f64; 5] = [0.5, 0.9, 0.95, 0.99, 1.0];

/// Results of one kind of request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Row {
    /// Kind of the requests.
    pub(crate) target: Target,
    /// Requests sent.
    pub(crate) sent: u64,
    /// Complete responses with a status below 400.
    pub(crate) answered: u64,
    /// Incomplete responses, and requests without a response.
    pub(crate) broken: u64,
    /// Responses with a status of 400 or more, by status.
    pub(crate) refused: BTreeMap<u16, u64>,
    /// The same responses, by the header that states whether the request ran.
    pub(crate) ran: BTreeMap<String, u64>,
    /// Milliseconds from the due time to the first byte of the body, at each of [`QUANTILES`].
    pub(crate) first_ms: Vec<f64>,
    /// Milliseconds from the due time to the end of the response.
    pub(crate) end_ms: Vec<f64>,
    /// Milliseconds of the longest gap within a response.
    pub(crate) gap_ms: Vec<f64>,
}

/// Results of a run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Summary {
    /// Seconds for which requests were sent.
    pub(crate) seconds: f64,
    /// Results by kind of request.
    pub(crate) rows: Vec<Row>,
}

#[derive(Debug)]
struct TargetRecord {
    row: Row,
    first_byte: Histogram<u64>,
    end: Histogram<u64>,
    gap: Histogram<u64>,
}

/// Records the outcomes of requests.
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    records: BTreeMap<Target, TargetRecord>,
}

impl Recorder {
    /// Records the outcome of a request.
    pub(crate) fn record(&mut self, target: Target, outcome: &RequestOutcome) {
        let record = self.records.entry(target).or_insert_with(|| TargetRecord::new(target));
        record.row.sent += 1;
        if outcome.status == 0 || !outcome.is_complete {
            record.row.broken += 1;
            return;
        }
        if outcome.status >= 400 {
            *record.row.refused.entry(outcome.status).or_default() += 1;
            *record.row.ran.entry(outcome.ran.clone()).or_default() += 1;
            return;
        }
        record.row.answered += 1;
        for (histogram, span) in [
            (&mut record.first_byte, outcome.first_byte),
            (&mut record.end, outcome.end),
            (&mut record.gap, outcome.gap),
        ] {
            histogram.saturating_record((span.as_micros() as u64).max(1));
        }
    }

    /// Returns the results of a run in which requests were sent for `length`.
    pub(crate) fn summary(self, length: Duration) -> Summary {
        let rows = self.records.into_values().map(TargetRecord::finish).collect();
        Summary {
            seconds: length.as_secs_f64(),
            rows,
        }
    }
}

impl TargetRecord {
    fn new(target: Target) -> Self {
        let histogram = || Histogram::new_with_bounds(1, MAX_US, 3).expect("the bounds are valid");
        let row = Row {
            target,
            sent: 0,
            answered: 0,
            broken: 0,
            refused: BTreeMap::new(),
            ran: BTreeMap::new(),
            first_ms: Vec::new(),
            end_ms: Vec::new(),
            gap_ms: Vec::new(),
        };
        Self {
            row,
            first_byte: histogram(),
            end: histogram(),
            gap: histogram(),
        }
    }

    fn finish(self) -> Row {
        let quantiles = |histogram: &Histogram<u64>| {
            QUANTILES
                .map(|quantile| histogram.value_at_quantile(quantile) as f64 / US_PER_MS)
                .to_vec()
        };
        let (first_ms, end_ms, gap_ms) = (quantiles(&self.first_byte), quantiles(&self.end), quantiles(&self.gap));
        Row {
            first_ms,
            end_ms,
            gap_ms,
            ..self.row
        }
    }
}

impl Summary {
    /// Formats the summary for people.
    pub(crate) fn to_text(&self) -> String {
        let mut lines = Vec::new();
        for row in &self.rows {
            let Row {
                target,
                sent,
                answered,
                broken,
                refused,
                ran,
                ..
            } = row;
            lines.push(format!(
                "{target}: sent {sent}, answered {answered}, broken {broken}, refused {refused:?}, ran {ran:?}"
            ));
            for (name, values) in [
                ("first byte", &row.first_ms),
                ("end", &row.end_ms),
                ("longest gap", &row.gap_ms),
            ] {
                let values: Vec<_> = QUANTILES
                    .iter()
                    .zip(values)
                    .map(|(q, ms)| format!("p{} {ms:.2}", q * 100.0))
                    .collect();
                lines.push(format!("  {name}, ms: {}", values.join(", ")));
            }
        }
        if let Some(ratio) = self.ratio() {
            lines.push(format!("through a VM, relative to direct requests: {ratio}"));
        }
        lines.join("\n")
    }

    /// Formats times through a VM relative to those of direct requests in the same run.
    fn ratio(&self) -> Option<String> {
        let row = |target| self.rows.iter().find(|row| row.target == target);
        let (through, direct) = (row(Target::Question)?, row(Target::Direct)?);
        let ratio = |a: &[f64], b: &[f64], index: usize| a[index] / b[index].max(0.001);
        Some(format!(
            "first byte p50 x{:.2}, p99 x{:.2}; end p50 x{:.3}, p99 x{:.3}",
            ratio(&through.first_ms, &direct.first_ms, 0),
            ratio(&through.first_ms, &direct.first_ms, 3),
            ratio(&through.end_ms, &direct.end_ms, 0),
            ratio(&through.end_ms, &direct.end_ms, 3),
        ))
    }
}
