/** Loads for the player: what callers ask for, of which engines, with which faults. */
import { z } from "zod/v4";

import { parseCheckedYaml, readText } from "../../src/settings/index.js";
import type { Rng } from "../../src/shared/rng.js";

const positive = z.number().positive();
const count = z.int().nonnegative();

const engineSchema = z.strictObject({
  count: z.int().positive(),
  /** Share of them that read prompts at the start. */
  prefillShare: z.number().min(0).max(1),
  slots: z.int().positive(),
  kvCapacityTokens: z.int().positive(),
  /** Time to read: fixed, a token, a million pairs, ms. */
  fixedMs: z.number().nonnegative(),
  tokenMs: positive,
  mPairMs: z.number().nonnegative(),
  /** One step of all runs, and what each run adds, ms. */
  stepMs: positive,
  stepMsPerRun: z.number().nonnegative(),
  /** Added to a step per 1,000 tokens that the runs hold in memory, ms. */
  stepMsPerKToken: z.number().nonnegative().default(0),
  /** To move one cached token between engines, ms. */
  moveMsPerToken: z.number().nonnegative(),
  /** A change of stage takes so long once its runs have ended, ms. */
  changeMs: positive,
  /** Times over that of the others, by engine in turn. */
  slowness: z.array(positive).min(1),
});

const kindSchema = z.strictObject({
  name: z.string(),
  perSecond: positive,
  priority: count,
  ownTokens: positive,
  /** Parts that requests share: how many there are, tokens of each. */
  shared: z.array(
    z.strictObject({ count: z.int().positive(), tokens: z.int().positive() }),
  ),
  events: positive,
  /** Maximum number of events in an answer; longer answers are truncated. */
  mostEvents: positive.optional(),
  tokensPerEvent: positive,
  /** Callers' length estimates are off by up to this factor either way. */
  guessSpread: z.number().min(1).default(1),
  objectiveMs: positive,
  deadlineMs: positive,
  /** Longest good pause between two events, ms. */
  gapMs: positive,
  /** Times with more, or fewer, of them. */
  bursts: z.array(
    z.strictObject({ fromS: z.number(), toS: z.number(), times: positive }),
  ),
});

const faultSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("crash"),
    atS: z.number(),
    forS: positive,
    /** That many engines of the stage. */
    engines: z.int().positive(),
    stage: z.enum(["prefill", "decode"]),
  }),
  z.strictObject({
    kind: z.literal("slow"),
    atS: z.number(),
    forS: positive,
    engines: z.int().positive(),
    stage: z.enum(["prefill", "decode"]),
    times: positive,
  }),
]);

const loadSchema = z.strictObject({
  seconds: positive,
  /** One way between processes, ms. */
  hopMs: positive,
  engines: engineSchema,
  kinds: z.array(kindSchema).min(1),
  faults: z.array(faultSchema),
});

export type Load = z.infer<typeof loadSchema>;
export type EngineSpec = z.infer<typeof engineSchema>;
export type Kind = z.infer<typeof kindSchema>;
export type Fault = z.infer<typeof faultSchema>;

/** One request as it is drawn. */
export interface DrawnRequest {
  at: number;
  kind: Kind;
  parts: { id: string; tokens: number }[];
  promptTokens: number;
  events: number;
  /** The caller's estimate of `events`. */
  estimatedEvents: number;
  /** The kind's maximum, or the estimate where the kind has none. */
  maxEvents: number;
}

const MS_PER_SECOND = 1000;
/** Sizes are spread by up to this factor either way. */
const SIZE_SPREAD = 2.2;

/** Throws `InvalidInputError` with file and line. */
export const readLoad = (file: string): Load =>
  parseCheckedYaml(file, readText(file), loadSchema);

const rateAt = ({ perSecond, bursts }: Kind, second: number): number =>
  bursts
    .filter(({ fromS, toS }) => second >= fromS && second < toS)
    .reduce((rate, { times }) => rate * times, perSecond);

/** Spread evenly in the logarithm around `mean`. */
const spreadAround = (mean: number, rng: Rng, spread = SIZE_SPREAD): number =>
  Math.max(1, Math.round(mean * spread ** (2 * rng() - 1)));

/** Draws the length of an answer and the caller's estimate of it. */
const drawEvents = (kind: Kind, rng: Rng) => {
  const eventLimit = kind.mostEvents ?? Infinity;
  const events = Math.min(eventLimit, spreadAround(kind.events, rng));
  const estimatedEvents =
    kind.guessSpread === 1
      ? events
      : Math.min(eventLimit, spreadAround(events, rng, kind.guessSpread));
  const maxEvents = kind.mostEvents ?? estimatedEvents;
  return { events, estimatedEvents, maxEvents };
};

const drawOne = (kind: Kind, at: number, id: number, rng: Rng) => {
  const shared = kind.shared.map(({ count: many, tokens }, level) => ({
    id: `${kind.name}/${level}/${Math.floor(many * rng() ** 1.3)}`,
    tokens,
  }));
  const own = spreadAround(kind.ownTokens, rng);
  const parts = [...shared, { id: `own/${id}`, tokens: own }];
  const promptTokens = parts.reduce((sum, { tokens }) => sum + tokens, 0);
  return { at, kind, parts, promptTokens, ...drawEvents(kind, rng) };
};

/** All requests of a load, in the order of their times. */
export const drawRequests = (load: Load, rng: Rng): DrawnRequest[] => {
  const drawn: DrawnRequest[] = [];
  for (const kind of load.kinds) {
    let at = 0;
    for (;;) {
      const rate = rateAt(kind, at / MS_PER_SECOND);
      at += (-Math.log(1 - rng()) / rate) * MS_PER_SECOND;
      if (at >= load.seconds * MS_PER_SECOND) break;
      drawn.push(drawOne(kind, at, drawn.length, rng));
    }
  }
  return drawn.sort((left, right) => left.at - right.at);
};
