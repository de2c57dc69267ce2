/** Seeded random numbers, passed into decisions as an argument. */
import { mersenne } from "pure-rand/generator/mersenne";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** A uniform number in [0, 1). */
export type Rng = () => number;

/**
 * The Mersenne generator mixes its seed well: processes whose seeds are near
 * each other must not draw alike, or entries would choose alike.
 */
export const seededRng = (seed: number): Rng => {
  const generator = mersenne(seed);
  return () => uniformFloat64(generator);
};
