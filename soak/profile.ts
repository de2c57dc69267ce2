/** Which faults a seed has. */
import type { FaultProfile } from "./faults.js";

/** Every third seed has planned work only, so that its promise is tested. */
const PLANNED_INTERVAL = 3;
/** Of the others, those with this remainder have signals of replicas besides. */
const SIGNALS_INTERVAL = 5;
const SIGNALS_REMAINDER = 4;
/** Of the others, those with this remainder have limits of replicas besides. */
const LIMITS_INTERVAL = 10;
const LIMITS_REMAINDER = 8;

export const profileOf = (seed: number): FaultProfile => {
  if (seed % PLANNED_INTERVAL === 0) return "planned";
  if (seed % LIMITS_INTERVAL === LIMITS_REMAINDER) return "limits";
  return seed % SIGNALS_INTERVAL === SIGNALS_REMAINDER ? "signals" : "all";
};
