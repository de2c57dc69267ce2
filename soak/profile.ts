/** Which faults a seed has. */
import type { FaultProfile } from "./faults.js";

/** Every third seed has planned work only, so that its promise is tested. */
const PLANNED_EACH = 3;

export const profileOf = (seed: number): FaultProfile =>
  seed % PLANNED_EACH === 0 ? "planned" : "all";
