//! The `load` command: open-loop load on running VMs.

mod arrivals;
mod plot;
mod record;
mod send;

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use tokio::time::Instant;

use self::arrivals::{Arrivals, Target};
use self::record::{Recorder, Summary};
use self::send::{RequestOutcome, Sender};
use crate::failure::Failure;
use crate::output::print;

/// Send open-loop load to running VMs and measure the responses.
///
/// Each request is sent when it is due, whether earlier ones have finished or not, and times are measured from then.
#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    shallotwing load --vm 127.0.0.1:7101 --vm 127.0.0.1:7102 --key KEY --route question --rate 50\n  \
    shallotwing load --vm 127.0.0.1:7101 --compare 127.0.0.1:8001 --key KEY --route question --rate 20\n  \
    shallotwing load --vm 127.0.0.1:7101 --key KEY --route question --payments 0.1 --payment-route payment \\\n    \
    --json > after.json && shallotwing load --plot before.json --plot after.json --svg runs.svg")]
pub(crate) struct Load {
    /// Caller address of a VM; may be given several times.
    #[arg(long = "vm", required_unless_present = "plot")]
    vms: Vec<SocketAddr>,
    /// Bearer key of a workspace.
    #[arg(long, env = "SHALLOTWING_KEY", hide_env_values = true, default_value = "")]
    key: String,
    /// Route of requests to models.
    #[arg(long, default_value = "question")]
    route: String,
    /// Fraction of requests that are payments, each with a ticket.
    #[arg(long, default_value_t = 0.0)]
    payments: f64,
    /// Route of payments.
    #[arg(long, default_value = "payment")]
    payment_route: String,
    /// Requests per second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Seconds for which requests are sent.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Maximum length of responses in tokens.
    #[arg(long, default_value_t = 16)]
    tokens: u64,
    /// Length of prompts in bytes.
    #[arg(long, default_value_t = 400)]
    prompt_bytes: usize,
    /// Fraction of prompts that start with a shared prefix.
    #[arg(long, default_value_t = 0.5)]
    reuse: f64,
    /// Random seed of arrivals and prompts.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// Address of an engine that is sent every second question directly, for comparison.
    #[arg(long)]
    compare: Option<SocketAddr>,
    /// Plot these JSON results instead of sending requests; may be given several times.
    #[arg(long)]
    plot: Vec<String>,
    /// File that the plot is written to.
    #[arg(long, default_value = "load.svg")]
    svg: String,
}

impl Load {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        if !self.plot.is_empty() {
            return plot::write_plot(&self.plot, &self.svg);
        }
        if !(self.rate > 0.0 && (0.0..=1.0).contains(&self.payments) && (0.0..=1.0).contains(&self.reuse)) {
            return Err(Failure::InvalidInput(
                "--rate must be above 0; --payments and --reuse must be between 0 and 1".to_owned(),
            ));
        }
        let summary = self.send().await;
        print(json, &summary, Summary::to_text);
        Ok(())
    }

    async fn send(&self) -> Summary {
        let sender = Sender::new(&self.key, self.tokens);
        let mut recorder = Recorder::default();
        let start = Instant::now();
        let mut tasks = Vec::new();
        for request in Arrivals::new(self) {
            let due = start + request.offset;
            tokio::time::sleep_until(due).await;
            let sender = sender.clone();
            tasks.push(tokio::spawn(async move {
                let outcome = sender.send(&request, due).await;
                (request.target, outcome)
            }));
        }
        for task in tasks {
            // A task that panicked counts as a request without a response.
            let (target, outcome) = task.await.unwrap_or((Target::default(), RequestOutcome::no_response()));
            recorder.record(target, &outcome);
        }
        recorder.summary(Duration::from_secs(self.seconds))
    }
}
