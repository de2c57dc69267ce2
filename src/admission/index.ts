export { Admission } from "./admission.js";
export type {
  AdmissionAnswer,
  AdmissionLimits,
  Arrival,
  Released,
} from "./admission.js";
