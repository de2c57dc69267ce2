export { Admission } from "./admission.js";
export type {
  AdmissionDecision,
  AdmissionLimits,
  Arrival,
  AdmissionUpdate,
} from "./admission.js";
