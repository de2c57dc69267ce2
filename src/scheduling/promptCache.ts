/**
 * How much of one prompt each engine's cache holds, looked up once an engine
 * and request: a decision asks for it several times.
 */
import type { EngineState } from "./engineState.js";
import type { CachePart, PlacementRequest } from "./types.js";

/** A part of a prompt under the key by which caches know it. */
export interface KeyedPart {
  key: string;
  tokens: number;
}

export const keyedPart = (model: string, part: CachePart): KeyedPart => ({
  key: `${model}/${part.id}`,
  tokens: part.tokens,
});

/** The engine that holds most of a prompt, and how much. */
export interface Donor {
  engine: EngineState;
  cached: number;
}

export class PromptCacheLookup {
  readonly parts: readonly KeyedPart[];
  private readonly known = new Map<EngineState, number>();

  constructor(request: Pick<PlacementRequest, "model" | "parts">) {
    this.parts = request.parts.map((part) => keyedPart(request.model, part));
  }

  /** Tokens at the start of the prompt that the engine holds. */
  cachedTokens(engine: EngineState): number {
    const known = this.known.get(engine);
    if (known !== undefined) return known;
    const cached = engine.cachedTokens(this.parts);
    this.known.set(engine, cached);
    return cached;
  }

  /** The engine among these that holds most; undefined if none holds any. */
  findDonor(engines: readonly EngineState[]): Donor | undefined {
    let best: Donor | undefined;
    for (const engine of engines) {
      const cached = engine.transferableTokens(this.parts);
      if (cached > (best?.cached ?? 0)) best = { engine, cached };
    }
    return best;
  }
}
