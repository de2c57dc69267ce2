/** Random choice by a seeded generator. */
import type { Rng } from "../src/shared/rng.js";

/** Returns a random item, or undefined for an empty list. */
export const drawOne = <T>(items: readonly T[], rng: Rng): T | undefined =>
  items[Math.floor(rng() * items.length)];
