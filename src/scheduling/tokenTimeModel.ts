/**
 * Linear model of the time per output token on the engines of one service,
 * fitted to completed streams. Its terms are a constant, the share of slots in
 * use, and the tokens held in KV memory. Pure; times are ms.
 */
import { fcnnlsVector } from "ml-fcnnls";
import { median } from "simple-statistics";

/** Concurrent work on an engine. */
export interface RunLoad {
  /** Share of the slots in use. */
  slotUsage: number;
  /** Tokens that all runs hold in KV memory. */
  tokens: number;
}

interface Sample {
  load: RunLoad;
  tokenMs: number;
}

/** Coefficients of the model, ms per output token. */
interface TokenCost {
  fixedMs: number;
  /** Added when all slots are in use. */
  fillMs: number;
  /** Added per thousand tokens in KV memory. */
  kTokensMs: number;
}

const MAX_SAMPLES = 160;
const MIN_SAMPLES = 16;
const REFIT_INTERVAL = 16;
/** Weight of the prior on each coefficient, relative to the samples. */
const PRIOR_WEIGHT = 0.05;
/** Keeps a coefficient determined when its term is zero in all samples. */
const MIN_COLUMN_NORM = 1e-9;
const TOKENS_PER_K = 1000;

const termsOf = ({ slotUsage, tokens }: RunLoad): number[] => [
  1,
  slotUsage,
  tokens / TOKENS_PER_K,
];

export class TokenTimeModel {
  private readonly samples: Sample[] = [];
  private sinceFit = 0;
  private cost: TokenCost | undefined;

  /** Expected time per token at `load`, ms; undefined before the first fit. */
  estimateMs(load: RunLoad): number | undefined {
    if (this.cost === undefined) return undefined;
    const { fixedMs, fillMs, kTokensMs } = this.cost;
    return (
      fixedMs +
      fillMs * load.slotUsage +
      (kTokensMs * load.tokens) / TOKENS_PER_K
    );
  }

  /** Records the mean time per token of a run and the mean load during it. */
  observe(load: RunLoad, tokenMs: number): void {
    if (!(tokenMs > 0)) return;
    this.samples.push({ load, tokenMs });
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
    this.sinceFit += 1;
    const isDue = this.sinceFit >= REFIT_INTERVAL;
    if (this.samples.length < MIN_SAMPLES || !isDue) return;
    this.sinceFit = 0;
    this.cost = fitCost(this.samples) ?? this.cost;
  }
}

/**
 * Non-negative least squares on the relative error; undefined if the solver
 * fails. Samples at similar loads leave the coefficients undetermined, so a
 * weak prior assumes that a full engine takes twice as long per token as an
 * empty one.
 */
const fitCost = (samples: readonly Sample[]): TokenCost | undefined => {
  const rows = samples.map(({ load, tokenMs }) =>
    termsOf(load).map((term) => term / tokenMs),
  );
  const targets = samples.map(() => 1);
  const emptyMs = median(
    samples.map(({ load, tokenMs }) => tokenMs / (1 + load.slotUsage)),
  );
  const prior = [emptyMs, emptyMs, 0];
  for (const [at, expectedMs] of prior.entries()) {
    const norm = Math.hypot(...rows.map((row) => row[at] ?? 0));
    const weight = Math.max(norm, MIN_COLUMN_NORM) * PRIOR_WEIGHT;
    rows.push(prior.map((_, other) => (other === at ? weight : 0)));
    targets.push(expectedMs * weight);
  }
  try {
    const { K: solved } = fcnnlsVector(rows, targets);
    const [fixedMs = 0, fillMs = 0, kTokensMs = 0] = solved.to1DArray();
    const coefficients = [fixedMs, fillMs, kTokensMs];
    const isUsable = coefficients.every((ms) => ms >= 0 && ms < Infinity);
    return isUsable ? { fixedMs, fillMs, kTokensMs } : undefined;
  } catch {
    // The solver throws if it does not converge.
    return undefined;
  }
};
