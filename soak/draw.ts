/** Draws from a seeded generator. */
import type { Rng } from "../src/shared/rng.js";

/** One of the items; undefined if there is none. */
export const drawOne = <T>(items: readonly T[], rng: Rng): T | undefined =>
  items[Math.floor(rng() * items.length)];
