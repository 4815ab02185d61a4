//! Reports as they are sent to the coordinator.

use std::hash::Hash;

use serde::{Deserialize, Serialize};

use super::CompactError;
use super::keys::{KeyNumber, KeyTable, KeyedCount, RunningKey, WaitingKey};
use crate::message::{LoadReport, RunningCount, WaitingCount};

/// Number of keys of one kind up to which both ends keep all of them.
const MIN_KEYS: usize = 128;
/// Above it, number of keys for each one in use at which the encoder begins anew, so
/// that both ends forget the unused ones.
const KEYS_PER_USED: usize = 4;

/// A report in which keys have numbers, and only changed counts are sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CompactReport {
    /// Whether all earlier keys and counts of the connection are void.
    pub restart: bool,
    /// The report without the counts below.
    pub rest: LoadReport,
    /// Keys that get the next numbers for requests at engines.
    pub running_keys: Vec<RunningKey>,
    /// Changed numbers of requests at engines.
    pub running: Vec<KeyedCount>,
    /// Keys that get the next numbers for requests without an engine.
    pub waiting_keys: Vec<WaitingKey>,
    /// Changed numbers of requests that wait.
    pub waiting: Vec<KeyedCount>,
    /// Requests that arrived since the last report.
    pub arrivals: Vec<KeyedCount>,
}

/// What the coordinator knows from the reports of one connection.
#[derive(Debug, Clone, Default)]
pub struct ReportEncoder {
    running: KeyTable<RunningKey>,
    waiting: KeyTable<WaitingKey>,
}

impl ReportEncoder {
    /// Encodes the next report of the connection.
    pub fn encode(&mut self, mut report: LoadReport) -> CompactReport {
        let restart = is_oversized(&self.running) || is_oversized(&self.waiting);
        if restart {
            *self = Self::default();
        }
        let mut running_keys = Vec::new();
        let mut waiting_keys = Vec::new();
        let running = std::mem::take(&mut report.running).into_iter();
        let waiting = std::mem::take(&mut report.waiting).into_iter();
        let arrivals = std::mem::take(&mut report.arrivals).into_iter();
        let running = self
            .running
            .changes(running.map(split_running), &mut running_keys);
        let waiting = self
            .waiting
            .changes(waiting.map(split_waiting), &mut waiting_keys);
        let arrivals = arrivals.map(split_waiting).map(|(key, count)| KeyedCount {
            key: self.waiting.number_of(key, &mut waiting_keys),
            count,
        });
        let arrivals = arrivals.collect();
        CompactReport {
            restart,
            rest: report,
            running_keys,
            running,
            waiting_keys,
            waiting,
            arrivals,
        }
    }
}

fn is_oversized<K: Clone + Eq + Hash>(table: &KeyTable<K>) -> bool {
    table.len() > MIN_KEYS.max(KEYS_PER_USED * table.counted().count())
}

/// What the coordinator knows from the reports of one daemon's connection.
#[derive(Debug, Clone, Default)]
pub struct ReportDecoder {
    running: KeyTable<RunningKey>,
    waiting: KeyTable<WaitingKey>,
}

impl ReportDecoder {
    /// Decodes the next report of the connection.
    ///
    /// # Errors
    /// When the report does not fit to the earlier ones.
    pub fn decode(&mut self, report: CompactReport) -> Result<LoadReport, CompactError> {
        if report.restart {
            *self = Self::default();
        }
        self.running.introduce(report.running_keys);
        self.waiting.introduce(report.waiting_keys);
        self.running.apply(&report.running)?;
        self.waiting.apply(&report.waiting)?;
        let mut decoded = report.rest;
        let running = self.running.counted();
        decoded.running = running
            .map(|(key, count)| join_running(key, count))
            .collect();
        let waiting = self.waiting.counted();
        decoded.waiting = waiting
            .map(|(key, count)| join_waiting(key, count))
            .collect();
        for arrival in report.arrivals {
            decoded
                .arrivals
                .push(self.join_arrival(arrival.key, arrival.count)?);
        }
        Ok(decoded)
    }

    fn join_arrival(&mut self, key: KeyNumber, count: u32) -> Result<WaitingCount, CompactError> {
        let (key, _) = self.waiting.entry(key)?;
        Ok(join_waiting(key, count))
    }
}

fn split_running(running: RunningCount) -> (RunningKey, u32) {
    let key = RunningKey {
        engine: running.engine,
        model: running.model,
        adapter: running.adapter,
    };
    (key, running.count)
}

fn join_running(key: &RunningKey, count: u32) -> RunningCount {
    RunningCount {
        engine: key.engine.clone(),
        model: key.model.clone(),
        adapter: key.adapter.clone(),
        count,
    }
}

fn split_waiting(waiting: WaitingCount) -> (WaitingKey, u32) {
    let key = WaitingKey {
        service: waiting.service,
        model: waiting.model,
        adapter: waiting.adapter,
        software: waiting.software,
    };
    (key, waiting.count)
}

fn join_waiting(key: &WaitingKey, count: u32) -> WaitingCount {
    WaitingCount {
        service: key.service.clone(),
        model: key.model.clone(),
        adapter: key.adapter.clone(),
        software: key.software.clone(),
        count,
    }
}
