/** Seeded random numbers, passed into decisions as an argument. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** A uniform number in [0, 1). */
export type Rng = () => number;

export const seededRng = (seed: number): Rng => {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
};
