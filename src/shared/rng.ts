/** Seeded random numbers; decision functions take the generator as an argument. */
import { mersenne } from "pure-rand/generator/mersenne";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";

/** Returns a uniformly distributed number in [0, 1). */
export type Rng = () => number;

/**
 * Uses the Mersenne Twister because it mixes its seed well. Processes with similar
 * seeds must not draw similar numbers, or entries would choose the same upstreams.
 */
export const seededRng = (seed: number): Rng => {
  const generator = mersenne(seed);
  return () => uniformFloat64(generator);
};
