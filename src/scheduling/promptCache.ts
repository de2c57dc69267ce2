/**
 * Looks up how much of one prompt each engine has cached. Results are memoized
 * per engine and request, since a placement decision needs them several times.
 */
import type { EngineState } from "./engineState.js";
import type { CachePart, PlacementRequest } from "./types.js";

/** A prompt part with its cache key. */
export interface KeyedPart {
  key: string;
  tokens: number;
}

export const keyedPart = (model: string, part: CachePart): KeyedPart => ({
  key: `${model}/${part.id}`,
  tokens: part.tokens,
});

/** The engine that can supply the most cached tokens of a prompt. */
export interface Donor {
  engine: EngineState;
  /** Tokens at the start of the prompt that it holds. */
  cached: number;
}

export class PromptCacheLookup {
  readonly parts: readonly KeyedPart[];
  private readonly tokensByEngine = new Map<EngineState, number>();
  /** The last search for a donor: its engines and its result. */
  private search:
    { engines: readonly EngineState[]; donor?: Donor } | undefined;

  constructor(request: Pick<PlacementRequest, "model" | "parts">) {
    this.parts = request.parts.map((part) => keyedPart(request.model, part));
  }

  /** Tokens at the start of the prompt that the engine need not prefill. */
  cachedTokens(engine: EngineState): number {
    const memoized = this.tokensByEngine.get(engine);
    if (memoized !== undefined) return memoized;
    const cached = engine.cachedTokens(this.parts);
    this.tokensByEngine.set(engine, cached);
    return cached;
  }

  /**
   * The engine with the most transferable tokens; undefined if none has any.
   */
  findDonor(engines: readonly EngineState[]): Donor | undefined {
    if (this.search?.engines === engines) return this.search.donor;
    const donor = this.searchDonor(engines);
    this.search = { engines, donor };
    return donor;
  }

  private searchDonor(engines: readonly EngineState[]): Donor | undefined {
    let best: Donor | undefined;
    for (const engine of engines) {
      const cached = engine.transferableTokens(this.parts);
      if (cached > (best?.cached ?? 0)) best = { engine, cached };
    }
    return best;
  }
}
