/** What a watch tells of the store's stability beside a change. */
import type { StoreStability } from "../../src/store/index.js";

export const STABLE: StoreStability = { inTrouble: false, changedAfter: 0 };

/** The store was unstable, and has made the change after this instant, ms. */
export const unstableSince = (changedAfter: number): StoreStability => ({
  inTrouble: true,
  changedAfter,
});
