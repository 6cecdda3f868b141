//! `load`: open-loop load on running VMs.

mod plan;
mod plot;
mod record;
mod send;

use std::net::SocketAddr;
use std::time::Duration;

use clap::Args;
use tokio::time::Instant;

use self::plan::{Plan, Target};
use self::record::{Recorder, Summary};
use self::send::{Outcome, Sender};
use crate::failure::Failure;
use crate::output::print;

/// Send an open-loop load to running VMs and measure the answers.
///
/// Requests start when they are due, whether earlier ones are answered or not, and their times count from then.
#[derive(Debug, Args)]
#[command(after_help = "Examples:\n  \
    shallotwing load --vm 127.0.0.1:7101 --vm 127.0.0.1:7102 --key KEY --route question --rate 50\n  \
    shallotwing load --vm 127.0.0.1:7101 --compare 127.0.0.1:8001 --key KEY --route question --rate 20\n  \
    shallotwing load --vm 127.0.0.1:7101 --key KEY --route question --payments 0.1 --payment-route payment \\\n    \
    --json > after.json && shallotwing load --plot before.json --plot after.json --svg runs.svg")]
pub(crate) struct Load {
    /// Callers' address of a VM; may be given several times.
    #[arg(long = "vm", required_unless_present = "plot")]
    vms: Vec<SocketAddr>,
    /// The bearer key of a workspace.
    #[arg(long, env = "SHALLOTWING_KEY", hide_env_values = true, default_value = "")]
    key: String,
    /// The route of questions to models.
    #[arg(long, default_value = "question")]
    route: String,
    /// Share of requests that are payments, each with a ticket.
    #[arg(long, default_value_t = 0.0)]
    payments: f64,
    /// The route of payments.
    #[arg(long, default_value = "payment")]
    payment_route: String,
    /// Requests a second.
    #[arg(long, default_value_t = 20.0)]
    rate: f64,
    /// Seconds to send for.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Length of answers in tokens.
    #[arg(long, default_value_t = 16)]
    tokens: u64,
    /// Length of prompts in bytes.
    #[arg(long, default_value_t = 400)]
    prompt_bytes: usize,
    /// Share of prompts that begin like another one.
    #[arg(long, default_value_t = 0.5)]
    reuse: f64,
    /// The seed of arrivals and prompts.
    #[arg(long, default_value_t = 7)]
    seed: u64,
    /// An engine that gets every second question directly, to compare with.
    #[arg(long)]
    compare: Option<SocketAddr>,
    /// Draw these JSON results instead of sending load.
    #[arg(long)]
    plot: Vec<String>,
    /// Where the drawing goes.
    #[arg(long, default_value = "load.svg")]
    svg: String,
}

impl Load {
    pub(crate) async fn run(self, json: bool) -> Result<(), Failure> {
        if !self.plot.is_empty() {
            return plot::draw(&self.plot, &self.svg);
        }
        if !(self.rate > 0.0 && (0.0..=1.0).contains(&self.payments) && (0.0..=1.0).contains(&self.reuse)) {
            return Err(Failure::Input(
                "--rate has to be above 0, --payments and --reuse within 0 and 1".to_owned(),
            ));
        }
        let summary = self.send().await;
        print(json, &summary, Summary::text);
        Ok(())
    }

    async fn send(&self) -> Summary {
        let sender = Sender::new(&self.key, self.tokens);
        let mut recorder = Recorder::default();
        let start = Instant::now();
        let mut tasks = Vec::new();
        for planned in Plan::new(self) {
            let due = start + planned.at;
            tokio::time::sleep_until(due).await;
            let sender = sender.clone();
            tasks.push(tokio::spawn(async move {
                let outcome = sender.send(&planned, due).await;
                (planned.target, outcome)
            }));
        }
        for task in tasks {
            // A task that panicked counts as a request without an answer.
            let (target, outcome) = task.await.unwrap_or((Target::default(), Outcome::lost()));
            recorder.record(target, &outcome);
        }
        recorder.summary(Duration::from_secs(self.seconds))
    }
}
