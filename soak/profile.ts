/** Which faults a seed has. */
import type { FaultProfile } from "./faults.js";

/** Every third seed has planned work only, so that its promise is tested. */
const PLANNED_EACH = 3;
/** Of the others, those with this remainder have signals of replicas besides. */
const SIGNALS_EACH = 5;
const SIGNALS_REMAINDER = 4;
/** Of the others, those with this remainder have limits of replicas besides. */
const LIMITS_EACH = 10;
const LIMITS_REMAINDER = 8;

export const profileOf = (seed: number): FaultProfile => {
  if (seed % PLANNED_EACH === 0) return "planned";
  if (seed % LIMITS_EACH === LIMITS_REMAINDER) return "limits";
  return seed % SIGNALS_EACH === SIGNALS_REMAINDER ? "signals" : "all";
};
