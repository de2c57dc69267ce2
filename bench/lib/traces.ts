/**
 * Seeded request traces. Sizes are in tokens. A manual is a long text that many
 * requests share; a question belongs to one request.
 */
import { seededRng } from "../../src/shared/rng.js";
import type { Rng } from "../../src/shared/rng.js";

/** One request of a trace. */
export interface TraceRequest {
  /** When it is sent, ms from the start. */
  at: number;
  className: "confirm" | "lookup" | "draft";
  workspace: string;
  /** Index of the shared text that the prompt starts with; -1: none. */
  manual: number;
  manualTokens: number;
  questionTokens: number;
  outputTokens: number;
}

/** A period of a trace with a constant mix of requests. */
interface Phase {
  untilMs: number;
  /** Requests per second with long shared prompts and one-word answers. */
  longPerSecond: number;
  /** Requests per second with short prompts and long answers. */
  draftsPerSecond: number;
  /** Urgent confirmations per second. */
  urgentPerSecond: number;
}

export interface TraceSpec {
  name: string;
  manuals: number;
  manualTokens: number;
  phases: Phase[];
}

const MS_PER_SECOND = 1000;
const WORKSPACES = ["bus-depot", "rail-depot", "workshops", "fleets"];
/** Share of requests from the first workspace; the others split the rest. */
const DOMINANT_WORKSPACE_SHARE = 0.55;

export const TRACES: Record<string, TraceSpec> = {
  catalogue: {
    name: "catalogue",
    manuals: 24,
    manualTokens: 6000,
    phases: [
      {
        untilMs: 9 * MS_PER_SECOND,
        longPerSecond: 36,
        draftsPerSecond: 3,
        urgentPerSecond: 4,
      },
      {
        untilMs: 18 * MS_PER_SECOND,
        longPerSecond: 4,
        draftsPerSecond: 36,
        urgentPerSecond: 4,
      },
    ],
  },
  kilima: {
    name: "kilima",
    manuals: 12,
    manualTokens: 9000,
    phases: [
      {
        untilMs: 7 * MS_PER_SECOND,
        longPerSecond: 26,
        draftsPerSecond: 4,
        urgentPerSecond: 2,
      },
      {
        untilMs: 12 * MS_PER_SECOND,
        longPerSecond: 6,
        draftsPerSecond: 30,
        urgentPerSecond: 2,
      },
      {
        untilMs: 18 * MS_PER_SECOND,
        longPerSecond: 6,
        draftsPerSecond: 24,
        urgentPerSecond: 24,
      },
    ],
  },
  steady: {
    name: "steady",
    manuals: 24,
    manualTokens: 6000,
    phases: [
      {
        untilMs: 18 * MS_PER_SECOND,
        longPerSecond: 14,
        draftsPerSecond: 14,
        urgentPerSecond: 4,
      },
    ],
  },
};

const drawWorkspace = (rng: Rng): string => {
  if (rng() < DOMINANT_WORKSPACE_SHARE) return WORKSPACES[0] as string;
  const at = 1 + Math.floor(rng() * (WORKSPACES.length - 1));
  return WORKSPACES[at] as string;
};

/** Draws a manual index from a skewed distribution that favours low indices. */
const drawManual = (rng: Rng, manuals: number): number =>
  Math.floor(manuals * rng() ** 1.5);

const drawInteger = (rng: Rng, low: number, high: number): number =>
  Math.round(low + rng() * (high - low));

/** Generates all requests of a trace, in order of time. */
export const generateTrace = (
  spec: TraceSpec,
  seed: number,
): TraceRequest[] => {
  const rng = seededRng(seed);
  const requests: TraceRequest[] = [];
  let from = 0;
  for (const phase of spec.phases) {
    const add = (
      perSecond: number,
      make: () => Omit<TraceRequest, "at" | "workspace">,
    ) => {
      let at = from;
      for (;;) {
        at += (-Math.log(1 - rng()) / perSecond) * MS_PER_SECOND;
        if (at >= phase.untilMs) return;
        requests.push({ at, workspace: drawWorkspace(rng), ...make() });
      }
    };
    add(phase.longPerSecond, () => ({
      className: "lookup",
      manual: drawManual(rng, spec.manuals),
      manualTokens: spec.manualTokens,
      questionTokens: drawInteger(rng, 20, 120),
      outputTokens: drawInteger(rng, 1, 3),
    }));
    add(phase.draftsPerSecond, () => ({
      className: "draft",
      manual: -1,
      manualTokens: 0,
      questionTokens: drawInteger(rng, 40, 200),
      outputTokens: drawInteger(rng, 60, 120),
    }));
    add(phase.urgentPerSecond, () => ({
      className: "confirm",
      manual: drawManual(rng, spec.manuals),
      manualTokens: spec.manualTokens,
      questionTokens: drawInteger(rng, 10, 30),
      outputTokens: 2,
    }));
    from = phase.untilMs;
  }
  return requests.sort((left, right) => left.at - right.at);
};

const CHARS_PER_TOKEN = 4;

const fillerText = (label: string, tokens: number): string => {
  const length = tokens * CHARS_PER_TOKEN;
  const unit = `${label} `;
  return unit.repeat(Math.ceil(length / unit.length)).slice(0, length);
};

/** Builds the prompt text of a request. */
export const promptOf = (request: TraceRequest, index: number): string => {
  const question = fillerText(`question-${index}`, request.questionTokens);
  if (request.manual < 0) return question;
  return (
    fillerText(`manual-${request.manual}`, request.manualTokens) + question
  );
};
