/** Selects the fault profile of a seed. */
import type { RetryLimits } from "../src/gateway/index.js";
import type { FaultProfile } from "./faults.js";

/**
 * Every third seed has planned work only, to test the promise that planned work
 * cuts nothing.
 */
const PLANNED_INTERVAL = 3;
/** Of the other seeds, those with this remainder add replica signals. */
const SIGNALS_INTERVAL = 5;
const SIGNALS_REMAINDER = 4;
/** Of the other seeds, those with this remainder add replica limits. */
const LIMITS_INTERVAL = 10;
const LIMITS_REMAINDER = 8;
/** Of the other seeds, those with this remainder add silent connections. */
const SILENT_INTERVAL = 20;
const SILENT_REMAINDER = 7;
/** Of the other seeds, those with this remainder cut more streams. */
const STREAMS_INTERVAL = 5;
const STREAMS_REMAINDER = 0;

/** Of the other seeds, those with these remainders. */
const ENDINGS_INTERVAL = 20;
const ENDINGS_REMAINDER = 17;
const REPLIES_INTERVAL = 20;
const REPLIES_REMAINDER = 12;
const PARTS_INTERVAL = 20;
const PARTS_REMAINDER = 11;
const CLIENTS_INTERVAL = 20;
const CLIENTS_REMAINDER = 16;
const LIVES_INTERVAL = 20;
const LIVES_REMAINDER = 13;
const CALM_INTERVAL = 20;
const CALM_REMAINDER = 6;

export const profileOf = (seed: number): FaultProfile => {
  if (seed % PLANNED_INTERVAL === 0) return "planned";
  if (seed % LIMITS_INTERVAL === LIMITS_REMAINDER) return "limits";
  if (seed % SILENT_INTERVAL === SILENT_REMAINDER) return "silent";
  if (seed % STREAMS_INTERVAL === STREAMS_REMAINDER) return "streams";
  if (seed % ENDINGS_INTERVAL === ENDINGS_REMAINDER) return "endings";
  if (seed % REPLIES_INTERVAL === REPLIES_REMAINDER) return "replies";
  if (seed % PARTS_INTERVAL === PARTS_REMAINDER) return "parts";
  if (seed % CLIENTS_INTERVAL === CLIENTS_REMAINDER) return "clients";
  if (seed % CALM_INTERVAL === CALM_REMAINDER) return "calm";
  if (seed % LIVES_INTERVAL === LIVES_REMAINDER) return "lives";
  return seed % SIGNALS_INTERVAL === SIGNALS_REMAINDER ? "signals" : "all";
};

/** Of several software versions, or of engines that end, enough are left. */
const EXTRA_ENGINES: Partial<Record<FaultProfile, number>> = {
  streams: 2,
  parts: 4,
};

export const extraEngines = (profile: FaultProfile): number =>
  EXTRA_ENGINES[profile] ?? 0;

const RETRY_LIMITS: RetryLimits = { ratio: 0.2, burst: 64, windowMs: 10_000 };
/** All processes of a run fall into one window, and most retries are of the burst. */
const LIVES_RETRY_LIMITS: RetryLimits = {
  ratio: 0.05,
  burst: 160,
  windowMs: 60_000,
};

/** Settings of the entries. */
export const retryLimitsOf = (profile: FaultProfile): RetryLimits =>
  profile === "lives" ? LIVES_RETRY_LIMITS : RETRY_LIMITS;
