/** Weighted max-min division of a capacity. Pure. */

export interface Claim {
  demand: number;
  weight: number;
}

/**
 * Largest amount per weight that each claim may have so that all fit into the
 * capacity; Infinity if they fit as they are.
 */
export const fairLevel = (
  claims: readonly Claim[],
  capacity: number,
): number => {
  const byLevel = [...claims].sort(
    (left, right) => left.demand / left.weight - right.demand / right.weight,
  );
  let capacityLeft = capacity;
  let weightLeft = byLevel.reduce((sum, { weight }) => sum + weight, 0);
  for (const { demand, weight } of byLevel) {
    const fair = Math.max(0, capacityLeft) / weightLeft;
    if (demand / weight > fair) return fair;
    capacityLeft -= demand;
    weightLeft -= weight;
  }
  return Infinity;
};
