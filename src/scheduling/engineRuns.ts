/**
 * The runs on one engine: their memory use, the engine's time per token, and
 * how many are expected to miss their deadline. Pure; times are ms.
 */
import { median } from "simple-statistics";

import { SlotUse } from "./slotUse.js";
import type { RunTimes } from "./slotUse.js";
import type { TokenTimeModel } from "./tokenTimeModel.js";

/** Measured runs needed before an engine's relative time per token is used. */
const MIN_RATIOS = 5;
const MAX_RATIOS = 15;

/** Estimated length of an answer, and the time left to complete it. */
export interface AnswerLength {
  estimatedTokens: number;
  maxTokens: number;
  /** See `AnswerLengths`. */
  steepness: number;
  leftMs: number;
}

export interface Run {
  tokens: number;
  /** When the caller abandons the answer, ms. */
  deadlineAt: number;
  length: AnswerLength;
}

interface TrackedRun extends Run {
  addedAt: number;
  /** The engine's load sums when the run was added. */
  sums: LoadSums;
}

/** Number of runs and of their tokens, integrated over time. */
interface LoadSums {
  runMs: number;
  runTokenMs: number;
}

/** Deadline misses to expect if a run is added. */
export interface ExpectedMisses {
  /** Probability that the added run misses its deadline. */
  own: number;
  /** Expected number of additional misses among the other runs. */
  others: number;
}

/** A run that holds its slot from its grant until its end is reported. */
const FROM_NOW: RunTimes = { startsAt: undefined, runMs: Infinity };

/** Probability that an answer misses its deadline at `tokenMs` per token. */
const missProbability = (length: AnswerLength, tokenMs: number): number => {
  const { estimatedTokens, maxTokens, steepness, leftMs } = length;
  if (maxTokens * tokenMs <= leftMs) return 0;
  const ratio = leftMs / (Math.max(1, estimatedTokens) * tokenMs);
  return 1 / (1 + ratio ** steepness);
};

export class EngineRuns {
  private readonly runs = new Map<string, TrackedRun>();
  readonly slotUse = new SlotUse();
  /** Measured over expected time per token of recent runs. */
  private readonly ratios: number[] = [];
  private readonly sums: LoadSums = { runMs: 0, runTokenMs: 0 };
  private sumsAt = 0;
  /** Prompt and expected output tokens of all runs. */
  tokens = 0;

  constructor(
    private readonly slots: () => number,
    /** Shared by all engines of the service. */
    private readonly model: TokenTimeModel,
  ) {}

  get count(): number {
    return this.runs.size;
  }

  /** `times`: when the run holds a slot; by default from now on. */
  add(id: string, run: Run, now: number, times: RunTimes = FROM_NOW): void {
    this.integrate(now);
    this.slotUse.add(id, times, now);
    this.runs.set(id, { ...run, addedAt: now, sums: { ...this.sums } });
    this.tokens += run.tokens;
  }

  end(id: string, now: number): void {
    const run = this.runs.get(id);
    if (run === undefined) return;
    this.integrate(now);
    this.runs.delete(id);
    this.slotUse.end(id);
    this.tokens -= run.tokens;
  }

  /** Drops runs `graceMs` after their deadline; returns how many. */
  expire(graceMs: number, now: number): number {
    const before = this.runs.size;
    for (const [id, { deadlineAt }] of this.runs) {
      if (now > deadlineAt + graceMs) this.end(id, now);
    }
    return before - this.runs.size;
  }

  /** Records the mean time per token of a run that ends now. */
  recordTokenMs(id: string, tokenMs: number, now: number): void {
    const run = this.runs.get(id);
    if (run === undefined || now <= run.addedAt || !(tokenMs > 0)) return;
    this.integrate(now);
    const spanMs = now - run.addedAt;
    const runs = (this.sums.runMs - run.sums.runMs) / spanMs;
    const tokens = (this.sums.runTokenMs - run.sums.runTokenMs) / spanMs;
    const load = { slotUsage: runs / this.slots(), tokens };
    const expectedMs = this.model.estimateMs(load);
    if (expectedMs !== undefined) {
      this.ratios.push(tokenMs / expectedMs);
      if (this.ratios.length > MAX_RATIOS) this.ratios.shift();
    }
    this.model.observe(load, tokenMs / this.relativeTime);
  }

  /** Effect of adding a run; undefined before the first fit. */
  estimateMisses(
    tokens: number,
    length: AnswerLength,
  ): ExpectedMisses | undefined {
    const before = this.estimateTokenMs(this.count, this.tokens);
    const after = this.estimateTokenMs(this.count + 1, this.tokens + tokens);
    if (before === undefined || after === undefined) return undefined;
    const own = missProbability(length, after);
    let others = 0;
    for (const run of this.runs.values()) {
      others +=
        missProbability(run.length, after) -
        missProbability(run.length, before);
    }
    return { own, others };
  }

  /** Expected time per token, ms; undefined before the first fit. */
  private estimateTokenMs(runs: number, tokens: number): number | undefined {
    const ms = this.model.estimateMs({
      slotUsage: runs / this.slots(),
      tokens,
    });
    return ms === undefined ? undefined : ms * this.relativeTime;
  }

  /** Time per token relative to the service's other engines. */
  private get relativeTime(): number {
    return this.ratios.length < MIN_RATIOS ? 1 : median(this.ratios);
  }

  private integrate(now: number): void {
    const spanMs = Math.max(0, now - this.sumsAt);
    this.sums.runMs += this.runs.size * spanMs;
    this.sums.runTokenMs += this.tokens * spanMs;
    this.sumsAt += spanMs;
  }
}
